package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// runningJob is a job that was sent to a worker.
type runningJob struct {
	t      *testing.T
	answer *http.Response
	lines  *bufio.Scanner
	cancel context.CancelFunc
}

func submit(t *testing.T, w *Worker, id string, slots float64) *runningJob {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	in, _ := http.NewRequestWithContext(ctx, "POST", "http://"+w.Addr+"/renewal/m1", strings.NewReader("xy"))
	in.Header.Set("X-Correlation-Id", id)
	in.Header.Set("X-Facts", fmt.Sprintf("slots=%g", slots))
	answer, err := http.DefaultClient.Do(in)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cancel)
	return &runningJob{t, answer, bufio.NewScanner(answer.Body), cancel}
}

// next reads the next update; its state is empty behind the last one.
func (j *runningJob) next() (state string, load map[string]float64) {
	if !j.lines.Scan() {
		return "", nil
	}
	var line struct {
		State string             `json:"state"`
		Load  map[string]float64 `json:"load"`
	}
	if err := json.Unmarshal(j.lines.Bytes(), &line); err != nil {
		j.t.Fatalf("%s: %v", j.lines.Bytes(), err)
	}
	return line.State, line.Load
}

func startWorker(t *testing.T, c WorkerConfig, jobs ...Job) (*Worker, *Ledger) {
	t.Helper()
	ledger := &Ledger{}
	for _, j := range jobs {
		j.Path, j.BodyBytes = "/renewal/m1", 2
		ledger.Announce(j)
	}
	c.Name, c.SendsReports = "s-1", true
	w, err := StartWorker(c, ledger, []byte("secret"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { w.Close() })
	return w, ledger
}

// reportedFreeSlots is the number of free slots in the worker's load report; -1: it has none.
func reportedFreeSlots(w *Worker) float64 {
	report, ok := w.report()
	if !ok {
		return -1
	}
	return report.FreeSlots
}

// waitFor polls until ok returns true, and fails the test after 10 s.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never:", what)
		}
	}
}

// Jobs start strictly in order: a large job that waits delays a small one that would fit. A job
// that never fits, and one that finds the queue full, are rejected.
func TestWorkerStartsJobsInOrder(t *testing.T) {
	const long = 300 * time.Millisecond
	w, ledger := startWorker(t, WorkerConfig{Cores: 2, QueueLimit: 2}, Job{ID: "a", ServiceTime: long}, Job{ID: "large", ServiceTime: time.Millisecond},
		Job{ID: "small", ServiceTime: time.Millisecond}, Job{ID: "more"}, Job{ID: "huge"})
	a := submit(t, w, "a", 1)
	if s, _ := a.next(); s != "started" {
		t.Fatal(s)
	}
	large, small := submit(t, w, "large", 2), submit(t, w, "small", 1)
	waitFor(t, "two wait", func() bool { _, n := w.Free(); return n == 2 })
	if more := submit(t, w, "more", 1); more.answer.StatusCode != 503 || more.answer.Header.Get("X-Unprocessed") != "1" ||
		!strings.Contains(more.answer.Header.Get("X-Backend-Load"), `"queue":`) {
		t.Errorf("a full queue: %+v", more.answer)
	}
	if huge := submit(t, w, "huge", 3); huge.answer.StatusCode != 503 || huge.answer.Header.Get("X-Unprocessed") != "1" {
		t.Errorf("never fits: %+v", huge.answer)
	}
	for _, j := range []*runningJob{a, large, small} {
		for s, _ := j.next(); s != "done"; s, _ = j.next() {
			if s == "" {
				t.Fatal("ended without done")
			}
		}
	}
	start := func(id string) time.Time { return ledger.jobs[id].runs[0].Start }
	if start("small").Before(start("large")) || start("large").Before(ledger.jobs["a"].runs[0].End) {
		t.Error("not in order")
	}
	if f := ledger.Check(); f.Executed != 3 || len(f.Duplicated) != 0 || len(f.Unexpected) != 0 {
		t.Errorf("%+v", f)
	}
}

