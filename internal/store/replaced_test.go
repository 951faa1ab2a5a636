package store

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// testTimeout is how long these tests wait for an expected event.
const testTimeout = 20 * time.Second

// awaitOpenFiles waits until this process has opened a file so many times.
func awaitOpenFiles(t *testing.T, path string, want int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		entries, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Fatal(err)
		}
		open := 0
		for _, entry := range entries {
			target, _ := os.Readlink(filepath.Join("/proc/self/fd", entry.Name())) // fails for the directory itself
			if target == path {
				open++
			}
		}
		if open == want {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%s is open %d times, want %d", path, open, want)
		}
	}
}

// A dispatcher, or a second compaction, waits for the lock of a file while a compaction replaces it. It must use the new
// file: what it stores in the old one, which has no name any more, is lost at the next start, and the jobs run again.
func TestOpenUsesFileThatReplacedAnother(t *testing.T) {
	for _, test := range []struct {
		name string
		use  func(path string) error // what waits for the lock
		want int                     // records in the file afterwards
	}{
		{"a dispatcher starts", func(path string) error {
			store, err := Open(path, Options{OpenTimeout: testTimeout})
			if err != nil {
				return err
			}
			stored := make(chan error, 1)
			store.Put([]Record{{ID: "late", Value: 2}}, func(err error) { stored <- err })
			if err := <-stored; err != nil {
				return err
			}
			return store.Close()
		}, 2},
		{"a compaction starts", func(path string) error {
			_, _, err := Compact(path, testTimeout)
			return err
		}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "jobs.db")
			store, err := Open(path, Options{})
			if err != nil {
				t.Fatal(err)
			}
			if err := store.Close(); err != nil {
				t.Fatal(err)
			}
			holder, err := openFile(path, testTimeout)
			if err != nil {
				t.Fatal(err)
			}
			used := make(chan error, 1)
			go func() { used <- test.use(path) }()
			awaitOpenFiles(t, path, 2) // the user has opened the old file, and waits for its lock
			replaceWithOneRecord(t, path)
			if err := holder.Close(); err != nil {
				t.Fatal(err)
			}
			if err := <-used; err != nil {
				t.Fatal(err)
			}
			reopened, err := Open(path, Options{})
			if err != nil {
				t.Fatal(err)
			}
			defer reopened.Close()
			if records, err := reopened.Verify(); err != nil || records != test.want {
				t.Errorf("%d records, %v; want %d", records, err, test.want)
			}
		})
	}
}

// replaceWithOneRecord replaces the file at path by one with the record "early", as a compaction does.
func replaceWithOneRecord(t *testing.T, path string) {
	t.Helper()
	replacement := path + ".new"
	store, err := Open(replacement, Options{})
	if err != nil {
		t.Fatal(err)
	}
	stored := make(chan error, 1)
	store.Put([]Record{{ID: "early", Value: 1}}, func(err error) { stored <- err })
	if err := <-stored; err != nil {
		t.Fatal(err)
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
	if _, _, err := replaceFile(path, replacement); err != nil {
		t.Fatal(err)
	}
}
