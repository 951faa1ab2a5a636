// Package store keeps durable jobs on a disk, in one bbolt file. It writes off
// the loop's goroutine, many changes to one fsync, and tells what is stored in
// the order in which it was handed over. It must never tell that something is
// stored before the disk has it, pass over a record that is damaged, nor decide
// what a record means.
package store

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

// SchemaVersion is the version of what is written. Files of earlier ones are brought
// forward by migrations as they are opened; those of later ones are refused.
const SchemaVersion = 1

// migrations[n] brings a file from schema n to n+1.
var migrations = map[uint64]func(*bbolt.Tx) error{}

var (
	metaName = []byte("meta")
	jobsName = []byte("jobs")
	schema   = []byte("schema")
)

// Options bound the store.
type Options struct {
	GroupCommitDelay time.Duration // for which changes wait for others before their fsync; 0: only while others are being stored
	MaxBatch         int           // changes in one fsync at most; default 1024
	OpenTimeout      time.Duration // for another process to let go of the file; default 1 s
	InjectWriteError func() error  // for tests: an error that a write meets; nil: none
}

// Record is what is kept of one job: its id, and its state as the caller words it.
type Record struct {
	ID    string
	Value any // marshalled as JSON; nil: forget the job
}

// Store is an open file. Its methods may be called from any goroutine.
type Store struct {
	db     *bbolt.DB
	o      Options
	mu     sync.Mutex
	queue  []change
	closed bool
	wake   chan struct{}
	done   chan struct{}
}

type change struct {
	records []Record
	told    func(error)
}

// ErrClosed tells that the store has been closed.
var ErrClosed = errors.New("the store is closed")

// Open opens or makes a file. An error tells what is wrong with it: another
// process has it, it is damaged, or of a later schema.
func Open(path string, o Options) (*Store, error) {
	if o.MaxBatch == 0 {
		o.MaxBatch = 1024
	}
	if o.OpenTimeout == 0 {
		o.OpenTimeout = time.Second
	}
	db, err := open(path, o.OpenTimeout)
	if err != nil {
		return nil, err
	}
	s := &Store{db: db, o: o, wake: make(chan struct{}, 1), done: make(chan struct{})}
	if err := s.ready(); err != nil {
		db.Close()
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	go s.write()
	return s, nil
}

// damaged, deferred, makes an error of the library's panic, with which it meets a
// damaged file in places.
func damaged(where string, err *error) {
	if p := recover(); p != nil {
		*err = fmt.Errorf("%sthe file is damaged: %v", where, p)
	}
}

// open opens the file.
func open(path string, wait time.Duration) (db *bbolt.DB, err error) {
	defer damaged(path+": ", &err)
	db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: wait, FreelistType: bbolt.FreelistMapType})
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return nil, fmt.Errorf("%s: another process has it open", path)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return db, nil
}

// ready brings the file to this program's schema; one that is there is not written to.
func (s *Store) ready() (err error) {
	defer damaged("", &err)
	current := false
	err = s.db.View(func(tx *bbolt.Tx) error {
		if meta := tx.Bucket(metaName); meta != nil && tx.Bucket(jobsName) != nil {
			raw := meta.Get(schema)
			current = len(raw) == 8 && binary.BigEndian.Uint64(raw) == SchemaVersion
		}
		return nil
	})
	if err != nil || current {
		return err
	}
	return s.db.Update(s.prepare)
}

func (s *Store) prepare(tx *bbolt.Tx) error {
	meta, err := tx.CreateBucketIfNotExists(metaName)
	if err != nil {
		return err
	}
	if _, err := tx.CreateBucketIfNotExists(jobsName); err != nil {
		return err
	}
	version := uint64(SchemaVersion)
	if raw := meta.Get(schema); len(raw) == 8 {
		version = binary.BigEndian.Uint64(raw)
	}
	if version > SchemaVersion {
		return fmt.Errorf("its schema is %d; this program knows %d", version, SchemaVersion)
	}
	for ; version < SchemaVersion; version++ {
		step := migrations[version]
		if step == nil {
			return fmt.Errorf("no way from schema %d on", version)
		}
		if err := step(tx); err != nil {
			return fmt.Errorf("from schema %d on: %w", version, err)
		}
	}
	return meta.Put(schema, binary.BigEndian.AppendUint64(nil, SchemaVersion))
}