func TestWorkerDrainsAndStalls(t *testing.T) {
	w, ledger := startWorker(t, WorkerConfig{Cores: 1, ReportInterval: time.Millisecond}, Job{ID: "a", ServiceTime: 50 * time.Millisecond}, Job{ID: "b", ServiceTime: time.Millisecond},
		Job{ID: "c", ServiceTime: time.Hour}, Job{ID: "d"})
	a := submit(t, w, "a", 1)
	a.next()
	b := submit(t, w, "b", 1)
	waitFor(t, "b waits", func() bool { _, n := w.Free(); return n == 1 })
	w.Drain()
	if s, _ := b.next(); s != "returned" {
		t.Errorf("the queued job: %q", s)
	}
	if s, load := a.next(); s != "done" || load["x0"] != 0 {
		t.Errorf("the running job: %q %v", s, load)
	}
	if c := submit(t, w, "c", 1); c.answer.StatusCode != 503 {
		t.Error("a draining worker took a job")
	}
	w.mu.Lock()
	w.draining = false
	w.mu.Unlock()
	// A stalled worker starts nothing, and its load report does not change.
	waitFor(t, "a report of a free slot", func() bool { return reportedFreeSlots(w) == 1 })
	const stall = 300 * time.Millisecond
	begin := time.Now()
	w.Stall(stall)
	d := submit(t, w, "d", 1)
	if reportedFreeSlots(w) != 1 {
		t.Error("a stalled worker's report changed")
	}
	if s, _ := d.next(); s != "started" || time.Since(begin) < stall-10*time.Millisecond {
		t.Errorf("%q after %v of a stall", s, time.Since(begin))
	}
	// A job that is canceled after its start counts as executed.
	d.next()
	c := submit(t, w, "c", 1)
	c.next()
	c.cancel()
	waitFor(t, "the slot is free again", func() bool { free, _ := w.Free(); return free == 1 })
	if started, done := ledger.Runs("c"); started != 1 || done != 0 {
		t.Errorf("canceled: started %d, completed %d", started, done)
	}
}

// Speed, warm-up and slowdown change the time of a job; the ledger finds a second execution.
func TestWorkerPace(t *testing.T) {
	w, ledger := startWorker(t, WorkerConfig{Speed: 2, WarmupShare: 0.5, Warmup: time.Hour}, Job{ID: "a", ServiceTime: 50 * time.Millisecond})
	for range 2 {
		j := submit(t, w, "a", 1)
		for s, _ := j.next(); s != "" && s != "done"; s, _ = j.next() {
		}
		w.SlowDown(4)
	}
	first, second := ledger.jobs["a"].runs[0], ledger.jobs["a"].runs[1]
	a, slowedDown := first.End.Sub(first.Start), second.End.Sub(second.Start)
	if a < 50*time.Millisecond || slowedDown < 3*a {
		t.Errorf("%v warming up at twice the speed, %v four times slower", a, slowedDown)
	}
	if f := ledger.Check(); !slices.Equal(f.Duplicated, []string{"a"}) {
		t.Errorf("%+v", f)
	}
}

// A request that was not announced, or was modified on the way, is not executed and is recorded.
func TestUnexpectedJobs(t *testing.T) {
	w, ledger := startWorker(t, WorkerConfig{}, Job{ID: "a"})
	if got := submit(t, w, "zzz", 1).answer.StatusCode; got != 400 {
		t.Errorf("an unknown id: %d", got)
	}
	for id, want := range map[string]int{"": 404, "a": 400} {
		in, _ := http.NewRequest("POST", "http://"+w.Addr+"/renewal/m2", strings.NewReader("xy"))
		in.Header.Set("X-Correlation-Id", id)
		answer, err := http.DefaultClient.Do(in)
		if err != nil || answer.StatusCode != want {
			t.Errorf("id %q on another path: %v, %v", id, answer, err)
		}
	}
	if f := ledger.Check(); len(f.Unexpected) != 2 || f.Executed != 0 {
		t.Errorf("%+v", f)
	}
}

