package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// killReport is the result of a run.
type killReport struct {
	kills, jobs, done, inDoubt, dead, ranTwice, neverRan int
	inDoubtRan                                           int // of those in doubt
	illegal                                              int // histories that are not linearizable
	seconds                                              float64
	faults                                               []string
}

// maxReportedHistories is how many histories that are not linearizable are reported in full.
const maxReportedHistories = 3

const (
	killWorkers   = 4 // processes
	killProducers = 4 // clients
)

// killRun is a dispatcher and its workers, which are killed at seeded moments.
type killRun struct {
	t        *testing.T
	dir      string
	program  string // of the dispatcher
	promise  string // of the workers
	slow     float64
	renewals int // that are pushed at least
	random   *rand.Rand
	report   killReport

	dispatcher *exec.Cmd
	workers    [killWorkers]*exec.Cmd
	started    int // workers so far

	producers sync.WaitGroup
	killsOver chan struct{}

	mu      sync.Mutex // protects next and history while producers run
	next    int        // number of the next job
	history []historyCall
}

// runKills runs jobs until there have been maxKills kills and so many renewals.
func runKills(t *testing.T, program, promise string, seed uint64, maxKills, renewals int, slow float64) killReport {
	t.Helper()
	r := &killRun{
		t:         t,
		dir:       t.TempDir(),
		program:   program,
		promise:   promise,
		slow:      slow,
		renewals:  renewals,
		random:    rand.New(rand.NewPCG(seed, 1)),
		killsOver: make(chan struct{}),
	}
	os.Mkdir(filepath.Join(r.dir, resultsDirectory), 0o700)
	writeDurableConfig(t, r.dir, 0.3)
	t.Cleanup(r.end)
	began := time.Now()
	r.startDispatcher()
	for i := range r.workers {
		r.startWorker(i)
	}
	for i := range killProducers {
		r.producers.Add(1)
		go r.produce(-1 - i)
	}
	for r.report.kills < maxKills {
		r.killSome()
	}
	close(r.killsOver)
	r.producers.Wait()
	ids := r.pushedIDs()
	states := r.finalStates(ids)
	r.report.seconds = time.Since(began).Seconds()
	r.checkRuns(ids, states)
	r.checkHistories(ids)
	return r.report
}

func (r *killRun) startDispatcher() { r.dispatcher = startDurable(r.t, r.program, r.dir) }

func (r *killRun) startWorker(i int) {
	r.t.Helper()
	r.started++
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "KILL_WORKER="+r.dir, fmt.Sprintf("KILL_WID=w%d", r.started), "KILL_PROMISE="+r.promise,
		fmt.Sprint("KILL_SEED=", r.started), fmt.Sprint("KILL_SLOW=", r.slow))
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		r.t.Fatal(err)
	}
	r.workers[i] = cmd
}

// end ends all processes.
func (r *killRun) end() {
	for _, cmd := range append(r.workers[:], r.dispatcher) {
		if cmd != nil {
			cmd.Process.Kill()
			cmd.Wait()
		}
	}
}

// kill kills a process and counts it.
func (r *killRun) kill(cmd *exec.Cmd) {
	cmd.Process.Signal(syscall.SIGKILL)
	cmd.Wait()
	r.report.kills++
}

// killSome kills the dispatcher, a worker or both, after a while, and starts them again.
func (r *killRun) killSome() {
	time.Sleep(time.Duration(20+r.random.IntN(100)) * time.Millisecond)
	i := r.random.IntN(killWorkers)
	switch r.random.IntN(5) {
	case 0, 1:
		r.kill(r.dispatcher)
		r.startDispatcher()
	case 2, 3:
		r.kill(r.workers[i])
		r.startWorker(i)
	default: // both together
		r.dispatcher.Process.Signal(syscall.SIGKILL)
		r.kill(r.workers[i])
		r.kill(r.dispatcher)
		r.startDispatcher()
		r.startWorker(i)
	}
}

// produce pushes jobs, each until it is accepted; client is its number in the history.
func (r *killRun) produce(client int) {
	defer r.producers.Done()
	var conn *faktoryClient
	for {
		r.mu.Lock()
		number := r.next
		r.next++
		r.mu.Unlock()
		if number >= r.renewals && r.areKillsOver() {
			return
		}
		conn = r.push(conn, client, fmt.Sprintf("paid-%06d", number), number)
		time.Sleep(2 * time.Millisecond) // or the backlog grows past all workers
	}
}

func (r *killRun) areKillsOver() bool {
	select {
	case <-r.killsOver:
		return true
	default:
		return false
	}
}

