package store

import (
	"errors"
	"testing"

	"go.etcd.io/bbolt"
)

// Open migrates a file of an earlier schema, completely or not at all.
func TestMigration(t *testing.T) {
	path := newPath(t)
	store := mustOpen(t, path)
	mustPut(t, store, "a", testJob{"old", ""})
	store.Close()
	setSchema(t, path, SchemaVersion-1)
	_, err := Open(path, Options{})
	expectError(t, "without a migration", err, "there is no migration from schema 0")

	migrationFails := true
	migrations[SchemaVersion-1] = func(tx *bbolt.Tx) error {
		raw, err := encode(Record{"a", testJob{"new", ""}})
		if err == nil {
			err = tx.Bucket(recordsBucket).Put([]byte("a"), raw)
		}
		if migrationFails {
			return errors.New("migration interrupted")
		}
		return err
	}
	defer delete(migrations, SchemaVersion-1)
	_, err = Open(path, Options{})
	expectError(t, "a migration that fails", err, "migration interrupted")

	migrationFails = false
	store = mustOpen(t, path)
	if got := mustLoad(t, store); got["a"] != "new" {
		t.Errorf("after the migration: %v, want a new", got)
	}
	store.Close()
	delete(migrations, SchemaVersion-1) // a migrated file needs no migration
	store = mustOpen(t, path)
	store.Close()
}
