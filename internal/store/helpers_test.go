package store

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// testJob is the value of the records in these tests.
type testJob struct{ State, Payload string }

// twinSuffix ends the id of the second record of a Put of two records.
const twinSuffix = "+"

// withTwin returns two records for one Put, which must be stored together or not at all.
func withTwin(id, payload string) []Record {
	return []Record{
		{id, testJob{"accepted", payload}},
		{id + twinSuffix, testJob{"twin", ""}},
	}
}

// checkTwins checks that both records of each Put of withTwin are there, or none.
func checkTwins(t *testing.T, when string, states map[string]string) {
	t.Helper()
	for id := range states {
		first, isTwin := strings.CutSuffix(id, twinSuffix)
		if isTwin && states[first] == "" || !isTwin && states[id+twinSuffix] == "" {
			t.Fatalf("%s: %s is there without the other record of its Put", when, id)
		}
	}
}

// newPath is the path of a file in a directory of its own.
func newPath(t testing.TB) string {
	t.Helper()
	return filepath.Join(t.TempDir(), "jobs.db")
}

// mustOpen opens a store.
func mustOpen(t testing.TB, path string) *Store {
	t.Helper()
	store, err := Open(path, Options{})
	if err != nil {
		t.Fatal(err)
	}
	return store
}

// put stores records and returns the error with which they are reported.
func put(store *Store, records ...Record) error {
	return putAndReport(store, func(error) {}, records...)
}

// putAndReport stores records as put does. It calls report from within onStored, on the store's goroutine, so the store
// does nothing else before report returns.
func putAndReport(store *Store, report func(error), records ...Record) error {
	result := make(chan error, 1)
	store.Put(records, func(err error) {
		report(err)
		result <- err
	})
	return <-result
}

// mustPut stores one record.
func mustPut(t testing.TB, store *Store, id string, value any) {
	t.Helper()
	if err := put(store, Record{id, value}); err != nil {
		t.Fatal(err)
	}
}

// load reads all records as values of a type, by id.
func load[T any](store *Store) (map[string]T, error) {
	type record struct {
		id    string
		value T
	}
	list, err := Load(store, func(id string, value []byte) (read record, keep bool, err error) {
		read.id = id
		err = json.Unmarshal(value, &read.value)
		return read, true, err
	})
	all := map[string]T{}
	for _, read := range list {
		all[read.id] = read.value
	}
	return all, err
}

// mustLoad reads the states of all records, by id.
func mustLoad(t testing.TB, store *Store) map[string]string {
	t.Helper()
	records, err := load[testJob](store)
	if err != nil {
		t.Fatal(err)
	}
	states := map[string]string{}
	for id, job := range records {
		states[id] = job.State
	}
	return states
}

// contents verifies a file whose values are strings and returns them by id.
func contents(path string) (map[string]string, error) {
	store, err := Open(path, Options{})
	if err != nil {
		return nil, err
	}
	defer store.Close()
	if _, err := store.Verify(); err != nil {
		return nil, err
	}
	return load[string](store)
}

// expectError checks that err is an error whose text contains part.
func expectError(t *testing.T, what string, err error, part string) {
	t.Helper()
	if err == nil || !strings.Contains(err.Error(), part) {
		t.Fatalf("%s: %v, want an error with %q", what, err, part)
	}
}

// mustReadFile reads a file.
func mustReadFile(t *testing.T, path string) []byte {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// mustWriteFile writes a file that only its owner may read.
func mustWriteFile(t *testing.T, path string, content []byte) {
	t.Helper()
	if err := os.WriteFile(path, content, fileMode); err != nil {
		t.Fatal(err)
	}
}