// Put hands changes over, which are stored together or not at all. told is
// called once, on the store's goroutine, in the order of Puts.
func (s *Store) Put(records []Record, told func(error)) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		told(ErrClosed)
		return
	}
	s.queue = append(s.queue, change{records, told})
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// write stores what has been handed over, as much as there is at a time.
func (s *Store) write() {
	defer close(s.done)
	for range s.wake {
		for {
			s.mu.Lock()
			n := len(s.queue)
			s.mu.Unlock()
			if n == 0 {
				break
			}
			if n < s.o.MaxBatch && s.o.GroupCommitDelay > 0 && n > 1 {
				time.Sleep(s.o.GroupCommitDelay) // others are coming: they share the fsync
			}
			s.mu.Lock()
			n = min(len(s.queue), s.o.MaxBatch)
			batch := s.queue[:n:n]
			s.queue = s.queue[n:]
			s.mu.Unlock()
			s.commit(batch)
		}
		s.mu.Lock()
		closed := s.closed && len(s.queue) == 0
		s.mu.Unlock()
		if closed {
			return
		}
	}
}

// commit stores a batch. If that fails it is tried one change at a time, so that
// one that cannot be kept does not take others with it.
func (s *Store) commit(batch []change) {
	err := s.update(batch)
	if err == nil || len(batch) == 1 {
		for _, c := range batch {
			c.told(err)
		}
		return
	}
	for i := range batch {
		batch[i].told(s.update(batch[i : i+1]))
	}
}

func (s *Store) update(batch []change) (err error) {
	defer damaged("", &err)
	return s.db.Update(func(tx *bbolt.Tx) error {
		jobs := tx.Bucket(jobsName)
		for _, c := range batch {
			for _, r := range c.records {
				if r.Value == nil {
					if err := jobs.Delete([]byte(r.ID)); err != nil {
						return err
					}
					continue
				}
				raw, err := encode(r)
				if err != nil {
					return err
				}
				if err := jobs.Put([]byte(r.ID), raw); err != nil {
					return err
				}
			}
		}
		if s.o.InjectWriteError != nil {
			return s.o.InjectWriteError()
		}
		return nil
	})
}

// A record is its schema, a checksum over id and value, and the value.
func encode(r Record) ([]byte, error) {
	value, err := json.Marshal(r.Value)
	if err != nil {
		return nil, fmt.Errorf("job %s: %w", r.ID, err)
	}
	out := binary.AppendUvarint(nil, SchemaVersion)
	out = binary.BigEndian.AppendUint64(out, sum(r.ID, value))
	return append(out, value...), nil
}

func sum(id string, value []byte) uint64 {
	h := xxhash.New()
	h.WriteString(id)
	h.Write([]byte{0})
	h.Write(value)
	return h.Sum64()
}

func decode(id string, raw []byte) ([]byte, error) {
	version, n := binary.Uvarint(raw)
	if n <= 0 || len(raw) < n+8 {
		return nil, fmt.Errorf("job %q: its record is cut off", id)
	}
	if version > SchemaVersion {
		return nil, fmt.Errorf("job %q: its record's schema is %d; this program knows %d", id, version, SchemaVersion)
	}
	value := raw[n+8:]
	if binary.BigEndian.Uint64(raw[n:]) != sum(id, value) {
		return nil, fmt.Errorf("job %q: its record is damaged: the checksum is wrong", id)
	}
	return value, nil
}

