package recording

import (
	"bufio"
	"errors"
	"io"
)

// Spool stores the sorted runs of an import until they are merged. Create starts the next run; runs
// are numbered from 0. Open opens a run for reading that has been written and closed. Only one run is
// written at a time, but several may be open for reading.
type Spool interface {
	Create() (io.WriteCloser, error)
	Open(run int) (io.ReadCloser, error)
}

const (
	maxSorterEntries = 1 << 12  // entries of a source that are kept in memory
	maxMergedRuns    = 64       // runs that are open for reading at once
	runBufferBytes   = 32 << 10 // buffer of each open run
)

// sorter writes the entries of one source as sorted runs by replacement selection: it always writes the
// earliest of those entries in memory that are not earlier than the last one written. A nearly sorted
// input therefore gives a single run. After an error, stored in err, it ignores entries.
type sorter struct {
	spool         Spool
	nextRun       *int           // number of the next run on the spool, shared by the sources
	runs          []int          // numbers of the runs that were written
	currentRun    entryHeap      // entries of the run that is being written
	followingRun  entryHeap      // entries of the next run: those that are earlier than the last entry written
	entries       []pendingEntry // entries in memory, to which the items of the heaps refer
	freeIndexes   []int32        // unused indexes of entries
	output        *bufio.Writer  // writer of the current run; nil if none is being written
	file          io.Closer
	lastTimestamp int64 // of the last entry written to the current run
	buffer        []byte
	err           error
}

func (s *sorter) add(entry pendingEntry) {
	if s.err != nil {
		return
	}
	if len(s.currentRun)+len(s.followingRun) >= maxSorterEntries {
		s.writeEarliest()
	}
	item := heapItem{timestamp: entry.timestamp, sequence: entry.sequence, entryIndex: s.store(entry)}
	if s.output != nil && entry.timestamp < s.lastTimestamp {
		s.followingRun.push(item)
		return
	}
	s.currentRun.push(item)
}

// store puts an entry at an unused index of entries and returns the index.
func (s *sorter) store(entry pendingEntry) int32 {
	free := len(s.freeIndexes)
	if free == 0 {
		s.entries = append(s.entries, entry)
		return int32(len(s.entries) - 1)
	}
	index := s.freeIndexes[free-1]
	s.freeIndexes = s.freeIndexes[:free-1]
	s.entries[index] = entry
	return index
}

// writeEarliest writes the earliest entry of the current run. If the run has no entries left, it ends
// the run and starts the next one.
func (s *sorter) writeEarliest() {
	if len(s.currentRun) == 0 {
		s.endRun()
		emptied := s.currentRun[:0]
		s.currentRun = s.followingRun
		s.followingRun = emptied
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
	item := s.currentRun.pop()
	s.buffer = appendEncoded(s.buffer[:0], &s.entries[item.entryIndex], s.lastTimestamp)
	s.freeIndexes = append(s.freeIndexes, item.entryIndex)
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

// close writes the entries in memory, ends the last run and returns the first error of the sorter.
func (s *sorter) close() error {
	for s.err == nil && len(s.currentRun)+len(s.followingRun) > 0 {
		s.writeEarliest()
	}
	s.endRun()
	s.currentRun = nil
	s.followingRun = nil
	s.entries = nil
	s.freeIndexes = nil
	return s.err
}

// entryHeap is a binary heap of references to the sorter's entries. It does not use container/heap,
// whose interface calls make an import take a tenth longer.
type entryHeap []heapItem

type heapItem struct {
	timestamp  int64
	sequence   uint64
	entryIndex int32 // index in sorter.entries
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
