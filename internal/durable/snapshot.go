package durable

import (
	"fmt"
	"path/filepath"
	"strings"
)

// Snapshot writes a consistent copy of the store to a file of the given name in the same directory. The store can be
// used meanwhile. Snapshot calls done with nil once the copy is on disk, or with the error, ErrClosing or
// ErrUnconfirmed.
func (s *Service) Snapshot(name string, done func(error)) {
	path, err := SiblingPath(s.path, name)
	if err != nil {
		done(err)
		return
	}
	if !s.IsOpen() {
		done(ErrClosing)
		return
	}
	answer := s.calls.add(done)
	s.snapshots.Go(func() {
		err := s.store.Snapshot(path)
		s.loop.Post(func() {
			if err != nil {
				s.log.Info("snapshot of the durable jobs", "path", path, "error", err)
			} else {
				s.log.Info("snapshot of the durable jobs", "path", path)
			}
			answer(err)
		})
	})
}

// SiblingPath returns the path of a file in the directory of a store. The name must not lead to another directory, be
// empty or begin with a dot.
func SiblingPath(storePath, name string) (string, error) {
	if name == "" || name != filepath.Base(name) || strings.HasPrefix(name, ".") {
		return "", fmt.Errorf("name: %q is no plain file name: a snapshot lies beside the store", name)
	}
	return filepath.Join(filepath.Dir(storePath), name), nil
}
