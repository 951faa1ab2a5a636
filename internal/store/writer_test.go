package store

import (
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

// A change that cannot be stored is reported, takes no other change with it, and the store goes on.
func TestWriteFails(t *testing.T) {
	s, err := Open(filepath.Join(t.TempDir(), "jobs.db"), Options{GroupCommitDelay: 5 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	mustPut(t, s, "a", testJob{"accepted", ""})
	full := errors.New("no space left on device")
	var mu sync.Mutex
	failing := true
	s.mu.Lock()
	s.options.InjectWriteError = func() error {
		mu.Lock()
		defer mu.Unlock()
		if failing {
			return full
		}
		return nil
	}
	s.mu.Unlock()
	var order []int
	var running sync.WaitGroup
	for i := range 50 {
		running.Add(1)
		s.Put([]Record{{fmt.Sprint("b", i), testJob{"accepted", ""}}}, func(err error) {
			if !errors.Is(err, full) {
				t.Errorf("%d: %v", i, err)
			}
			order = append(order, i)
			running.Done()
		})
	}
	running.Wait()
	for i, n := range order {
		if i != n {
			t.Fatalf("reported in the order %v", order)
		}
	}
	mu.Lock()
	failing = false
	mu.Unlock()
	mustPut(t, s, "c", testJob{"accepted", ""})
	mustPut(t, s, "a", nil)
	if got := mustLoad(t, s); len(got) != 1 || got["c"] != "accepted" {
		t.Errorf("%v", got)
	}
	results := make(chan error, 2) // a value that cannot be marshalled does not take the other with it
	s.Put([]Record{{"d", make(chan int)}}, func(err error) { results <- err })
	s.Put([]Record{{"e", testJob{"accepted", ""}}}, func(err error) { results <- err })
	if first, second := <-results, <-results; first == nil || second != nil {
		t.Errorf("%v, %v", first, second)
	}
}

// Close while a change is being reported, with another one queued behind it: both are stored, and Close ends.
func TestCloseMeetsAWrite(t *testing.T) {
	path := filepath.Join(t.TempDir(), "jobs.db")
	s, err := Open(path, Options{})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	s.Put([]Record{{"a", testJob{"accepted", ""}}}, func(error) {
		s.Put([]Record{{"b", testJob{"accepted", ""}}}, func(error) {})
		go func() { ended <- s.Close() }()
		for closed := false; !closed; time.Sleep(time.Millisecond) {
			s.mu.Lock()
			closed = s.closed
			s.mu.Unlock()
		}
	})
	select {
	case err := <-ended:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("Close does not end")
	}
	if s, err = Open(path, Options{}); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if got := mustLoad(t, s); len(got) != 2 {
		t.Errorf("%v", got)
	}
}
