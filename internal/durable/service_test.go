package durable

import (
	"errors"
	"log/slog"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/jobs"
)

// answer returns a text with the name of a caller and the error that it got, if any.
func answer(caller string, err error) string {
	if err == nil {
		return caller
	}
	return caller + err.Error()
}

// Producers of one job are answered in the order of their pushes.
func TestProducersAreAnsweredInOrder(t *testing.T) {
	s := openTest(t, Config{Path: filepath.Join(t.TempDir(), "jobs.db")})
	defer s.close()
	answers := make(chan string, 3)
	s.onLoop(func() {
		for _, producer := range []string{"first", "second", "third"} {
			s.service.Push(jobs.Job{ID: "a"}, 0, func(err error) { answers <- answer(producer, err) })
		}
	})
	var order []string
	for range 3 {
		order = append(order, receive(t, "an answer", answers))
	}
	if want := []string{"first", "second", "third"}; !slices.Equal(order, want) {
		t.Errorf("answered %v, want %v", order, want)
	}
}

// Reports under an earlier lease of a job are rejected; those under its newest lease are answered in order.
func TestReportsOfTwoLeases(t *testing.T) {
	s := openTest(t, Config{Path: filepath.Join(t.TempDir(), "jobs.db"), Jobs: jobs.Config{LeaseDuration: time.Hour}})
	defer s.close()
	if err := s.push(jobs.Job{ID: "a"}); err != nil {
		t.Fatal(err)
	}
	receive(t, "the job", s.runnable)
	first := s.assign("a").job
	err := s.wait("the answer to a report that it never started", func(done func(error)) { s.service.Fail("a", first.Fence, "busy", false, done) })
	if err != nil {
		t.Fatal(err)
	}
	receive(t, "the job again", s.runnable)
	second := s.assign("a").job
	if err := s.startJob("a", first.Fence); !errors.Is(err, jobs.ErrLeaseVoid) {
		t.Errorf("a start under a void lease: %v", err)
	}
	if err := s.ack("a", first.Fence); !errors.Is(err, jobs.ErrLeaseVoid) {
		t.Errorf("an ack under a void lease: %v", err)
	}
	answers := make(chan string, 2)
	s.onLoop(func() { // the second is sent before the first is on disk
		s.service.Ack("a", second.Fence, nil, func(err error) { answers <- answer("first", err) })
		s.service.Ack("a", second.Fence, nil, func(err error) { answers <- answer("second", err) })
	})
	earlier := receive(t, "an answer", answers)
	later := receive(t, "an answer", answers)
	if earlier != "first" || later != "second" {
		t.Errorf("answered %q, %q", earlier, later)
	}
	if err := s.ack("nobody", 1); !errors.Is(err, jobs.ErrUnknownJob) {
		t.Errorf("an ack of an unknown job: %v", err)
	}
}

// After a restart, waiting jobs are announced in the order of their pushes. A job that may have run waits for its worker's
// report, and is then in doubt until an operator resolves it.
func TestRestart(t *testing.T) {
	config := Config{
		Path: filepath.Join(t.TempDir(), "jobs.db"),
		Jobs: jobs.Config{LeaseDuration: 50 * time.Millisecond, RecoveryGrace: 50 * time.Millisecond},
	}
	s := openTest(t, config)
	for _, id := range []string{"z", "m", "a", "b"} {
		if err := s.push(jobs.Job{ID: id, NonIdempotent: true}); err != nil {
			t.Fatal(err)
		}
		receive(t, id, s.runnable)
	}
	s.assign("m")
	held := s.assign("b").job
	if err := s.startJob("b", held.Fence); err != nil {
		t.Fatal(err)
	}
	s.close()
	if _, err := Open(s.loop, Config{Path: config.Path + "/no"}, slog.Default()); err == nil {
		t.Error("opened a path where no file can be created")
	}
	s = openTest(t, config)
	defer s.close()
	var ids []string
	for range 3 { // the worker of m honors fences and never asked to start it, so m is runnable after the grace time
		ids = append(ids, receive(t, "a job that waited", s.runnable).ID)
	}
	if want := []string{"z", "a", "m"}; !slices.Equal(ids, want) {
		t.Errorf("may run: %v, want %v", ids, want)
	}
	checkResolution(t, s, "b")
	var counts map[jobs.State]int
	s.onLoop(func() { counts = s.service.Counts() })
	if counts[jobs.Ready] != 3 || counts[jobs.Done] != 1 || len(counts) != 2 {
		t.Errorf("counted %v, want 3 ready and 1 done", counts)
	}
}

// checkResolution resolves a job in doubt, and checks that a reason is required and logged.
func checkResolution(t *testing.T, s *testService, id string) {
	t.Helper()
	if got := s.state(id); got != "in doubt" {
		t.Fatalf("the job that had started is %q, want in doubt", got)
	}
	resolve := func(reason jobs.Reason) (err error) {
		s.onLoop(func() { err = s.service.Resolve(id, true, reason) })
		return err
	}
	if resolve("") == nil {
		t.Error("resolved without a reason")
	}
	if err := resolve("the charge was found"); err != nil || s.state(id) != "done" {
		t.Errorf("resolved: %v, %s", err, s.state(id))
	}
	if !strings.Contains(s.log.String(), "the charge was found") {
		t.Error("the reason is not in the log")
	}
}
