// Package store keeps records, the durable jobs, in one bbolt file. A single goroutine writes them, many changes to
// one fsync, and reports each change's fate in the order in which the changes were handed over: a change is reported
// as stored only once the disk has it. A damaged record is an error, never passed over. The package does not know
// what a record means.
package store

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

// Options bound a store. A zero field takes its default.
type Options struct {
	// GroupCommitDelay is how long a batch of changes waits for further ones before its fsync; 0: a batch is what
	// came while the one before it was being stored.
	GroupCommitDelay time.Duration
	MaxBatch         int           // changes in one fsync at most; default 1024
	OpenTimeout      time.Duration // how long Open waits for another process to close the file; default 1 s
	InjectWriteError func() error  // for tests: the error of the next write; nil: none
}

// The defaults of Options.
const (
	defaultMaxBatch    = 1024
	defaultOpenTimeout = time.Second
)

// fileMode lets only the file's owner read jobs, whose payloads may be personal.
const fileMode = 0o600

// Record is what is stored under one id.
type Record struct {
	ID    string
	Value any // marshalled as JSON; nil: delete the record
}

// Store is an open file. Its methods may be called from any goroutine.
type Store struct {
	db            *bbolt.DB
	options       Options
	mu            sync.Mutex
	queue         []change      // guarded by mu
	closed        bool          // guarded by mu
	wake          chan struct{} // of capacity 1: there may be something for the writer to do
	writerStopped chan struct{}
}

// ErrClosed is the fate of changes that are handed over after Close.
var ErrClosed = errors.New("the store is closed")

// Open opens a file, or makes one. The error names the file and says that another process has it open, that it is
// damaged, or that its schema is a later one.
func Open(path string, options Options) (*Store, error) {
	if options.MaxBatch == 0 {
		options.MaxBatch = defaultMaxBatch
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

// openFile opens a file, waiting a while for another process to close it.
func openFile(path string, timeout time.Duration) (db *bbolt.DB, err error) {
	defer recoverDamaged(path+": ", &err)
	db, err = bbolt.Open(path, fileMode, fileOptions(timeout))
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return nil, fmt.Errorf("%s: another process has it open", path)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return db, nil
}

// fileOptions are the options with which bbolt opens a file.
func fileOptions(timeout time.Duration) *bbolt.Options {
	return &bbolt.Options{Timeout: timeout, FreelistType: bbolt.FreelistMapType}
}

// recoverDamaged, deferred, turns a panic into an error: bbolt panics in places where a file is damaged.
func recoverDamaged(prefix string, err *error) {
	if p := recover(); p != nil {
		*err = fmt.Errorf("%sthe file is damaged: %v", prefix, p)
	}
}

// Close stores what has been handed over and closes the file. A second Close returns ErrClosed.
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
