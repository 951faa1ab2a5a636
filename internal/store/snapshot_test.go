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

// A snapshot that is taken while others write is consistent: the records of one Put are there together, and all that
// was reported as stored before it. Compact keeps all records, in less space.
func TestSnapshotAndCompact(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "jobs.db")
	s, err := Open(path, Options{})
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	acknowledged := map[string]bool{}
	stop := make(chan struct{})
	var running sync.WaitGroup
	for p := range 4 {
		running.Add(1)
		go func() {
			defer running.Done()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				id, done := fmt.Sprint(p, "-", i), make(chan struct{})
				s.Put([]Record{{id, testJob{"accepted", strings.Repeat("s", 300)}}, {id + "+", testJob{"twin", ""}}}, func(error) {
					mu.Lock()
					acknowledged[id] = true
					mu.Unlock()
					close(done)
				})
				<-done
			}
		}()
	}
	for n := range 5 {
		for enough := false; !enough; time.Sleep(time.Millisecond) {
			mu.Lock()
			enough = len(acknowledged) > 40*(n+1)
			mu.Unlock()
		}
		mu.Lock()
		var before []string
		for id := range acknowledged {
			before = append(before, id)
		}
		mu.Unlock()
		snapshotPath := filepath.Join(dir, fmt.Sprint("copy-", n))
		if err := s.Snapshot(snapshotPath); err != nil {
			t.Fatal(err)
		}
		snapshot, err := Open(snapshotPath, Options{})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := snapshot.Verify(); err != nil {
			t.Error(err)
		}
		got := mustLoad(t, snapshot)
		snapshot.Close()
		for _, id := range before {
			if got[id] == "" {
				t.Fatalf("snapshot %d: %s was reported as stored before it and is not there", n, id)
			}
		}
		for id := range got {
			if twin, is := strings.CutSuffix(id, "+"); is && got[twin] == "" || !is && got[id+"+"] == "" {
				t.Fatalf("snapshot %d: %s is there without the other record of its Put", n, id)
			}
		}
	}
	close(stop)
	running.Wait()
	want := mustLoad(t, s)
	for id := range want { // most are deleted
		if len(want) > 20 {
			mustPut(t, s, id, nil)
			delete(want, id)
		}
	}
	if _, _, err := Compact(path, 50*time.Millisecond); err == nil || !strings.Contains(err.Error(), "another process has it open") {
		t.Errorf("compacted while open: %v", err)
	}
	if err := s.Snapshot(filepath.Join(dir, "copy-0")); err == nil {
		t.Error("a snapshot replaced another file")
	}
	s.Close()
	before, after, err := Compact(path, time.Second)
	if err != nil || after >= before {
		t.Errorf("compacted from %d to %d bytes: %v", before, after, err)
	}
	if s, err = Open(path, Options{}); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if got := mustLoad(t, s); !maps.Equal(got, want) {
		t.Errorf("compacted: %d jobs, want %d", len(got), len(want))
	}
	list, _ := os.ReadDir(dir)
	for _, f := range list {
		if strings.HasPrefix(f.Name(), ".") || strings.HasSuffix(f.Name(), ".compact") {
			t.Errorf("left behind: %s", f.Name())
		}
	}
}
