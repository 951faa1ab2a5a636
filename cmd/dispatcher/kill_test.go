package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
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

	"github.com/anishathalye/porcupine"
)

// The kill test: the dispatcher and its workers, each a process, are killed at
// seeded moments while renewals are pushed and run. The workers' books, which a
// kill does not touch, say what ran; what each process was told and when is a
// history, which porcupine checks against the rules of leases. Broken on
// purpose, by a build that looks at no fence, both must find it.

// historyCall is one historyCall of a client, by the client's clock.
type historyCall struct {
	Client int
	Kind   string // push, lease, start, ack
	Jid    string
	Fence  uint64
	Began  int64
	Ended  int64 // 0: its answer never came
	OK     bool
}

// faktoryClient speaks the protocol; every error is a lost connection.
type faktoryClient struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dialFaktory(dir string, hello map[string]any) (*faktoryClient, error) {
	addr, err := os.ReadFile(filepath.Join(dir, "addr"))
	if err != nil {
		return nil, err
	}
	conn, err := net.DialTimeout("tcp", string(addr), time.Second)
	if err != nil {
		return nil, err
	}
	c := &faktoryClient{conn, bufio.NewReader(conn)}
	if _, err = c.readReply(); err == nil {
		hello["v"] = 2
		raw, _ := json.Marshal(hello)
		_, err = c.do("HELLO " + string(raw))
	}
	if err != nil {
		conn.Close()
	}
	return c, err
}

func (c *faktoryClient) readReply() (string, error) {
	c.conn.SetDeadline(time.Now().Add(testTimeout))
	line, err := c.reader.ReadString('\n')
	line = strings.TrimRight(line, "\r\n")
	n, bulk := strconv.Atoi(strings.TrimPrefix(line, "$"))
	if err != nil || line == "" || line[0] != '$' || bulk != nil || n < 0 {
		return line, err
	}
	text := make([]byte, n+2)
	_, err = io.ReadFull(c.reader, text)
	return string(text[:n]), err
}

func (c *faktoryClient) do(command string) (string, error) {
	if _, err := c.conn.Write([]byte(command + "\r\n")); err != nil {
		return "", err
	}
	return c.readReply()
}

