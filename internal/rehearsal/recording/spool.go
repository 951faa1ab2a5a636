package recording

import (
	"bufio"
	"container/heap"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// This file owns the sorting of what does not fit in memory: runs on a spool,
// each in order, and their merging. It must never hold more than a bounded
// number of entries, whatever comes in which order.

// Spool is where runs are kept while an import goes on. Create starts the
// next run, numbered from 0; Open reads one that is whole.
type Spool interface {
	Create() (io.WriteCloser, error)
	Open(run int) (io.ReadCloser, error)
}

const (
	maxSorterEntries   = 1 << 12 // entries that are held to be put in order
	maxMergedRuns = 64      // that are merged at once
	runBufferBytes = 32 << 10
)

// sorter writes the entries of one source as runs: of those it holds, always
// the earliest, so that an input nearly in order is one run.
type sorter struct {
	spool  Spool
	nextRun *int // of the next run on the spool
	runs   []int
	current   entryHeap // this run's
	following  entryHeap // the next run's: earlier than what has been written
	entries  []pendingEntry
	freeSlots   []int32
	output    *bufio.Writer
	file   io.Closer
	lastTimestamp   int64
	buffer    []byte
	err    error
}

// entryHeap orders the held entries, which lie still in a store of their own.
type entryHeap []heapItem

type heapItem struct {
	timestamp   int64
	sequence  uint64
	slot int32
}

func (a heapItem) before(b heapItem) bool { return a.timestamp < b.timestamp || a.timestamp == b.timestamp && a.sequence < b.sequence }

// push and take are those of container/heap, without its interface: an entry
// takes a tenth less of an import's time.
func (h *entryHeap) push(x heapItem) {
	*h = append(*h, x)
	s := *h
	i := len(s) - 1
	for i > 0 && x.before(s[(i-1)/2]) {
		s[i] = s[(i-1)/2]
		i = (i - 1) / 2
	}
	s[i] = x
}

func (h *entryHeap) pop() heapItem {
	s := *h
	first, x := s[0], s[len(s)-1]
	s = s[:len(s)-1]
	*h = s
	i := 0
	for 2*i+1 < len(s) {
		down := 2*i + 1
		if down+1 < len(s) && s[down+1].before(s[down]) {
			down++
		}
		if !s[down].before(x) {
			break
		}
		s[i] = s[down]
		i = down
	}
	if len(s) > 0 {
		s[i] = x
	}
	return first
}

func (s *sorter) add(p pendingEntry) {
	if s.err != nil {
		return
	}
	if len(s.current)+len(s.following) >= maxSorterEntries {
		s.writeEarliest()
	}
	item := heapItem{p.timestamp, p.sequence, int32(len(s.entries))}
	if n := len(s.freeSlots); n > 0 {
		item.slot, s.freeSlots = s.freeSlots[n-1], s.freeSlots[:n-1]
		s.entries[item.slot] = p
	} else {
		s.entries = append(s.entries, p)
	}
	if s.output != nil && p.timestamp < s.lastTimestamp {
		s.following.push(item)
		return
	}
	s.current.push(item)
}

// writeEarliest writes the earliest entry that this run can still take.
func (s *sorter) writeEarliest() {
	if len(s.current) == 0 {
		s.endRun()
		s.current, s.following = s.following, s.current[:0]
	}
	if s.output == nil {
		file, err := s.spool.Create()
		if err != nil {
			s.err = err
			return
		}
		s.runs, s.file = append(s.runs, *s.nextRun), file
		*s.nextRun++
		s.output, s.lastTimestamp = bufio.NewWriterSize(file, runBufferBytes), 0
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
	if s.output, s.file = nil, nil; s.err == nil {
		s.err = err
	}
}

func (s *sorter) close() error {
	for s.err == nil && len(s.current)+len(s.following) > 0 {
		s.writeEarliest()
	}
	s.endRun()
	s.current, s.following, s.entries, s.freeSlots = nil, nil, nil, nil
	return s.err
}

func appendEncoded(b []byte, p *pendingEntry, last int64) []byte {
	b = binary.AppendUvarint(b, uint64(p.timestamp-last))
	b = binary.AppendUvarint(b, p.sequence)
	b = binary.LittleEndian.AppendUint64(b, p.key)
	b = binary.LittleEndian.AppendUint64(b, p.signature)
	b = binary.AppendUvarint(b, uint64(p.duration+1))
	b = binary.AppendUvarint(b, uint64(p.serviceTime+1))
	b = binary.AppendUvarint(b, uint64(p.class))
	b = binary.AppendUvarint(b, uint64(p.status))
	b = binary.AppendUvarint(b, uint64(p.bodyBytes))
	flags := uint64(p.repairs) << 2
	if p.noKey {
		flags |= 1
	}
	if p.resolution >= 1_000_000 {
		flags |= 2
	}
	return binary.AppendUvarint(b, flags)
}

// runReader reads a runReader back.
type runReader struct {
	input     *bufio.Reader
	file   io.Closer
	entry    pendingEntry
	lastTimestamp   int64
	source int
	offset  int64
}

func openRun(s Spool, number, source int, shift int64) (*runReader, error) {
	file, err := s.Open(number)
	if err != nil {
		return nil, err
	}
	return &runReader{input: bufio.NewReaderSize(file, runBufferBytes), file: file, source: source, offset: shift}, nil
}

const maxEncodedBytes = 9*binary.MaxVarintLen64 + 16 // of one entry

var errSpoolTruncated = fmt.Errorf("the spool is cut off: %w", io.ErrUnexpectedEOF)

// readNext reads on; io.EOF after the last.
func (r *runReader) readNext() error {
	b, err := r.input.Peek(maxEncodedBytes)
	if len(b) == 0 {
		return err
	}
	size := len(b)
	num := func() (x uint64) {
		x, n := binary.Uvarint(b)
		if b = b[max(n, 0):]; n <= 0 {
			err = errSpoolTruncated
		}
		return x
	}
	err = nil
	p := &r.entry
	r.lastTimestamp += int64(num())
	p.timestamp, p.sequence = r.lastTimestamp+r.offset, num()
	if len(b) < 16 {
		return errSpoolTruncated
	}
	p.key, p.signature = binary.LittleEndian.Uint64(b), binary.LittleEndian.Uint64(b[8:])
	b = b[16:]
	p.duration, p.serviceTime = int64(num())-1, int64(num())-1
	p.class, p.status, p.bodyBytes = int32(num()), int32(num()), int32(num())
	flags := num()
	p.repairs, p.noKey, p.resolution = Repair(flags>>2), flags&1 != 0, 1000
	if flags&2 != 0 {
		p.resolution = 1_000_000
	}
	if err == nil {
		_, err = r.input.Discard(size - len(b))
	}
	return err
}

// runHeap are runs in one order: by time, then source, then place in the source.
type runHeap []*runReader

func (m runHeap) Len() int { return len(m) }
func (m runHeap) Less(i, j int) bool {
	a, b := m[i], m[j]
	switch {
	case a.entry.timestamp != b.entry.timestamp:
		return a.entry.timestamp < b.entry.timestamp
	case a.source != b.source:
		return a.source < b.source
	}
	return a.entry.sequence < b.entry.sequence
}
func (m runHeap) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *runHeap) Push(x any)   { *m = append(*m, x.(*runReader)) }
func (m *runHeap) Pop() any {
	old := *m
	r := old[len(old)-1]
	*m = old[:len(old)-1]
	return r
}

// mergeRuns calls each with the entries of all runs in order, and closes them.
func mergeRuns(runs []*runReader, each func(r *runReader) error) (err error) {
	var m runHeap
	defer func() {
		for _, r := range m {
			r.file.Close()
		}
	}()
	for i, r := range runs {
		if err := r.readNext(); err != nil {
			if r.file.Close(); !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
				m = append(m, runs[i+1:]...)
				return err
			}
			continue
		}
		m = append(m, r)
	}
	heap.Init(&m)
	for len(m) > 0 {
		r := m[0]
		if err := each(r); err != nil {
			return err
		}
		switch err := r.readNext(); {
		case err == nil:
			heap.Fix(&m, 0)
		case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
			r.file.Close()
			heap.Pop(&m)
		default:
			return err
		}
	}
	return nil
}

// compactRuns merges runs of one source until there are few enough to merge at once.
func compactRuns(s Spool, number *int, runs []int, most int) ([]int, error) {
	for len(runs) > most {
		part := runs[:min(maxMergedRuns, len(runs))]
		var open []*runReader
		for _, n := range part {
			r, err := openRun(s, n, 0, 0)
			if err != nil {
				return nil, err
			}
			open = append(open, r)
		}
		w, err := s.Create()
		if err != nil {
			return nil, err
		}
		out := bufio.NewWriterSize(w, runBufferBytes)
		var buf []byte
		last := int64(0)
		err = mergeRuns(open, func(r *runReader) error {
			buf = appendEncoded(buf[:0], &r.entry, last)
			last = r.entry.timestamp
			_, err := out.Write(buf)
			return err
		})
		if err = errors.Join(err, out.Flush(), w.Close()); err != nil {
			return nil, err
		}
		runs = append(append([]int(nil), runs[len(part):]...), *number)
		*number++
	}
	return runs, nil
}
