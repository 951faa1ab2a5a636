package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"
)

// fillWithMarker writes 300 records, and one more, 'last', whose payload is the text 'marker', by which damageRecord finds
// it in the file.
func fillWithMarker(t *testing.T, store *Store) {
	t.Helper()
	for i := range 300 {
		store.Put([]Record{{fmt.Sprint("job-", i), testJob{"accepted", strings.Repeat("y", 200)}}}, func(error) {})
	}
	mustPut(t, store, "last", testJob{"accepted", "marker"})
}

// newMarkedFile creates a file with the records of fillWithMarker.
func newMarkedFile(t *testing.T) (path string) {
	t.Helper()
	path = newPath(t)
	store := mustOpen(t, path)
	fillWithMarker(t, store)
	store.Close()
	return path
}

// damageRecord changes a byte in each occurrence of the marker.
func damageRecord(content []byte) {
	for {
		at := bytes.Index(content, []byte("marker"))
		if at < 0 {
			return
		}
		content[at] ^= 1
	}
}

// damageMetaPages changes a byte in each of bbolt's two meta pages.
func damageMetaPages(content []byte) {
	for _, at := range []int{16, 4096 + 16} {
		content[at] ^= 0xff
	}
}

// setSchema changes the schema version of a file.
func setSchema(t *testing.T, path string, version uint64) {
	t.Helper()
	file, err := bbolt.Open(path, fileMode, nil)
	if err != nil {
		t.Fatal(err)
	}
	file.Update(func(tx *bbolt.Tx) error {
		return tx.Bucket(metaBucket).Put(schemaKey, binary.BigEndian.AppendUint64(nil, version))
	})
	file.Close()
}

// A file that is already open cannot be opened again.
func TestOpenTwice(t *testing.T) {
	path := newPath(t)
	store := mustOpen(t, path)
	defer store.Close()
	fillWithMarker(t, store)
	_, err := Open(path, Options{OpenTimeout: 50 * time.Millisecond})
	expectError(t, "opened twice", err, "another process has it open")
}

// A Put after Close is rejected.
func TestPutAfterClose(t *testing.T) {
	store := mustOpen(t, newPath(t))
	store.Close()
	store.Put([]Record{{"x", testJob{}}}, func(err error) {
		if !errors.Is(err, ErrClosed) {
			t.Errorf("after Close: %v, want ErrClosed", err)
		}
	})
}

// A byte of a record has changed: Load fails with an error that names the record, and Verify finds it.
func TestDamagedRecord(t *testing.T) {
	content := mustReadFile(t, newMarkedFile(t))
	damageRecord(content)
	path := filepath.Join(t.TempDir(), "bad.db")
	mustWriteFile(t, path, content)
	store := mustOpen(t, path)
	defer store.Close()
	_, err := Load(store, func(string, []byte) (int, bool, error) { return 0, false, nil })
	expectError(t, "a damaged record", err, `job "last": its record is damaged`)
	if _, err := store.Verify(); err == nil {
		t.Error("Verify finds nothing")
	}
}

// A file with both meta pages damaged cannot be opened, and the error names the file.
func TestDamagedMetaPages(t *testing.T) {
	content := mustReadFile(t, newMarkedFile(t))
	damageRecord(content)
	damageMetaPages(content)
	path := filepath.Join(t.TempDir(), "bad.db")
	mustWriteFile(t, path, content)
	_, err := Open(path, Options{})
	expectError(t, "damaged meta pages", err, path)
}

// A file of a later schema cannot be opened.
func TestLaterSchema(t *testing.T) {
	path := newMarkedFile(t)
	setSchema(t, path, SchemaVersion+1)
	_, err := Open(path, Options{})
	expectError(t, "a later schema", err, "its schema is 2; this program knows 1")
}
