package store

import (
	"errors"
	"fmt"
	"os"
	"time"

	"go.etcd.io/bbolt"
)

// compactTxSize is the maximum size in bytes of a transaction with which Compact writes the new file.
const compactTxSize = 16 << 20

// Compact rewrites a file without the unused space in it, and returns its size in bytes before and after. If a process
// has the file open, Compact waits for up to timeout until that one closes it. The old file stays in place until the
// new one is on disk.
func Compact(path string, timeout time.Duration) (before, after int64, err error) {
	source, err := openFile(path, timeout)
	if err != nil {
		return 0, 0, err
	}
	defer source.Close()
	defer recoverDamaged(path+": ", &err)
	temporary := path + ".compact"
	if err := os.Remove(temporary); err != nil && !errors.Is(err, os.ErrNotExist) { // left by a Compact that was interrupted
		return 0, 0, err
	}
	target, err := bbolt.Open(temporary, fileMode, fileOptions(timeout))
	if err != nil {
		return 0, 0, err
	}
	defer os.Remove(temporary)
	err = bbolt.Compact(target, source, compactTxSize)
	if err = errors.Join(err, target.Sync(), target.Close()); err != nil {
		return 0, 0, fmt.Errorf("%s: %w", path, err)
	}
	return replaceFile(path, temporary)
}

// replaceFile replaces the file at path and returns the sizes of the old and the new file.
func replaceFile(path, replacement string) (before, after int64, err error) {
	oldInfo, err := os.Stat(path)
	if err != nil {
		return 0, 0, err
	}
	newInfo, err := os.Stat(replacement)
	if err != nil {
		return 0, 0, err
	}
	if err := os.Rename(replacement, path); err != nil {
		return 0, 0, err
	}
	return oldInfo.Size(), newInfo.Size(), syncDirectoryOf(path)
}
