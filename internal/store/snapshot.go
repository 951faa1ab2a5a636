package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"go.etcd.io/bbolt"
)

// Snapshot writes a consistent copy of the file to another path, completely or not at all. The store can be used
// meanwhile. It is an error if there already is a file at that path.
func (s *Store) Snapshot(path string) error {
	if _, err := os.Lstat(path); !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%s: there is a file already", path)
	}
	temporary, err := os.CreateTemp(filepath.Dir(path), ".snapshot-*")
	if err != nil {
		return err
	}
	defer os.Remove(temporary.Name())
	err = s.copyTo(temporary)
	if err = errors.Join(err, temporary.Close()); err != nil {
		return err
	}
	if err := os.Link(temporary.Name(), path); err != nil { // unlike os.Rename, os.Link never replaces a file
		return err
	}
	return syncDirectoryOf(path)
}

// copyTo writes the store's current content to a file and syncs it.
func (s *Store) copyTo(file *os.File) error {
	err := s.db.View(func(tx *bbolt.Tx) error {
		_, err := tx.WriteTo(file)
		return err
	})
	if err != nil {
		return err
	}
	return file.Sync()
}

// syncDirectoryOf makes the entry of a file in its directory durable.
func syncDirectoryOf(path string) error {
	directory, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer directory.Close()
	return directory.Sync()
}
