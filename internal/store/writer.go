package store

import (
	"time"

	"go.etcd.io/bbolt"
)

// change is a set of records that are stored together or not at all.
type change struct {
	records  []Record
	onStored func(error)
}

// Put queues records that are stored together or not at all. onStored is called once, in the order of the calls of Put,
// on the store's goroutine: with nil once the records are on disk, or with the error for which they were not stored.
// After Close, Put calls onStored with ErrClosed before it returns.
func (s *Store) Put(records []Record, onStored func(error)) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		onStored(ErrClosed)
		return
	}
	s.queue = append(s.queue, change{records, onStored})
	s.mu.Unlock()
	s.wakeWriter()
}

// wakeWriter makes the writer check the queue. It does nothing if a wake-up is already pending.
func (s *Store) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// write is the writer's goroutine. It stores the queued changes in batches until the store is closed and the queue is
// empty.
func (s *Store) write() {
	defer close(s.writerStopped)
	for range s.wake {
		for {
			batch := s.nextBatch()
			if len(batch) == 0 {
				break
			}
			s.commit(batch)
		}
		if s.isFinished() {
			return
		}
	}
}

// nextBatch takes the next batch off the queue. If several changes are queued, but no full batch, it first waits for
// GroupCommitDelay.
func (s *Store) nextBatch() []change {
	waiting := s.queueLen()
	if waiting > 1 && waiting < s.options.MaxBatch && s.options.GroupCommitDelay > 0 {
		time.Sleep(s.options.GroupCommitDelay)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.batchLength()
	batch := s.queue[:n:n]
	s.queue = s.queue[n:]
	return batch
}

// batchLength is the number of queued changes that the next transaction stores. The caller must hold mu.
func (s *Store) batchLength() int {
	size := 0
	for i, queued := range s.queue {
		if i == s.options.MaxBatch || size > s.options.MaxBatchBytes {
			return i
		}
		for _, record := range queued.records {
			if sized, ok := record.Value.(Sized); ok {
				size += sized.Size()
			}
		}
	}
	return len(s.queue)
}

// queueLen is the number of changes in the queue.
func (s *Store) queueLen() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue)
}

// isFinished reports whether the store is closed and the queue is empty.
func (s *Store) isFinished() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed && len(s.queue) == 0
}

// commit stores a batch and reports the result of each change. If the batch cannot be stored, its changes are stored one
// at a time, so that one that cannot be stored does not make the others fail.
func (s *Store) commit(batch []change) {
	err := s.update(batch)
	if err == nil || len(batch) == 1 {
		for _, stored := range batch {
			stored.onStored(err)
		}
		return
	}
	for i := range batch {
		batch[i].onStored(s.update(batch[i : i+1]))
	}
}

// update stores changes in one transaction.
func (s *Store) update(batch []change) (err error) {
	defer recoverDamaged("", &err)
	return s.db.Update(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(recordsBucket)
		for _, pending := range batch {
			for _, record := range pending.records {
				if err := putRecord(bucket, record); err != nil {
					return err
				}
			}
		}
		if s.options.InjectWriteError != nil {
			return s.options.InjectWriteError()
		}
		return nil
	})
}

// putRecord stores or deletes a record.
func putRecord(bucket *bbolt.Bucket, record Record) error {
	key := []byte(record.ID)
	if record.Value == nil {
		return bucket.Delete(key)
	}
	if incomplete, ok := record.Value.(Incomplete); ok && !incomplete.IsComplete() {
		stored, err := decode(record.ID, bucket.Get(key))
		if err != nil {
			return err
		}
		record.Value, err = incomplete.Complete(stored)
		if err != nil {
			return err
		}
	}
	raw, err := encode(record)
	if err != nil {
		return err
	}
	return bucket.Put(key, raw)
}
