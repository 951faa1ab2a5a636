package store

import (
	"encoding/binary"
	"fmt"

	"go.etcd.io/bbolt"
)

// SchemaVersion is the version of the files and records that are written. Open migrates files of earlier versions and
// rejects those of later ones.
const SchemaVersion = 1

// migrations[n] migrates a file from schema n to n+1.
var migrations = map[uint64]func(*bbolt.Tx) error{}

// The buckets of a file, and the key of its schema version in the meta bucket: 8 bytes, big-endian.
var (
	metaBucket    = []byte("meta")
	recordsBucket = []byte("jobs")
	schemaKey     = []byte("schema")
)

// migrate migrates the file to SchemaVersion. A file that already has this version is not written to.
func (s *Store) migrate() (err error) {
	defer recoverDamaged("", &err)
	current := false
	err = s.db.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		if meta == nil || tx.Bucket(recordsBucket) == nil {
			return nil
		}
		version, known := readSchema(meta)
		current = known && version == SchemaVersion
		return nil
	})
	if err != nil || current {
		return err
	}
	return s.db.Update(migrateFile)
}

// readSchema reads a file's schema version; known is false if it has none.
func readSchema(meta *bbolt.Bucket) (version uint64, known bool) {
	raw := meta.Get(schemaKey)
	if len(raw) != 8 {
		return 0, false
	}
	return binary.BigEndian.Uint64(raw), true
}

// migrateFile creates the buckets of a new file, and applies to a file of an earlier schema all migrations from there.
func migrateFile(tx *bbolt.Tx) error {
	meta, err := tx.CreateBucketIfNotExists(metaBucket)
	if err != nil {
		return err
	}
	if _, err := tx.CreateBucketIfNotExists(recordsBucket); err != nil {
		return err
	}
	version, known := readSchema(meta)
	if !known {
		version = SchemaVersion
	}
	if version > SchemaVersion {
		return fmt.Errorf("its schema is %d; this program knows %d", version, SchemaVersion)
	}
	for ; version < SchemaVersion; version++ {
		migration := migrations[version]
		if migration == nil {
			return fmt.Errorf("there is no migration from schema %d", version)
		}
		if err := migration(tx); err != nil {
			return fmt.Errorf("migration from schema %d: %w", version, err)
		}
	}
	return meta.Put(schemaKey, binary.BigEndian.AppendUint64(nil, SchemaVersion))
}
