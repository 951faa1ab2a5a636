package store

import (
	"bytes"
	"errors"
	"runtime"
	"sync"

	"go.etcd.io/bbolt"
)

// loadChunkSize is how many records one goroutine of Load decodes at a time.
const loadChunkSize = 4096

// Load reads all records and returns the results of parse in the order of their ids. It calls parse once for each
// record, from several goroutines at a time; a record for which keep is false is left out. value is valid only during
// the call. A damaged record is an error that names it.
func Load[T any](store *Store, parse func(id string, value []byte) (parsed T, keep bool, err error)) (all []T, err error) {
	defer recoverDamaged("", &err)
	var chunks []*loadChunk[T]
	err = store.db.View(func(tx *bbolt.Tx) error {
		var running sync.WaitGroup
		defer running.Wait()                                  // the records are valid until the transaction ends
		parsing := make(chan struct{}, runtime.GOMAXPROCS(0)) // bounds the goroutines that parse
		startParsing := func(chunk *loadChunk[T]) {
			chunks = append(chunks, chunk)
			parsing <- struct{}{}
			running.Go(func() {
				defer func() { <-parsing }()
				chunk.parseAll(parse)
			})
		}
		chunk := &loadChunk[T]{}
		err := tx.Bucket(recordsBucket).ForEach(func(id, raw []byte) error {
			chunk.ids = append(chunk.ids, string(id))
			chunk.raw = append(chunk.raw, raw)
			if len(chunk.ids) == loadChunkSize {
				startParsing(chunk)
				chunk = &loadChunk[T]{}
			}
			return nil
		})
		startParsing(chunk)
		return err
	})
	for _, chunk := range chunks {
		all = append(all, chunk.parsed...)
		err = errors.Join(err, chunk.err)
	}
	return all, err
}

// Read returns the JSON that is stored under an id. It may be called from any goroutine.
func (s *Store) Read(id string) (value []byte, err error) {
	defer recoverDamaged("", &err)
	err = s.db.View(func(tx *bbolt.Tx) error {
		stored, err := decode(id, tx.Bucket(recordsBucket).Get([]byte(id)))
		value = bytes.Clone(stored)
		return err
	})
	return value, err
}

// loadChunk holds records that one goroutine decodes, and the result.
type loadChunk[T any] struct {
	ids    []string
	raw    [][]byte
	parsed []T
	err    error // of the first record that cannot be read
}

// parseAll decodes the records up to the first that cannot be read.
func (c *loadChunk[T]) parseAll(parse func(id string, value []byte) (T, bool, error)) {
	defer recoverDamaged("", &c.err)
	c.parsed = make([]T, 0, len(c.ids))
	for i, id := range c.ids {
		value, err := decode(id, c.raw[i])
		if err != nil {
			c.err = err
			return
		}
		parsed, keep, err := parse(id, value)
		if err != nil {
			c.err = err
			return
		}
		if keep {
			c.parsed = append(c.parsed, parsed)
		}
	}
	c.ids = nil
	c.raw = nil
}
