package store

import (
	"encoding/binary"
	"errors"
	"path/filepath"
	"strings"
	"testing"

	"go.etcd.io/bbolt"
)

// A file of an earlier schema is migrated as it is opened, completely or not at all.
func TestMigration(t *testing.T) {
	path := filepath.Join(t.TempDir(), "jobs.db")
	s, err := Open(path, Options{})
	if err != nil {
		t.Fatal(err)
	}
	mustPut(t, s, "a", testJob{"old", ""})
	s.Close()
	db, err := bbolt.Open(path, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	db.Update(func(tx *bbolt.Tx) error {
		return tx.Bucket(metaBucket).Put(schemaKey, binary.BigEndian.AppendUint64(nil, SchemaVersion-1))
	})
	db.Close()
	if _, err := Open(path, Options{}); err == nil || !strings.Contains(err.Error(), "no way from schema 0 on") {
		t.Fatalf("without a migration: %v", err)
	}
	fail := true
	migrations[SchemaVersion-1] = func(tx *bbolt.Tx) error {
		raw, err := encode(Record{"a", testJob{"new", ""}})
		if err == nil {
			err = tx.Bucket(recordsBucket).Put([]byte("a"), raw)
		}
		if fail {
			return errors.New("half way")
		}
		return err
	}
	defer delete(migrations, SchemaVersion-1)
	if _, err := Open(path, Options{}); err == nil || !strings.Contains(err.Error(), "half way") {
		t.Fatalf("a migration that fails: %v", err)
	}
	fail = false
	if s, err = Open(path, Options{}); err != nil {
		t.Fatal(err)
	}
	if got := mustLoad(t, s); got["a"] != "new" {
		t.Errorf("%v", got)
	}
	s.Close()
	delete(migrations, SchemaVersion-1) // it is not needed again
	if s, err = Open(path, Options{}); err != nil {
		t.Fatal(err)
	}
	s.Close()
}
