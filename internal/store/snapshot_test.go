package store

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// backgroundWriters write records to a store until they are stopped.
type backgroundWriters struct {
	running      sync.WaitGroup
	stopping     chan struct{}
	mu           sync.Mutex
	acknowledged map[string]bool // ids that were reported as stored; guarded by mu
}

func startWriters(store *Store, count int) *backgroundWriters {
	writers := &backgroundWriters{stopping: make(chan struct{}), acknowledged: map[string]bool{}}
	for writer := range count {
		writers.running.Go(func() { writers.write(store, writer) })
	}
	return writers
}

// write writes records one after the other.
func (w *backgroundWriters) write(store *Store, writer int) {
	for i := 0; ; i++ {
		select {
		case <-w.stopping:
			return
		default:
		}
		id := fmt.Sprint(writer, "-", i)
		acknowledge := func(error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.acknowledged[id] = true
		}
		putAndReport(store, acknowledge, withTwin(id, strings.Repeat("s", 300))...)
	}
}

// stop waits until the writers have written their current records and stopped.
func (w *backgroundWriters) stop() {
	close(w.stopping)
	w.running.Wait()
}

// awaitMoreThan waits until more than count records have been reported as stored, and returns their ids.
func (w *backgroundWriters) awaitMoreThan(count int) map[string]bool {
	for {
		w.mu.Lock()
		acknowledged := maps.Clone(w.acknowledged)
		w.mu.Unlock()
		if len(acknowledged) > count {
			return acknowledged
		}
		time.Sleep(time.Millisecond)
	}
}

// checkSnapshot checks that a snapshot is undamaged and holds all records that were reported as stored before it.
func checkSnapshot(t *testing.T, path string, acknowledged map[string]bool) {
	t.Helper()
	when := "snapshot " + filepath.Base(path)
	snapshot := mustOpen(t, path)
	defer snapshot.Close()
	if _, err := snapshot.Verify(); err != nil {
		t.Errorf("%s: %v", when, err)
	}
	states := mustLoad(t, snapshot)
	for id := range acknowledged {
		if states[id] == "" {
			t.Fatalf("%s: %s was reported as stored before it and is not there", when, id)
		}
	}
	checkTwins(t, when, states)
}

// checkNothingLeft checks that a directory holds no temporary file.
func checkNothingLeft(t *testing.T, directory string) {
	t.Helper()
	entries, err := os.ReadDir(directory)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		if strings.HasPrefix(entry.Name(), ".") || strings.HasSuffix(entry.Name(), ".compact") {
			t.Errorf("left behind: %s", entry.Name())
		}
	}
}

// A snapshot that is taken while other goroutines write is consistent: it holds both records of a Put or none, and all
// records that were reported as stored before it.
func TestSnapshotWhileOthersWrite(t *testing.T) {
	path := newPath(t)
	store := mustOpen(t, path)
	defer store.Close()
	writers := startWriters(store, 4)
	defer writers.stop()
	for number := range 5 {
		acknowledged := writers.awaitMoreThan(40 * (number + 1))
		snapshotPath := filepath.Join(filepath.Dir(path), fmt.Sprint("copy-", number))
		if err := store.Snapshot(snapshotPath); err != nil {
			t.Fatal(err)
		}
		checkSnapshot(t, snapshotPath, acknowledged)
	}
	checkNothingLeft(t, filepath.Dir(path))
}

// A snapshot does not replace a file.
func TestSnapshotReplacesNoFile(t *testing.T) {
	path := newPath(t)
	store := mustOpen(t, path)
	defer store.Close()
	snapshotPath := filepath.Join(filepath.Dir(path), "copy")
	if err := store.Snapshot(snapshotPath); err != nil {
		t.Fatal(err)
	}
	if store.Snapshot(snapshotPath) == nil {
		t.Error("a snapshot replaced another file")
	}
	checkNothingLeft(t, filepath.Dir(path))
}

// Compact keeps all records in a smaller file, and is an error on a file that is open.
func TestCompact(t *testing.T) {
	path := newPath(t)
	store := mustOpen(t, path)
	writers := startWriters(store, 4)
	writers.awaitMoreThan(200)
	writers.stop()
	want := mustLoad(t, store)
	for id := range want { // delete most records
		if len(want) > 20 {
			mustPut(t, store, id, nil)
			delete(want, id)
		}
	}
	_, _, err := Compact(path, 50*time.Millisecond)
	expectError(t, "compacted while open", err, "another process has it open")
	store.Close()
	before, after, err := Compact(path, time.Second)
	if err != nil || after >= before {
		t.Errorf("compacted from %d to %d bytes: %v", before, after, err)
	}
	store = mustOpen(t, path)
	defer store.Close()
	if got := mustLoad(t, store); !maps.Equal(got, want) {
		t.Errorf("compacted: %d jobs, want %d", len(got), len(want))
	}
	checkNothingLeft(t, filepath.Dir(path))
}
