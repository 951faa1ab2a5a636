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

// killOptions are the parameters of runKills.
type killOptions struct {
	guarantee  string  // what the workers guarantee about non-idempotent jobs
	pauseShare float64 // fraction of the jobs before which a worker pauses
	seed       uint64
	maxKills   int
	renewals   int // minimum number of renewals that are pushed
}

// killReport is the result of runKills.
type killReport struct {
	kills           int
	jobs            int
	seconds         float64
	done            int
	dead            int
	inDoubt         int
	inDoubtRan      int // runs of jobs in doubt
	ranTwice        int
	neverRan        int
	notLinearizable int // jobs whose histories are not linearizable
	faults          []string
}

// maxReportedHistories is the maximum number of non-linearizable histories that a report
// contains in full.
const maxReportedHistories = 3

const (
	killWorkers   = 4   // worker processes
	killProducers = 4   // clients that push jobs
	killLease     = 0.3 // seconds
)

// killRun runs a dispatcher and its workers, and kills them at random moments that follow from
// a seed.
type killRun struct {
	t       *testing.T
	dir     string
	options killOptions
	random  *rand.Rand
	report  killReport

	dispatcher     *exec.Cmd
	workers        [killWorkers]*exec.Cmd
	startedWorkers int // number of workers started so far

	producers sync.WaitGroup
	killsOver chan struct{}

	mu         sync.Mutex // guards nextNumber and history while producers run
	nextNumber int        // number of the next job
	history    []historyCall
}

// runKills pushes and runs jobs until there have been maxKills kills and enough renewals have
// been pushed. It then waits until all jobs have ended, and checks their runs and histories.
func runKills(t *testing.T, options killOptions) killReport {
	t.Helper()
	run := &killRun{
		t:         t,
		dir:       t.TempDir(),
		options:   options,
		random:    rand.New(rand.NewPCG(options.seed, 1)),
		killsOver: make(chan struct{}),
	}
	os.Mkdir(filepath.Join(run.dir, resultsDirectory), 0o700)
	writeDurableConfig(t, run.dir, killLease)
	t.Cleanup(run.end)
	began := time.Now()
	run.startDispatcher()
	for i := range run.workers {
		run.startWorker(i)
	}
	for i := range killProducers {
		run.producers.Add(1)
		go run.produce(-1 - i)
	}
	for run.report.kills < options.maxKills {
		run.killAndRestart()
	}
	close(run.killsOver)
	run.producers.Wait()
	ids := run.pushedIDs()
	states := run.finalStates(ids)
	run.report.seconds = time.Since(began).Seconds()
	run.checkRuns(ids, states)
	run.checkHistories(ids)
	return run.report
}

func (r *killRun) startDispatcher() { r.dispatcher = startDurable(r.t, builtProgram, r.dir) }

// startWorker starts worker process i. It runs the test binary with environment variables
// that make TestMain run a worker.
func (r *killRun) startWorker(i int) {
	r.t.Helper()
	r.startedWorkers++
	worker := exec.Command(os.Args[0])
	worker.Env = append(os.Environ(),
		killWorkerDirectory+"="+r.dir,
		fmt.Sprintf("%s=w%d", killWorkerID, r.startedWorkers),
		killWorkerGuarantee+"="+r.options.guarantee,
		fmt.Sprintf("%s=%d", killWorkerSeed, r.startedWorkers),
		fmt.Sprintf("%s=%v", killWorkerPauseShare, r.options.pauseShare),
	)
	worker.Stderr = os.Stderr
	if err := worker.Start(); err != nil {
		r.t.Fatal(err)
	}
	r.workers[i] = worker
}

// end kills all processes.
func (r *killRun) end() {
	for _, process := range append(r.workers[:], r.dispatcher) {
		if process != nil {
			process.Process.Kill()
			process.Wait()
		}
	}
}

// kill kills a process, waits for its end, and counts the kill.
func (r *killRun) kill(process *exec.Cmd) {
	process.Process.Signal(syscall.SIGKILL)
	process.Wait()
	r.report.kills++
}