// runKillWorker is a worker process: two slots, an order of its own, books that outlive it.
func runKillWorker(dir, wid, promise string, seed uint64, slow float64) {
	open := func(name string) *os.File {
		f, err := os.OpenFile(filepath.Join(dir, name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			panic(err)
		}
		return f
	}
	books, history := open("books"), open("history-"+wid)
	for slot := range 2 {
		go func() {
			random := rand.New(rand.NewPCG(seed, uint64(slot)))
			client := int(seed)*2 + slot
			var c *faktoryClient
			// ask asks until there is an answer, over all lives of the dispatcher.
			ask := func(kind, jid string, fence uint64, command string, tries int) (got string, answered bool) {
				for range tries {
					if c == nil {
						labels := []string{"born_ms:1"}
						if promise != "" {
							labels = append(labels, promise)
						}
						var err error
						if c, err = dialFaktory(dir, map[string]any{"wid": wid, "labels": labels}); err != nil {
							c = nil
							time.Sleep(3 * time.Millisecond)
							continue
						}
					}
					k := historyCall{Client: client, Kind: kind, Jid: jid, Fence: fence, Began: time.Now().UnixNano()}
					line := func() {
						if raw, _ := json.Marshal(k); kind != "lease" {
							history.Write(append(raw, '\n'))
						}
					}
					line() // a kill leaves it without an end
					got, err := c.do(command)
					if err != nil {
						c.conn.Close()
						c = nil
						if kind == "lease" {
							return "", false
						}
						continue
					}
					k.Ended, k.OK = time.Now().UnixNano(), got == "+OK"
					line()
					return got, true
				}
				return "", false
			}
			for {
				began := time.Now().UnixNano()
				got, ok := ask("lease", "", 0, "FETCH renewal", 1000)
				var job struct {
					Jid    string
					Custom struct{ Fence uint64 }
				}
				if !ok || json.Unmarshal([]byte(got), &job) != nil || job.Jid == "" {
					continue
				}
				raw, _ := json.Marshal(historyCall{client, "lease", job.Jid, job.Custom.Fence, began, time.Now().UnixNano(), true})
				history.Write(append(raw, '\n'))
				lease := fmt.Sprintf(`{"jid":%q,"fence":%d}`, job.Jid, job.Custom.Fence)
				if random.Float64() < slow { // of them half longer than the lease
					time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
				}
				if promise == "fences:1" {
					if got, ok := ask("start", job.Jid, job.Custom.Fence, "START "+lease, 1000); !ok || got != "+OK" {
						continue
					}
				}
				if promise == "idempotent:1" {
					f, err := os.OpenFile(filepath.Join(dir, "till", job.Jid), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
					if err == nil {
						f.Close() // that it is there says that it ran
					}
				} else {
					fmt.Fprintf(books, "%s %d %s\n", job.Jid, job.Custom.Fence, wid)
				}
				time.Sleep(time.Duration(random.IntN(2000)) * time.Microsecond)
				ask("ack", job.Jid, job.Custom.Fence, "ACK "+lease, 1000)
			}
		}()
	}
	select {}
}

// killReport is what came of a run.
type killReport struct {
	kills, jobs, done, inDoubt, dead, ranTwice, neverRan int
	inDoubtRan                                           int // of those in doubt, how many ran
	illegal                                              int // histories against the rules
	seconds                                              float64
	faults                                               []string
}

// writeDurableConfig writes what a dispatcher with a durable queue is started with.
func writeDurableConfig(t *testing.T, dir string, lease float64) {
	t.Helper()
	for name, text := range map[string]string{
		"config.json": `{"admin_addr":"127.0.0.1:0","settings":` + strings.ReplaceAll(settingsText, "CONN_IDLE", "1000000") + `}`,
		"faktory.toml": fmt.Sprintf("listen = \"127.0.0.1:0\"\n[durable]\npath = %q\nqueues = [\"renewal\"]\nlease_s = %g\ngrace_s = %g\nbackoff_s = 0.01\n",
			filepath.Join(dir, "jobs.db"), lease, lease),
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// startDurable starts a dispatcher, and writes its address where its clients look.
func startDurable(t *testing.T, program, dir string) *exec.Cmd {
	t.Helper()
	cmd := exec.Command(program, "serve", "--config", filepath.Join(dir, "config.json"), "--faktory", filepath.Join(dir, "faktory.toml"))
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines, text := bufio.NewScanner(log), ""
	for lines.Scan() {
		text += lines.Text() + "\n"
		if _, addr, ok := strings.Cut(lines.Text(), "faktory: listening on "); ok {
			addr, _, _ = strings.Cut(addr, `"`)
			os.WriteFile(filepath.Join(dir, "addr.new"), []byte(addr), 0o600)
			os.Rename(filepath.Join(dir, "addr.new"), filepath.Join(dir, "addr"))
		}
		if _, door, ok := strings.Cut(lines.Text(), "admin API at "); ok { // it comes last
			door, _, _ = strings.Cut(door, `"`)
			os.WriteFile(filepath.Join(dir, "door"), []byte(door), 0o600)
			go func() {
				for lines.Scan() {
				}
			}()
			return cmd
		}
	}
	t.Fatalf("the dispatcher did not start: %s", text)
	return nil
}

// runKills runs jobs until so many runKills and so many renewals are over.
func runKills(t *testing.T, program, promise string, seed uint64, maxKills, renewals int, slow float64) (sum killReport) {
	t.Helper()
	dir := t.TempDir()
	os.Mkdir(filepath.Join(dir, "till"), 0o700)
	writeDurableConfig(t, dir, 0.3)
	random := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex // of the processes
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
	// Producers push until they hear yes, and say again what they have heard nothing of.
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
		default: // both at once
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

// readHistory reads a worker's calls: each is written as it begins, and once more as it ends.
func readHistory(t *testing.T, name string) (list []historyCall) {
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	open := map[int]int{} // by client: where its call without an end is
	for line := range bytes.Lines(text) {
		var k historyCall
		if json.Unmarshal(line, &k) != nil {
			continue // cut off by a kill
		}
		if at, is := open[k.Client]; is && list[at].Ended == 0 && k.Ended != 0 && list[at].Began == k.Began {
			list[at] = k
			continue
		}
		open[k.Client] = len(list)
		list = append(list, k)
	}
	return list
}

// leaseState is a job as its callers may know it.
type leaseState struct {
	pushed, started, done bool
	fence                 uint64
}

// linearizable tells whether a job's calls can have happened one after the other, each
// between its beginning and its end, without a rule of leases broken.
func linearizable(promise string, calls []historyCall) bool {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{leaseState{}} },
		Step: func(state, input, output any) []any {
			b, k := state.(leaseState), input.(historyCall)
			after := b
			may := true
			switch k.Kind {
			case "push":
				after.pushed = true
			case "lease": // only one that was seen is here
				may = b.pushed && !b.done && k.Fence > b.fence && (promise == "idempotent:1" || !b.started && (promise != "" || b.fence == 0))
				after.fence = k.Fence
			case "start":
				may = k.Fence == b.fence && !b.done
				after.started = true
			case "ack":
				may = b.done || k.Fence == b.fence
				after.done = true
			}
			switch {
			case k.Ended != 0 && k.OK && may:
				return []any{after}
			case k.Ended != 0 && k.OK:
				return nil
			case k.Ended == 0 && may: // it may have come or not
				return []any{b, after}
			}
			return []any{b}
		},
		Equal: func(a, b any) bool { return a == b },
	}
	var operations []porcupine.Operation
	for _, k := range calls {
		ended := k.Ended
		if ended == 0 {
			ended = math.MaxInt64
		}
		operations = append(operations, porcupine.Operation{ClientId: 0, Input: k, Call: k.Began, Output: k, Return: ended})
	}
	return porcupine.CheckOperations(model.ToModel(), operations)
}

// Three kinds of workers, killed with the dispatcher at seeded moments.
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

// A worker that is late with its start, when the job has been leased to the next:
// it is not granted. A build that looks at no fence lets both run, and the
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
		second := lease(b) // the first one has run out
		say(b, "", 0, `BEAT {"wid":"b"}`)
		start(a, first)
		start(b, second)
		say(b, "ack", second, fmt.Sprintf(`ACK {"jid":"late-0001","fence":%d}`, second))
		if program == builtProgram && (ran != 1 || !linearizable("fences:1", history)) || program == broken && (ran != 2 || linearizable("fences:1", history)) {
			t.Errorf("%s: %d ran, history legal %v: %+v", program, ran, linearizable("fences:1", history), history)
		}
	}
}

// The operators' commands, through the door of a running dispatcher and on the
// file of one that has ended; each word is in the audit with its reason.
func TestJobsCommands(t *testing.T) {
	dir := t.TempDir()
	writeDurableConfig(t, dir, 0.2)
	dispatcher := startDurable(t, builtProgram, dir)
	defer func() { dispatcher.Process.Kill() }()
	door, _ := os.ReadFile(filepath.Join(dir, "door"))
	port := func() { door, _ = os.ReadFile(filepath.Join(dir, "door")) }
	jobs := func(where string, args ...string) (string, error) {
		var out bytes.Buffer
		flag := []string{"--door", string(door)}
		if where == "file" {
			flag = []string{"--store", filepath.Join(dir, "jobs.db")}
		}
		err := command(append(append([]string{"jobs"}, flag...), args...), func(string) string { return "" }, &out, &out)
		return out.String(), err
	}
	must := func(want, where string, args ...string) string {
		t.Helper()
		got, err := jobs(where, args...)
		if err != nil || !strings.Contains(got, want) {
			t.Fatalf("%s %v: %q, %v; want %q", where, args, got, err, want)
		}
		return got
	}
	mustNot := func(want, where string, args ...string) {
		t.Helper()
		if got, err := jobs(where, args...); err == nil || !strings.Contains(err.Error(), want) {
			t.Fatalf("%s %v: %q, %v; want the error %q", where, args, got, err, want)
		}
	}
	do := func(c *faktoryClient, command string) {
		t.Helper()
		if got, err := c.do(command); err != nil || strings.HasPrefix(got, "-") {
			t.Fatalf("%s: %q, %v", command, got, err)
		}
	}
	client := func(wid string) *faktoryClient {
		c, err := dialFaktory(dir, map[string]any{"wid": wid, "labels": []string{"born_ms:1"}})
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	p := client("")
	push := func(id, more string) {
		t.Helper()
		do(p, fmt.Sprintf(`PUSH {"jid":%q,"queue":"renewal","jobtype":"renewal","args":["member 7"]%s}`, id, more))
	}
	fetch := func(c *faktoryClient) {
		t.Helper()
		for end := time.Now().Add(testTimeout); ; {
			if got, err := c.do("FETCH renewal"); err != nil || time.Now().After(end) {
				t.Fatalf("FETCH: %q, %v", got, err)
			} else if strings.Contains(got, "jid") {
				return
			}
		}
	}
	push("doubt-0001", "")
	fetch(client("w1"))
	push("doubt-0002", "")
	fetch(client("w2"))
	for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		if got := must("", "door", "list", "--state", "in doubt"); strings.Count(got, "may have run") == 2 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("not in doubt in time")
		}
	}
	far := time.Now().Add(time.Hour).Format(time.RFC3339)
	push("later-0001", `,"at":"`+far+`"`)
	for i := range 250 {
		push(fmt.Sprintf("later-1%03d", i), `,"at":"`+far+`"`)
	}
	must(`"member 7"`, "door", "show", "doubt-0001")
	mustNot("either --store or --door", "door", "--store", "x", "list")
	mustNot("state:", "door", "list", "--state", "lost")
	mustNot("no such job", "door", "show", "nobody")
	mustNot("reason", "door", "settle", "doubt-0001", "--ran")
	mustNot("not in doubt", "door", "settle", "later-0001", "--ran", "--reason", "x")
	mustNot("needs --store", "door", "verify")
	must("", "door", "settle", "doubt-0001", "--ran", "--reason", "the till shows it")
	must("done", "door", "list", "--state", "done")
	must("", "door", "discard", "later-0001", "--reason", "asked twice")
	if got := must("", "door", "list"); strings.Count(got, "\n") != 253 {
		t.Errorf("the list over pages has %d lines", strings.Count(got, "\n"))
	}
	if got := must("", "door", "list", "--limit", "3"); strings.Count(got, "\n") != 3 || !strings.HasPrefix(got, "doubt-0001") {
		t.Errorf("three are %q", got)
	}
	mustNot("another process has it open", "file", "list")
	mustNot("another process has it open", "file", "compact")
	must("", "door", "snapshot", "copy.db")
	mustNot("there is a file already", "door", "snapshot", "copy.db")
	mustNot("no plain file name", "door", "snapshot", "../copy.db")
	dispatcher.Process.Kill()
	dispatcher.Wait()
	must("whole", "file", "verify")
	all := must("doubt-0002", "file", "list")
	must("bytes now", "file", "compact")
	must("", "file", "snapshot", "second.db")
	for _, name := range []string{"jobs.db", "copy.db", "second.db"} {
		var out bytes.Buffer
		if err := command([]string{"jobs", "--store", filepath.Join(dir, name), "list"}, os.Getenv, &out, &out); err != nil || out.String() != all {
			t.Errorf("%s: %v; %d lines, want %d", name, err, strings.Count(out.String(), "\n"), strings.Count(all, "\n"))
		}
	}
	must("", "file", "settle", "doubt-0002", "--not-ran", "--reason", "the till has no such member")
	mustNot("not in doubt", "file", "settle", "doubt-0002", "--ran", "--reason", "x")
	must("ready", "file", "list", "--state", "ready")
	must("", "file", "retry", "later-1007", "--reason", "the member waits")
	if got := must(`"args":["member 7"]`, "file", "export"); strings.Count(got, "\n") != 253 {
		t.Errorf("the export has %d lines", strings.Count(got, "\n"))
	}
	audit := must("", "file", "audit")
	for _, want := range []string{"in doubt", "the till shows it", "settled: it did not run", "asked twice", "the member waits"} {
		if !strings.Contains(audit, want) {
			t.Errorf("the audit lacks %q: %s", want, audit)
		}
	}
	writeDurableConfig(t, dir, 60)                  // no lease runs out any more, however slow the machine is
	dispatcher = startDurable(t, builtProgram, dir) // what was settled runs, and so does what was retried
	port()
	w := client("w3")
	fetch(w)
	fetch(client("w4"))
	if got := must("", "door", "list", "--state", "leased"); !strings.Contains(got, "doubt-0002") || !strings.Contains(got, "later-1007") {
		t.Errorf("leased: %q", got)
	}
	dispatcher.Process.Signal(syscall.SIGTERM)
	dispatcher.Wait()
	// A damaged record is named, and nothing is passed over.
	path := filepath.Join(dir, "jobs.db")
	text, _ := os.ReadFile(path)
	os.WriteFile(path, bytes.ReplaceAll(text, []byte("later-1003\",\"Class"), []byte("later-1003\",\"Clqss")), 0o600)
	mustNot("later-1003", "file", "verify")
	mustNot("later-1003", "file", "list")
}

