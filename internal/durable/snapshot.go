package durable

import (
	"fmt"
	"path/filepath"
	"strings"
)

// Snapshot writes a consistent copy of the store to a file of that name beside it, while the store stays in use. It
// calls done with nil once the copy is on disk, or with the error.
func (s *Service) Snapshot(name string, done func(error)) {
	path, err := SiblingPath(s.path, name)
	if err != nil {
		done(err)
		return
	}
	go func() {
		err := s.store.Snapshot(path)
		s.loop.Post(func() {
			if err != nil {
				s.log.Info("snapshot of the durable jobs", "path", path, "error", err)
			} else {
				s.log.Info("snapshot of the durable jobs", "path", path)
			}
			done(err)
		})
	}()
}

// SiblingPath returns the path of a file beside a store. A name that leads to another directory is an error.
func SiblingPath(storePath, name string) (string, error) {
	if name == "" || name != filepath.Base(name) || strings.HasPrefix(name, ".") {
		return "", fmt.Errorf("name: %q is no plain file name: a snapshot lies beside the store", name)
	}
	return filepath.Join(filepath.Dir(storePath), name), nil
}
