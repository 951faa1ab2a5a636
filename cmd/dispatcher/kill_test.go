package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"
)

// The kill test: the dispatcher and its workers, each a process, are killed at
// seeded moments while renewals are pushed and run. The workers write to a ledger file,
// which a kill does not touch, what ran; the calls of each process and their answers are
// a history, which porcupine checks for linearizability against the rules of leases. A
// build without the check of fences must fail both checks.

// Three kinds of workers are killed with the dispatcher at seeded moments.
func TestKills(t *testing.T) {
	maxKills, renewals := 12, 200
	if n, _ := strconv.Atoi(os.Getenv("HOLLYYOKE_KILLS")); n > 0 { // the long run
		maxKills, renewals = n, 2000
	}
	for i, promise := range []string{"", promiseFences, promiseIdempotent} {
		sum := runKills(t, builtProgram, promise, 7+uint64(i), maxKills, renewals, 0.02)
		t.Logf("workers that promise %q: %d kills, %d renewals in %.0f s: %d done, %d in doubt (%d ran), %d dead; %d ran twice, %d never, %d histories illegal",
			promise, sum.kills, sum.jobs, sum.seconds, sum.done, sum.inDoubt, sum.inDoubtRan, sum.dead, sum.ranTwice, sum.neverRan, sum.illegal)
		if sum.kills < maxKills || sum.jobs < renewals || sum.ranTwice+sum.neverRan+sum.dead+sum.illegal > 0 || sum.inDoubt > 8*maxKills || promise == promiseIdempotent && sum.inDoubt > 0 {
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
			hello := map[string]any{"labels": []string{"born_ms:1", promiseFences}}
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
		if program == builtProgram && (ran != 1 || !linearizable(promiseFences, history)) || program == broken && (ran != 2 || linearizable(promiseFences, history)) {
			t.Errorf("%s: %d ran, history legal %v: %+v", program, ran, linearizable(promiseFences, history), history)
		}
	}
}