// A client hands a renewal in under an idempotency key: the same key gets the
// first run's result, in the next life too; what was killed in its midst is in
// doubt until an operator settles it, and is never run again by a client's word.
func TestIdempotencyKey(t *testing.T) {
	d := &testDaemon{t: t}
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	b := d.addWorker("s-1", respondWhenReleased("idem:slow-1", arrived, release))
	defer close(release)
	path := filepath.Join(t.TempDir(), "faktory.toml")
	store := filepath.Join(t.TempDir(), "jobs.db")
	os.WriteFile(path, []byte(fmt.Sprintf("listen = \"127.0.0.1:0\"\n[durable]\npath = %q\nqueues = [\"renewal\"]\nlease_s = 0.4\ngrace_s = 0.4\n", store)), 0o600)
	d.start("-faktory", path)
	ask := func(key, body string, left int) (int, string) {
		t.Helper()
		r, _ := http.NewRequest("POST", "http://"+d.listen+"/renewal/member-7?plan=gold", strings.NewReader(body))
		r.Header.Set("X-Correlation-Id", fmt.Sprintf("c-%x", key))
		r.Header.Set("Idempotency-Key", key)
		r.Header.Set("X-Time-Left-Ms", fmt.Sprint(left))
		answer, err := d.client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		defer answer.Body.Close()
		text, _ := io.ReadAll(answer.Body)
		return answer.StatusCode, string(text)
	}
	want := func(key, body string, status int, words string) {
		t.Helper()
		if got, text := ask(key, body, 8000); got != status || !strings.Contains(text, words) {
			t.Fatalf("%s: %d %q, want %d %q", key, got, text, status, words)
		}
	}
	runs := func(id string) (n int) {
		for _, got := range b.requests() {
			if strings.HasPrefix(got, id+" ") {
				n++
			}
		}
		return n
	}
	want("k-1", "gold", 200, "made for idem:k-1")
	want("k-1", "gold", 200, "made for idem:k-1")
	want("k-1", "silver", 422, "another request")
	want("a b", "gold", 400, "Idempotency-Key")
	// One request's time is up while the next on its connection waits: that one goes on waiting.
	b.setRespond(respondWhenReleased("idem:timer-1", arrived, release))
	if got, _ := ask("k-1", "gold", 300); got != 200 {
		t.Errorf("asked again: %d", got)
	}
	status := make(chan int, 1)
	go func() {
		got, _ := ask("timer-1", "gold", 8000)
		status <- got
	}()
	<-arrived
	time.Sleep(400 * time.Millisecond)
	release <- struct{}{}
	if got := <-status; got != 200 {
		t.Errorf("it waited for its own time: %d", got)
	}
	b.setRespond(respondWhenReleased("idem:slow-1", arrived, release))
	go func() {
		got, _ := ask("slow-1", "gold", 300)
		status <- got
	}()
	<-arrived
	if got := <-status; got != 202 {
		t.Errorf("not over in time: %d", got)
	}
	d.cmd.Process.Kill()
	d.cmd.Wait()
	d.launch("-faktory", path)
	for end := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		if r, err := http.Get("http://" + d.listen + "/healthz"); err == nil {
			r.Body.Close()
			if r.StatusCode == 200 {
				break
			}
		}
		if time.Now().After(end) {
			t.Fatal("not ready again")
		}
	}
	want("k-1", "gold", 200, "made for idem:k-1")
	want("slow-1", "gold", 409, "in doubt")
	want("slow-1", "gold", 409, "in doubt")
	if runs("idem:k-1") != 1 || runs("idem:slow-1") != 1 {
		t.Errorf("ran: %q", b.requests())
	}
	d.cmd.Process.Signal(syscall.SIGTERM)
	if code := d.waitForExit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	var out bytes.Buffer
	if err := command([]string{"jobs", "--store", store, "settle", "idem:slow-1", "--ran", "--reason", "the till shows it"}, os.Getenv, &out, &out); err != nil {
		t.Error(err)
	}
}