// push pushes a job until it is accepted, and returns the connection that is open then.
func (r *killRun) push(conn *faktoryClient, client int, jid string, number int) *faktoryClient {
	for {
		if conn == nil {
			dialed, err := dialFaktory(r.dir, map[string]any{})
			if err != nil {
				time.Sleep(redialPause)
				continue
			}
			conn = dialed
		}
		call := historyCall{Client: client, Kind: "push", Jid: jid, Began: time.Now().UnixNano()}
		got, err := conn.do(fmt.Sprintf(`PUSH {"jid":%q,"queue":"renewal","jobtype":"renewal","args":[%d]}`, jid, number))
		if err != nil {
			conn.conn.Close()
			conn = nil
		} else {
			call.Ended = time.Now().UnixNano()
			call.OK = got == "+OK"
		}
		r.mu.Lock()
		r.history = append(r.history, call)
		r.mu.Unlock()
		if call.OK {
			return conn
		}
	}
}

// pushedIDs returns the ids of all jobs that were pushed, sorted.
func (r *killRun) pushedIDs() []string {
	var ids []string
	for _, call := range r.history {
		ids = append(ids, call.Jid)
	}
	slices.Sort(ids)
	ids = slices.Compact(ids)
	r.report.jobs = len(ids)
	return ids
}

// finalStates waits until each job has ended, and returns their states by id.
func (r *killRun) finalStates(ids []string) map[string]string {
	r.t.Helper()
	conn, err := dialFaktory(r.dir, map[string]any{})
	if err != nil {
		r.t.Fatal(err)
	}
	states := map[string]string{}
	limit := time.Now().Add(3 * testTimeout)
	for _, id := range ids {
		states[id] = r.finalState(conn, id, limit)
	}
	return states
}

// finalState waits until a job has ended, and returns its state.
func (r *killRun) finalState(conn *faktoryClient, id string, limit time.Time) string {
	r.t.Helper()
	for {
		got, err := conn.do("TRACK GET " + id)
		var job struct{ State, Why string }
		if err != nil || json.Unmarshal([]byte(got), &job) != nil {
			r.t.Fatalf("%s: %q, %v", id, got, err)
		}
		if job.State == "in doubt" && job.Why == "" {
			r.t.Errorf("%s is in doubt without a reason", id)
		}
		if job.State == "success" || job.State == "in doubt" || job.State == "dead" {
			return job.State
		}
		if time.Now().After(limit) {
			r.t.Fatalf("%s stays %s", id, job.State)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// runs returns how often each job ran, by the ledger and the results.
func (r *killRun) runs() map[string]int {
	runs := map[string]int{}
	ledger, _ := os.ReadFile(filepath.Join(r.dir, ledgerFile))
	for line := range strings.Lines(string(ledger)) {
		id, _, _ := strings.Cut(line, " ")
		runs[id]++
	}
	results, _ := os.ReadDir(filepath.Join(r.dir, resultsDirectory))
	for _, result := range results {
		runs[result.Name()]++
	}
	return runs
}

// checkRuns counts the states, and finds the jobs that ran twice or never.
func (r *killRun) checkRuns(ids []string, states map[string]string) {
	runs := r.runs()
	for _, id := range ids {
		state := states[id]
		switch state {
		case "success":
			r.report.done++
		case "in doubt":
			r.report.inDoubt++
			r.report.inDoubtRan += runs[id]
		default:
			r.report.dead++
		}
		if runs[id] > 1 {
			r.report.ranTwice++
			r.report.faults = append(r.report.faults, fmt.Sprintf("%s ran %d times and is %s", id, runs[id], state))
		}
		if runs[id] == 0 && state != "in doubt" {
			r.report.neverRan++
			r.report.faults = append(r.report.faults, fmt.Sprintf("%s never ran and is %s", id, state))
		}
	}
}

// checkHistories finds the jobs whose calls are not linearizable.
func (r *killRun) checkHistories(ids []string) {
	r.t.Helper()
	history := r.history
	files, _ := filepath.Glob(filepath.Join(r.dir, historyPrefix+"*"))
	for _, name := range files {
		history = append(history, readHistory(r.t, name)...)
	}
	byJob := map[string][]historyCall{}
	for _, call := range history {
		byJob[call.Jid] = append(byJob[call.Jid], call)
	}
	for _, id := range ids {
		if linearizable(r.promise, byJob[id]) {
			continue
		}
		r.report.illegal++
		if r.report.illegal <= maxReportedHistories {
			r.report.faults = append(r.report.faults, fmt.Sprintf("%s: %+v", id, byJob[id]))
		}
	}
}
