package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The kill test: the dispatcher and its workers, each a process, are killed at
// seeded moments while renewals are pushed and run. The workers write to a ledger file,
// which a kill does not touch, what ran; the calls of each process and their answers are
// a history, which porcupine checks for linearizability against the rules of leases. A
// build without the check of fences must fail both checks.

// killReport is the result of a run.
type killReport struct {
	kills, jobs, done, inDoubt, dead, ranTwice, neverRan int
	inDoubtRan                                           int // of those in doubt
	illegal                                              int // histories that are not linearizable
	seconds                                              float64
	faults                                               []string
}

// runKills runs jobs until there have been maxKills kills and so many renewals.
func runKills(t *testing.T, program, promise string, seed uint64, maxKills, renewals int, slow float64) (sum killReport) {
	t.Helper()
	dir := t.TempDir()
	os.Mkdir(filepath.Join(dir, "till"), 0o700)
	writeDurableConfig(t, dir, 0.3)
	random := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex // protects the processes, next and history
	var dispatcher *exec.Cmd
	workers := map[int]*exec.Cmd{}
	lives := 0
	start := func() { dispatcher = startDurable(t, program, dir) }
	work := func(slot int) {
		lives++
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "KILL_WORKER="+dir, fmt.Sprintf("KILL_WID=w%d", lives), "KILL_PROMISE="+promise,
			fmt.Sprint("KILL_SEED=", lives), fmt.Sprint("KILL_SLOW=", slow))
		cmd.Stderr = os.Stderr
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		workers[slot] = cmd
	}
	kill := func(cmd *exec.Cmd) {
		cmd.Process.Signal(syscall.SIGKILL)
		cmd.Wait()
		sum.kills++
	}
	t.Cleanup(func() {
		dispatcher.Process.Kill()
		dispatcher.Wait()
		for _, cmd := range workers {
			cmd.Process.Kill()
			cmd.Wait()
		}
	})
	began := time.Now()
	start()
	for slot := range 4 {
		work(slot)
	}
	// Producers push each job until it is accepted.
	var history []historyCall
	jid := func(i int) string { return fmt.Sprintf("paid-%06d", i) }
	next, enough := 0, make(chan struct{})
	var producers sync.WaitGroup
	for p := range 4 {
		producers.Add(1)
		go func() {
			defer producers.Done()
			var c *faktoryClient
			for {
				mu.Lock()
				i := next
				next++
				mu.Unlock()
				if i >= renewals {
					select {
					case <-enough: // all kills are over
						return
					default:
					}
				}
				for accepted := false; !accepted; {
					var err error
					if c == nil {
						if c, err = dialFaktory(dir, map[string]any{}); err != nil {
							c = nil
							time.Sleep(3 * time.Millisecond)
							continue
						}
					}
					k := historyCall{Client: -1 - p, Kind: "push", Jid: jid(i), Began: time.Now().UnixNano()}
					got, err := c.do(fmt.Sprintf(`PUSH {"jid":%q,"queue":"renewal","jobtype":"renewal","args":[%d]}`, jid(i), i))
					if err != nil {
						c.conn.Close()
						c = nil
					} else {
						k.Ended, k.OK = time.Now().UnixNano(), got == "+OK"
						accepted = k.OK
					}
					mu.Lock()
					history = append(history, k)
					mu.Unlock()
				}
				time.Sleep(2 * time.Millisecond) // or the backlog grows past all workers
			}
		}()
	}
	for sum.kills < maxKills {
		time.Sleep(time.Duration(20+random.IntN(100)) * time.Millisecond)
		switch slot := random.IntN(4); random.IntN(5) {
		case 0, 1:
			kill(dispatcher)
			start()
		case 2, 3:
			kill(workers[slot])
			work(slot)
		default: // both together
			dispatcher.Process.Signal(syscall.SIGKILL)
			kill(workers[slot])
			kill(dispatcher)
			start()
			work(slot)
		}
	}
	close(enough)
	producers.Wait()
	sum.jobs = 0
	accepted := map[string]bool{}
	for _, k := range history {
		accepted[k.Jid] = accepted[k.Jid] || k.OK
	}
	sum.jobs = len(accepted)
	c, err := dialFaktory(dir, map[string]any{})
	if err != nil {
		t.Fatal(err)
	}
	ids := make([]string, 0, len(accepted))
	for id := range accepted {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	final := map[string]string{}
	limit := time.Now().Add(3 * testTimeout)
	for _, id := range ids {
		for {
			got, err := c.do("TRACK GET " + id)
			var job struct{ State, Why string }
			if err != nil || json.Unmarshal([]byte(got), &job) != nil {
				t.Fatalf("%s: %q, %v", id, got, err)
			}
			if final[id] = job.State; job.State == "in doubt" && job.Why == "" {
				t.Errorf("%s is in doubt without a reason", id)
			}
			if job.State == "success" || job.State == "in doubt" || job.State == "dead" {
				break
			}
			if time.Now().After(limit) {
				t.Fatalf("%s stays %s", id, job.State)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	sum.seconds = time.Since(began).Seconds()
	ran := map[string]int{}
	text, _ := os.ReadFile(filepath.Join(dir, "books"))
	for line := range strings.Lines(string(text)) {
		id, _, _ := strings.Cut(line, " ")
		ran[id]++
	}
	till, _ := os.ReadDir(filepath.Join(dir, "till"))
	for _, f := range till {
		ran[f.Name()]++
	}
	for _, id := range ids {
		switch final[id] {
		case "success":
			sum.done++
		case "in doubt":
			sum.inDoubt++
			sum.inDoubtRan += ran[id]
		default:
			sum.dead++
		}
		if ran[id] > 1 {
			sum.ranTwice++
			sum.faults = append(sum.faults, fmt.Sprintf("%s ran %d times and is %s", id, ran[id], final[id]))
		}
		if ran[id] == 0 && final[id] != "in doubt" {
			sum.neverRan++
			sum.faults = append(sum.faults, fmt.Sprintf("%s never ran and is %s", id, final[id]))
		}
	}
	files, _ := filepath.Glob(filepath.Join(dir, "history-*"))
	for _, name := range files {
		history = append(history, readHistory(t, name)...)
	}
	byJob := map[string][]historyCall{}
	for _, k := range history {
		byJob[k.Jid] = append(byJob[k.Jid], k)
	}
	for _, id := range ids {
		if !linearizable(promise, byJob[id]) {
			if sum.illegal++; sum.illegal <= 3 {
				sum.faults = append(sum.faults, fmt.Sprintf("%s: %+v", id, byJob[id]))
			}
		}
	}
	return sum
}

// Three kinds of workers are killed with the dispatcher at seeded moments.
func TestKills(t *testing.T) {
	most, renewals := 12, 200
	if n, _ := strconv.Atoi(os.Getenv("HOLLYYOKE_KILLS")); n > 0 { // the long run
		most, renewals = n, 2000
	}
	for i, promise := range []string{"", "fences:1", "idempotent:1"} {
		sum := runKills(t, builtProgram, promise, 7+uint64(i), most, renewals, 0.02)
		t.Logf("workers that promise %q: %d kills, %d renewals in %.0f s: %d done, %d in doubt (%d ran), %d dead; %d ran twice, %d never, %d histories illegal",
			promise, sum.kills, sum.jobs, sum.seconds, sum.done, sum.inDoubt, sum.inDoubtRan, sum.dead, sum.ranTwice, sum.neverRan, sum.illegal)
		if sum.kills < most || sum.jobs < renewals || sum.ranTwice+sum.neverRan+sum.dead+sum.illegal > 0 || sum.inDoubt > 8*most || promise == "idempotent:1" && sum.inDoubt > 0 {
			t.Errorf("%q: %+v", promise, sum)
		}
		if sum.done < sum.jobs*8/10 {
			t.Errorf("%q: only %d of %d done", promise, sum.done, sum.jobs)
		}
	}
}

// A worker that reports a start after its lease has expired, and the job is leased to
// another, is refused. A build without the check of fences lets both run, and the
// history shows it.
func TestLateStart(t *testing.T) {
	broken := filepath.Join(t.TempDir(), "dispatcher")
	if out, err := exec.Command("go", "build", "-tags", "nofence", "-o", broken, ".").CombinedOutput(); err != nil {
		t.Fatalf("%s%v", out, err)
	}
	for _, program := range []string{builtProgram, broken} {
		dir := t.TempDir()
		writeDurableConfig(t, dir, 1)
		dispatcher := startDurable(t, program, dir)
		defer func() { dispatcher.Process.Kill(); dispatcher.Wait() }()
		var history []historyCall
		ran := 0
		client := func(wid string) *faktoryClient {
			hello := map[string]any{"labels": []string{"born_ms:1", "fences:1"}}
			if wid != "" {
				hello["wid"] = wid
			}
			c, err := dialFaktory(dir, hello)
			if err != nil {
				t.Fatal(err)
			}
			return c
		}
		say := func(c *faktoryClient, kind string, fence uint64, command string) (got string) {
			k := historyCall{Kind: kind, Jid: "late-0001", Fence: fence, Began: time.Now().UnixNano()}
			got, err := c.do(command)
			if err != nil {
				t.Fatal(err)
			}
			k.Ended, k.OK = time.Now().UnixNano(), got == "+OK"
			if kind != "" {
				history = append(history, k)
			}
			return got
		}
		lease := func(c *faktoryClient) uint64 {
			for end := time.Now().Add(testTimeout); time.Now().Before(end); {
				k := historyCall{Kind: "lease", Jid: "late-0001", OK: true, Began: time.Now().UnixNano()}
				var job struct{ Custom struct{ Fence uint64 } }
				if json.Unmarshal([]byte(say(c, "", 0, "FETCH renewal")), &job) == nil && job.Custom.Fence > 0 {
					k.Fence, k.Ended = job.Custom.Fence, time.Now().UnixNano()
					history = append(history, k)
					return k.Fence
				}
			}
			t.Fatal("no job")
			return 0
		}
		start := func(c *faktoryClient, fence uint64) {
			if say(c, "start", fence, fmt.Sprintf(`START {"jid":"late-0001","fence":%d}`, fence)) == "+OK" {
				ran++
			}
		}
		a, b, p := client("a"), client("b"), client("")
		say(p, "push", 0, `PUSH {"jid":"late-0001","queue":"renewal","jobtype":"renewal","args":[]}`)
		first := lease(a)
		second := lease(b) // the first one has expired
		say(b, "", 0, `BEAT {"wid":"b"}`)
		start(a, first)
		start(b, second)
		say(b, "ack", second, fmt.Sprintf(`ACK {"jid":"late-0001","fence":%d}`, second))
		if program == builtProgram && (ran != 1 || !linearizable("fences:1", history)) || program == broken && (ran != 2 || linearizable("fences:1", history)) {
			t.Errorf("%s: %d ran, history legal %v: %+v", program, ran, linearizable("fences:1", history), history)
		}
	}
}