// Load reads all that is kept, decoded by several goroutines at a time, in the
// order of ids; false leaves a value out. The bytes are valid during the call. A
// damaged record is an error that names it.
func Load[T any](s *Store, word func(id string, value []byte) (T, bool, error)) (all []T, err error) {
	defer damaged("", &err)
	type part struct {
		ids  []string
		raw  [][]byte
		made []T
		err  error
	}
	const partSize = 4096
	var parts []*part
	var busy sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	start := func(p *part) {
		slots <- struct{}{}
		busy.Add(1)
		go func() {
			defer func() { <-slots; busy.Done() }()
			defer damaged("", &p.err)
			p.made = make([]T, 0, len(p.ids))
			for i, id := range p.ids {
				value, err := decode(id, p.raw[i])
				var made T
				keep := false
				if err == nil {
					made, keep, err = word(id, value)
				}
				if err != nil {
					p.err = err
					return
				}
				if keep {
					p.made = append(p.made, made)
				}
			}
			p.ids, p.raw = nil, nil
		}()
	}
	err = s.db.View(func(tx *bbolt.Tx) error {
		defer busy.Wait()
		p := &part{}
		err := tx.Bucket(jobsName).ForEach(func(id, raw []byte) error {
			if p.ids, p.raw = append(p.ids, string(id)), append(p.raw, raw); len(p.ids) == partSize {
				parts = append(parts, p)
				start(p)
				p = &part{}
			}
			return nil
		})
		parts = append(parts, p)
		start(p)
		return err
	})
	for _, p := range parts {
		all = append(all, p.made...)
		err = errors.Join(err, p.err)
	}
	return all, err
}

// Verify checks the file's own structure and every record, and tells all that is wrong.
func (s *Store) Verify() (jobs int, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		var all []error
		for e := range tx.Check() {
			all = append(all, e)
		}
		all = append(all, tx.Bucket(jobsName).ForEach(func(id, raw []byte) error {
			jobs++
			if _, err := decode(string(id), raw); err != nil {
				all = append(all, err)
			}
			return nil
		}))
		return errors.Join(all...)
	})
	return jobs, err
}

// Snapshot writes the file as it is at one moment to another path, whole or not at
// all, while the store goes on. It takes no other file's place.
func (s *Store) Snapshot(path string) error {
	if _, err := os.Lstat(path); !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%s: there is a file already", path)
	}
	to, err := os.CreateTemp(filepath.Dir(path), ".snapshot-*")
	if err != nil {
		return err
	}
	defer os.Remove(to.Name())
	err = s.db.View(func(tx *bbolt.Tx) error {
		_, err := tx.WriteTo(to)
		return err
	})
	if err == nil {
		err = to.Sync()
	}
	if err = errors.Join(err, to.Close()); err != nil {
		return err
	}
	if err := os.Link(to.Name(), path); err != nil { // unlike a rename it takes nobody's place
		return err
	}
	return syncFolder(path)
}

func syncFolder(path string) error {
	folder, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// Compact writes a file anew without the room that is free inside it. Nobody may
// have it open; until its end the old one is in its place.
func Compact(path string, wait time.Duration) (before, after int64, err error) {
	from, err := open(path, wait)
	if err != nil {
		return 0, 0, err
	}
	defer from.Close()
	defer damaged(path+": ", &err)
	name := path + ".compact"
	if err := os.Remove(name); err != nil && !errors.Is(err, os.ErrNotExist) { // one that was cut off
		return 0, 0, err
	}
	to, err := bbolt.Open(name, 0o600, &bbolt.Options{Timeout: wait, FreelistType: bbolt.FreelistMapType})
	if err != nil {
		return 0, 0, err
	}
	defer os.Remove(name)
	err = bbolt.Compact(to, from, 16<<20)
	if err = errors.Join(err, to.Sync(), to.Close()); err != nil {
		return 0, 0, fmt.Errorf("%s: %w", path, err)
	}
	old, err := os.Stat(path)
	if err != nil {
		return 0, 0, err
	}
	made, err := os.Stat(name)
	if err != nil {
		return 0, 0, err
	}
	if err := os.Rename(name, path); err != nil {
		return 0, 0, err
	}
	return old.Size(), made.Size(), syncFolder(path)
}

// Close stores what has been handed over and lets go of the file.
func (s *Store) Close() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return ErrClosed
	}
	s.closed = true
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default: // a wake that nobody has taken does as well, and the writer may have gone without it
	}
	<-s.done
	return s.db.Close()
}