// A process with durable queues is replaced in the midst of its work: its
// successor has the address, the store and the leases, workers come back with
// what they hold, and a request under a key is never run by both.
func TestDurableJobsAreHandedOver(t *testing.T) {
	d := newDaemonWithAdmin(t, newPlatformListener(t))
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	defer close(release)
	slow := respondWhenReleased("idem:slow-2", arrived, release)
	b := d.addWorker("s-1", func(id string, conn net.Conn) bool {
		if id == "idem:slow-2" {
			return slow(id, conn)
		}
		io.WriteString(conn, "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n") // the others are Faktory's
		return true
	})
	ln := listenLocal(t)
	addr := ln.Addr().String()
	ln.Close()
	dir := t.TempDir()
	os.WriteFile(filepath.Join(dir, "addr"), []byte(addr), 0o600)
	path := filepath.Join(dir, "faktory.toml")
	os.WriteFile(path, []byte(fmt.Sprintf("listen = %q\n[durable]\npath = %q\nqueues = [\"renewal\", \"status-check\"]\nlease_s = 20\n", addr, filepath.Join(dir, "jobs.db"))), 0o600)
	d.env = append(d.env, "HOLLYYOKE_FAKTORY="+path)
	d.start()
	client := func(wid string) (c *faktoryClient) {
		t.Helper()
		var err error
		d.waitUntil("a session", func() bool {
			hello := map[string]any{"labels": []string{"born_ms:1"}}
			if wid != "" {
				hello["wid"] = wid
			}
			c, err = dialFaktory(dir, hello)
			return err == nil
		})
		return c
	}
	do := func(c *faktoryClient, command, want string) {
		t.Helper()
		if got, err := c.do(command); err != nil || !strings.HasPrefix(got, want) {
			t.Fatalf("%s: %q, %v; want %q", command, got, err, want)
		}
	}
	fresh := &http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	ask := func(key string) int {
		r, _ := http.NewRequest("POST", "http://"+d.listen+"/renewal/m?x=y", strings.NewReader("x"))
		r.Header.Set("X-Correlation-Id", fmt.Sprint("c-", time.Now().UnixNano()))
		r.Header.Set("Idempotency-Key", key)
		r.Header.Set("X-Time-Left-Ms", "200")
		answer, err := fresh.Do(r)
		if err != nil {
			return 0
		}
		defer answer.Body.Close()
		io.Copy(io.Discard, answer.Body)
		return answer.StatusCode
	}
	if got := ask("slow-2"); got != 202 {
		t.Fatalf("not over in time: %d", got)
	}
	<-arrived
	p := client("")
	do(p, `PUSH {"jid":"moved-001","queue":"renewal","jobtype":"renewal","args":[1]}`, "+OK")
	// Either wire's worker may be asked: the platform's turns it away, Faktory's holds it.
	worker, leased, holds := client("w1"), false, ""
	for i := 2; !leased && i < 60; i++ {
		do(p, fmt.Sprintf(`PUSH {"jid":"moved-%03d","queue":"renewal","jobtype":"renewal","args":[1]}`, i), "+OK")
		got, err := worker.do("FETCH renewal")
		if err != nil {
			t.Fatal(err)
		}
		if leased = strings.Contains(got, "moved-"); leased {
			_, got, _ = strings.Cut(got, `"jid":"`)
			holds = got[:9]
		}
	}
	if !leased {
		t.Fatal("the worker got nothing")
	}
	do(p, `PUSH {"jid":"later-009","queue":"renewal","jobtype":"renewal","args":[1],"at":"2999-01-01T00:00:00Z"}`, "+OK")
	successor := d.startSuccessor()
	successor.waitUntil("the successor is ready", successor.ready)
	if got, _ := p.do("TRACK GET " + holds); !strings.Contains(got, "working") {
		t.Errorf("the first has it still: %q", got)
	}
	sums := map[int]int{}
	asked := 0
	for end := time.Now().Add(testTimeout); (sums[202] == 0 || sums[503] == 0) && time.Now().Before(end); asked++ { // either process gets them
		sums[ask("slow-2")]++
	}
	if sums[202] == 0 || sums[503] == 0 || sums[202]+sums[503] != asked {
		t.Errorf("beside each other: %v", sums)
	}
	d.cmd.Process.Signal(syscall.SIGTERM)
	successor.waitForLog("durable jobs taken over")
	if code := d.waitForExit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	p, worker = client(""), client("w1")
	do(p, "TRACK GET "+holds, `{"jid":"`+holds+`","state":"working"`)
	do(worker, `ACK {"jid":"`+holds+`"}`, "+OK")
	do(p, "TRACK GET "+holds, `{"jid":"`+holds+`","state":"success"`)
	do(p, "TRACK GET later-009", `{"jid":"later-009","state":"scheduled"`)
	do(p, `PUSH {"jid":"`+holds+`","queue":"renewal","jobtype":"renewal","args":[1]}`, "+OK")
	if got := ask("slow-2"); got != 202 {
		t.Errorf("the request that is still held: %d", got)
	}
	n := 0
	for _, got := range b.requests() {
		if strings.HasPrefix(got, "idem:slow-2 ") {
			n++
		}
	}
	if n != 1 {
		t.Errorf("the request ran %d times", n)
	}
	if _, text := successor.callAdmin("GET", "/control/jobs?state=scheduled"); !strings.Contains(text, "later-009") {
		t.Errorf("the successor's door: %s", text)
	}
}
