// Package store keeps the records of durable jobs in one bbolt file. A single goroutine writes them, with one fsync for
// a batch of changes, and reports for each change whether it was stored, in the order of the calls of Put. A change is
// reported as stored only once it is on disk. Reading a damaged record is an error; it is never skipped. The package
// does not interpret the records.
package store

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

// Options configure a store. A zero field takes its default.
type Options struct {
	// GroupCommitDelay is how long a batch of several changes waits for further ones before it is written. With 0 a
	// batch holds the changes that arrived while the previous batch was being stored.
	GroupCommitDelay time.Duration
	MaxBatch         int           // maximum number of changes in one transaction; default 1024
	MaxBatchBytes    int           // size of the records in one transaction, beyond which it gets no further change; default 4 MiB
	OpenTimeout      time.Duration // how long Open waits for another process to close the file; default 1 s
	InjectWriteError func() error  // for tests: called in each write; an error that it returns makes the write fail
}

// The defaults of Options.
const (
	defaultMaxBatch      = 1024
	defaultMaxBatchBytes = 4 << 20
	defaultOpenTimeout   = time.Second
)

// fileMode lets only the file's owner read the jobs, whose payloads may hold personal data.
const fileMode = 0o600

// Record is what is stored under one id.
type Record struct {
	ID    string
	Value any // marshalled as JSON; nil deletes the record
}

// Sized is a value of a record that tells about how many bytes it takes up, which counts towards Options.MaxBatchBytes.
type Sized interface {
	Size() int
}

// Incomplete is a value of a record a part of which is in the store only. Complete returns the whole value, given the JSON
// that is stored under the id. It is called on the store's goroutine.
type Incomplete interface {
	IsComplete() bool
	Complete(stored []byte) (value any, err error)
}

// Store is an open file. Its methods may be called from any goroutine.
type Store struct {
	db            *bbolt.DB
	options       Options
	mu            sync.Mutex
	queue         []change      // guarded by mu
	closed        bool          // guarded by mu
	wake          chan struct{} // of capacity 1; a value tells the writer that the queue or closed has changed
	writerStopped chan struct{}
}

// ErrClosed is the error of calls after Close: of Put, for its changes, and of a second Close.
var ErrClosed = errors.New("the store is closed")

// Open opens a file, and creates it if it does not exist. The error names the file and says whether another process has
// it open, it is damaged, or its schema is newer than this program.
func Open(path string, options Options) (*Store, error) {
	if options.MaxBatch == 0 {
		options.MaxBatch = defaultMaxBatch
	}
	if options.MaxBatchBytes == 0 {
		options.MaxBatchBytes = defaultMaxBatchBytes
	}
	if options.OpenTimeout == 0 {
		options.OpenTimeout = defaultOpenTimeout
	}
	db, err := openFile(path, options.OpenTimeout)
	if err != nil {
		return nil, err
	}
	store := &Store{db: db, options: options, wake: make(chan struct{}, 1), writerStopped: make(chan struct{})}
	if err := store.migrate(); err != nil {
		db.Close()
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	go store.write()
	return store, nil
}

// openFile opens a file. If another process has it open, it waits for up to timeout until that one closes it. If that
// one has replaced the file meanwhile, openFile opens the new one.
func openFile(path string, timeout time.Duration) (db *bbolt.DB, err error) {
	for {
		db, replaced, err := openLocked(path, timeout)
		if errors.Is(err, bbolterrors.ErrTimeout) {
			return nil, fmt.Errorf("%s: another process has it open", path)
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		if !replaced {
			return db, nil
		}
		if err := db.Close(); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
	}
}

// openLocked opens a file and waits for its lock. replaced reports whether there is another file at the path by then: the
// lock is of the file that was opened, and whoever held it may have put a new one in its place.
func openLocked(path string, timeout time.Duration) (db *bbolt.DB, replaced bool, err error) {
	defer recoverDamaged("", &err)
	options := fileOptions(timeout)
	var opened os.FileInfo
	options.OpenFile = func(name string, flag int, mode os.FileMode) (*os.File, error) {
		file, err := os.OpenFile(name, flag, mode)
		if err != nil {
			return nil, err
		}
		opened, err = file.Stat()
		if err != nil {
			file.Close()
			return nil, err
		}
		return file, nil
	}
	db, err = bbolt.Open(path, fileMode, options)
	if err != nil {
		return nil, false, err
	}
	current, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return db, true, nil
	}
	if err != nil {
		db.Close()
		return nil, false, err
	}
	return db, !os.SameFile(opened, current), nil
}

// fileOptions are the options with which bbolt opens a file.
func fileOptions(timeout time.Duration) *bbolt.Options {
	return &bbolt.Options{Timeout: timeout, FreelistType: bbolt.FreelistMapType}
}

// recoverDamaged must be deferred. It turns a panic into an error, as some functions of bbolt panic on a damaged file.
func recoverDamaged(prefix string, err *error) {
	if p := recover(); p != nil {
		*err = fmt.Errorf("%sthe file is damaged: %v", prefix, p)
	}
}

// Close stores all changes that were passed to Put before and closes the file. A second Close returns ErrClosed.
func (s *Store) Close() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return ErrClosed
	}
	s.closed = true
	s.mu.Unlock()
	s.wakeWriter()
	<-s.writerStopped
	return s.db.Close()
}
