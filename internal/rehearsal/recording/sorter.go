package recording

import (
	"bufio"
	"errors"
	"io"
)

// Spool stores the sorted runs of an import until they are merged. Create starts the next run,
// numbered from 0; Open reads one that has been closed. Runs are written and read one after the
// other, but several may be open for reading.
type Spool interface {
	Create() (io.WriteCloser, error)
	Open(run int) (io.ReadCloser, error)
}

const (
	maxSorterEntries = 1 << 12  // that are kept in memory
	maxMergedRuns    = 64       // at once
	runBufferBytes   = 32 << 10 // of each run that is open
)

// sorter writes the entries of one source as sorted runs (replacement selection): each time it
// writes the earliest of the entries in memory that is not before the last one written, so that
// an input that is nearly in order gives one run. After an error it ignores entries.
type sorter struct {
	spool         Spool
	nextRun       *int // number on the spool
	runs          []int
	current       entryHeap // of the run that is being written
	following     entryHeap // of the run after it: before the last entry written
	entries       []pendingEntry
	freeSlots     []int32 // of entries
	output        *bufio.Writer
	file          io.Closer
	lastTimestamp int64 // of the current run
	buffer        []byte
	err           error
}

func (s *sorter) add(entry pendingEntry) {
	if s.err != nil {
		return
	}
	if len(s.current)+len(s.following) >= maxSorterEntries {
		s.writeEarliest()
	}
	item := heapItem{timestamp: entry.timestamp, sequence: entry.sequence, slot: s.store(entry)}
	if s.output != nil && entry.timestamp < s.lastTimestamp {
		s.following.push(item)
		return
	}
	s.current.push(item)
}

// store puts an entry into a free slot and returns its index.
func (s *sorter) store(entry pendingEntry) int32 {
	free := len(s.freeSlots)
	if free == 0 {
		s.entries = append(s.entries, entry)
		return int32(len(s.entries) - 1)
	}
	slot := s.freeSlots[free-1]
	s.freeSlots = s.freeSlots[:free-1]
	s.entries[slot] = entry
	return slot
}

// writeEarliest writes the earliest entry that the current run can still take.
func (s *sorter) writeEarliest() {
	if len(s.current) == 0 {
		s.endRun()
		emptied := s.current[:0]
		s.current = s.following
		s.following = emptied
	}
	if s.output == nil {
		file, err := s.spool.Create()
		if err != nil {
			s.err = err
			return
		}
		s.runs = append(s.runs, *s.nextRun)
		*s.nextRun++
		s.file = file
		s.output = bufio.NewWriterSize(file, runBufferBytes)
		s.lastTimestamp = 0
	}
	item := s.current.pop()
	s.buffer = appendEncoded(s.buffer[:0], &s.entries[item.slot], s.lastTimestamp)
	s.freeSlots = append(s.freeSlots, item.slot)
	s.lastTimestamp = item.timestamp
	if _, err := s.output.Write(s.buffer); err != nil {
		s.err = err
	}
}

func (s *sorter) endRun() {
	if s.output == nil {
		return
	}
	err := errors.Join(s.output.Flush(), s.file.Close())
	s.output = nil
	s.file = nil
	if s.err == nil {
		s.err = err
	}
}

// close writes all entries and returns the first error.
func (s *sorter) close() error {
	for s.err == nil && len(s.current)+len(s.following) > 0 {
		s.writeEarliest()
	}
	s.endRun()
	s.current = nil
	s.following = nil
	s.entries = nil
	s.freeSlots = nil
	return s.err
}

// entryHeap is a binary heap of the sorter's entries, which stay in their slots. Without the
// interface of container/heap an import takes a tenth less time.
type entryHeap []heapItem

type heapItem struct {
	timestamp int64
	sequence  uint64
	slot      int32
}

func (a heapItem) before(b heapItem) bool {
	return a.timestamp < b.timestamp || a.timestamp == b.timestamp && a.sequence < b.sequence
}

func (h *entryHeap) push(item heapItem) {
	*h = append(*h, item)
	items := *h
	i := len(items) - 1
	for i > 0 && item.before(items[(i-1)/2]) {
		items[i] = items[(i-1)/2]
		i = (i - 1) / 2
	}
	items[i] = item
}

// pop removes the first item; the heap must not be empty.
func (h *entryHeap) pop() heapItem {
	items := *h
	first := items[0]
	last := items[len(items)-1]
	items = items[:len(items)-1]
	*h = items
	i := 0
	for 2*i+1 < len(items) {
		child := 2*i + 1
		if child+1 < len(items) && items[child+1].before(items[child]) {
			child++
		}
		if !items[child].before(last) {
			break
		}
		items[i] = items[child]
		i = child
	}
	if len(items) > 0 {
		items[i] = last
	}
	return first
}