// killAndRestart kills the dispatcher, a worker or both after a random time, and starts what
// it killed again.
func (r *killRun) killAndRestart() {
	time.Sleep(time.Duration(20+r.random.IntN(100)) * time.Millisecond)
	worker := r.random.IntN(killWorkers)
	switch r.random.IntN(5) {
	case 0, 1:
		r.kill(r.dispatcher)
		r.startDispatcher()
	case 2, 3:
		r.kill(r.workers[worker])
		r.startWorker(worker)
	default: // both together
		r.dispatcher.Process.Signal(syscall.SIGKILL)
		r.kill(r.workers[worker])
		r.kill(r.dispatcher)
		r.startDispatcher()
		r.startWorker(worker)
	}
}

// produce pushes jobs until the kills are over and enough renewals have been pushed. client
// is the number that identifies the producer in the history.
func (r *killRun) produce(client int) {
	defer r.producers.Done()
	var conn *faktoryClient
	for {
		number := r.takeNumber()
		if number >= r.options.renewals && r.areKillsOver() {
			return
		}
		conn = r.push(conn, client, fmt.Sprintf("paid-%06d", number), number)
		time.Sleep(2 * time.Millisecond) // so that the workers keep up
	}
}

// takeNumber returns the number of the next job. It returns each number only once.
func (r *killRun) takeNumber() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	number := r.nextNumber
	r.nextNumber++
	return number
}

// record adds a call of a producer to the history.
func (r *killRun) record(call historyCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, call)
}

func (r *killRun) areKillsOver() bool {
	select {
	case <-r.killsOver:
		return true
	default:
		return false
	}
}

// push pushes a job repeatedly until it is accepted. It dials a new connection if conn is nil
// or has failed, and returns the connection that is open at the end.
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
		call := historyCall{Client: client, Kind: callPush, Jid: jid, Began: time.Now().UnixNano()}
		reply, err := conn.do(pushRenewal(jid, fmt.Sprintf("[%d]", number), ""))
		if err != nil {
			conn.conn.Close()
			conn = nil
		} else {
			call.Ended = time.Now().UnixNano()
			call.OK = reply == "+OK"
		}
		r.record(call)
		if call.OK {
			return conn
		}
	}
}

// pushedIDs returns the sorted ids of all jobs that were pushed, and records their number in
// the report.
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

// finalStates waits until each job has succeeded, is in doubt or is dead, and returns the
// states by id.
func (r *killRun) finalStates(ids []string) map[string]string {
	r.t.Helper()
	conn, err := dialFaktory(r.dir, map[string]any{})
	if err != nil {
		r.t.Fatal(err)
	}
	states := map[string]string{}
	deadline := time.Now().Add(3 * testTimeout)
	for _, id := range ids {
		states[id] = r.finalState(conn, id, deadline)
	}
	return states
}

// finalState waits until a job has succeeded, is in doubt or is dead, and returns its state.
// It fails the test if that is not the case at the deadline.
func (r *killRun) finalState(conn *faktoryClient, id string, deadline time.Time) string {
	r.t.Helper()
	for {
		reply, err := conn.do("TRACK GET " + id)
		var job struct{ State, Why string }
		if err != nil || json.Unmarshal([]byte(reply), &job) != nil {
			r.t.Fatalf("%s: %q, %v", id, reply, err)
		}
		if job.State == "in doubt" && job.Why == "" {
			r.t.Errorf("%s is in doubt without a reason", id)
		}
		if job.State == "success" || job.State == "in doubt" || job.State == "dead" {
			return job.State
		}
		if time.Now().After(deadline) {
			r.t.Fatalf("%s stays %s", id, job.State)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// runs returns the number of runs of each job according to the ledger and the result files.
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

// checkRuns counts the jobs in each state, and those that ran twice or never.
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

// checkHistories counts the jobs whose histories of calls are not linearizable.
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
		if linearizable(r.options.guarantee, byJob[id]) {
			continue
		}
		r.report.notLinearizable++
		if r.report.notLinearizable <= maxReportedHistories {
			r.report.faults = append(r.report.faults, fmt.Sprintf("%s: %+v", id, byJob[id]))
		}
	}
}
