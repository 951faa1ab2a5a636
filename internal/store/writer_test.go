package store

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

var errDiskFull = errors.New("no space left on device")

// Changes that cannot be stored are reported in the order of their Puts, and the store then stores later ones.
func TestWriteFails(t *testing.T) {
	var diskFull atomic.Bool
	store, err := Open(newPath(t), Options{GroupCommitDelay: 5 * time.Millisecond, InjectWriteError: func() error {
		if diskFull.Load() {
			return errDiskFull
		}
		return nil
	}})
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	mustPut(t, store, "a", testJob{"accepted", ""})

	diskFull.Store(true)
	var reported []int
	var running sync.WaitGroup
	for i := range 50 {
		running.Add(1)
		store.Put([]Record{{fmt.Sprint("b", i), testJob{"accepted", ""}}}, func(err error) {
			if !errors.Is(err, errDiskFull) {
				t.Errorf("%d: %v, want %v", i, err, errDiskFull)
			}
			reported = append(reported, i)
			running.Done()
		})
	}
	running.Wait()
	for want, got := range reported {
		if got != want {
			t.Fatalf("reported in the order %v", reported)
		}
	}

	diskFull.Store(false)
	mustPut(t, store, "c", testJob{"accepted", ""})
	mustPut(t, store, "a", nil)
	if got := mustLoad(t, store); len(got) != 1 || got["c"] != "accepted" {
		t.Errorf("the store holds %v, want c alone", got)
	}
}

// A change whose value cannot be marshalled does not make another one fail.
func TestValueThatCannotBeStored(t *testing.T) {
	store, err := Open(newPath(t), Options{GroupCommitDelay: 5 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	results := make(chan error, 2)
	report := func(err error) { results <- err }
	store.Put([]Record{{"d", make(chan int)}}, report)
	store.Put([]Record{{"e", testJob{"accepted", ""}}}, report)
	unmarshallable := <-results
	other := <-results
	if unmarshallable == nil || other != nil {
		t.Errorf("%v, %v; want an error for the first alone", unmarshallable, other)
	}
}

// awaitClosed waits until a store rejects further changes.
func awaitClosed(store *Store) {
	for closed := false; !closed; time.Sleep(time.Millisecond) {
		store.mu.Lock()
		closed = store.closed
		store.mu.Unlock()
	}
}

// Close is called while a change is being reported and another one is queued: both are stored, and Close returns.
func TestCloseDuringWrite(t *testing.T) {
	path := newPath(t)
	store := mustOpen(t, path)
	ended := make(chan error, 1)
	store.Put([]Record{{"a", testJob{"accepted", ""}}}, func(error) {
		store.Put([]Record{{"b", testJob{"accepted", ""}}}, func(error) {})
		go func() { ended <- store.Close() }()
		awaitClosed(store)
	})
	select {
	case err := <-ended:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("Close does not return")
	}
	store = mustOpen(t, path)
	defer store.Close()
	if got := mustLoad(t, store); len(got) != 2 {
		t.Errorf("the store holds %v, want two records", got)
	}
}