// Only the worker itself passes a challenge: not with another secret or name, nor through a proxy.
func TestChallenge(t *testing.T) {
	w, _ := startWorker(t, WorkerConfig{})
	ctx := context.Background()
	if err := Challenge(ctx, w.Addr, "s-1", []byte("secret")); err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", w.Addr)
			if err != nil {
				return
			}
			go io.Copy(out, in)
			go func() { io.Copy(in, out); in.Close() }()
		}
	}()
	for what, err := range map[string]error{
		"another secret":  Challenge(ctx, w.Addr, "s-1", []byte("other")),
		"another name":    Challenge(ctx, w.Addr, "s-2", []byte("secret")),
		"a proxy":         Challenge(ctx, ln.Addr().String(), "s-1", []byte("secret")),
		"not on loopback": Challenge(ctx, "192.0.2.1:80", "s-1", []byte("secret")),
	} {
		if err == nil {
			t.Errorf("%s passes the challenge", what)
		}
	}
	var g Gate
	listed := []Host{{Host: "s-1", Dial: w.Addr, Health: "ready"}}
	if g.IsOpen() || g.Verify(ctx, listed, []byte("secret")) != nil || !g.IsOpen() {
		t.Error("the gate does not open after a verification")
	}
	g.Close()
	if g.Verify(ctx, append(listed, Host{Host: "s-1", Dial: ln.Addr().String(), Health: "draining"}), []byte("secret")) == nil || g.IsOpen() {
		t.Error("the gate opens although one worker fails")
	}
	if g.Verify(ctx, listed, []byte("secret")) == nil || g.IsOpen() {
		t.Error("the gate opens again after it failed")
	}
	var empty Gate
	if empty.Verify(ctx, nil, nil) == nil || empty.IsOpen() {
		t.Error("an empty list is verified")
	}
}

func TestDiscovery(t *testing.T) {
	notifications := 0
	d, err := StartDiscovery(func() { notifications++ })
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	d.Set(Host{Host: "a", Dial: "127.0.0.1:1", Health: "ready"}, Host{Host: "b", Dial: "127.0.0.1:2", Health: "ready"})
	get := func(query string) *http.Response {
		answer, err := http.Get("http://" + d.Addr + "/v1/servers" + query)
		if err != nil {
			t.Fatal(err)
		}
		return answer
	}
	var l listing
	if err := json.NewDecoder(get("").Body).Decode(&l); err != nil || !l.Complete || l.Version != 1 || len(l.Hosts) != 2 || l.Hosts[0].Share != 1 {
		t.Errorf("%v %+v", err, l)
	}
	watch := bufio.NewScanner(get("?watch=1&after=1").Body)
	line := func() (l listing) {
		for watch.Scan() {
			if len(bytes.TrimSpace(watch.Bytes())) > 0 {
				json.Unmarshal(watch.Bytes(), &l)
				return l
			}
		}
		return l
	}
	if l := line(); l.Complete || len(l.Hosts) != 0 {
		t.Errorf("first line: %+v", l)
	}
	d.Set(Host{Host: "a", Health: "gone"}, Host{Host: "c", Dial: "127.0.0.1:3", Health: "draining"})
	if l := line(); l.Version != 2 || l.Complete || len(l.Hosts) != 2 {
		t.Errorf("a change: %+v", l)
	}
	if got := d.List(); len(got) != 2 || got[0].Host != "b" || notifications != 2 {
		t.Errorf("%+v, %d notifications", got, notifications)
	}
	d.Set(Host{Host: "a", Dial: "127.0.0.1:9", Health: "ready"})
	if l := line(); len(l.Hosts) != 1 || l.Hosts[0].Dial != "127.0.0.1:9" {
		t.Errorf("back again: %+v", l)
	}
	// Calls are handled one at a time, and one that waits too long gets 503.
	d.callSlot <- struct{}{}
	d.maxCallWait = 20 * time.Millisecond
	if got := get("").StatusCode; got != 503 {
		t.Errorf("busy: %d", got)
	}
	<-d.callSlot
	d.SetDown(true)
	if watch.Scan() && len(watch.Bytes()) > 0 {
		t.Errorf("a watch continues while discovery is down: %q", watch.Text())
	}
	if got := get("").StatusCode; got != 503 {
		t.Errorf("down: %d", got)
	}
}
