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
	sorted   = 1 << 12 // entries that are held to be put in order
	mostRuns = 64      // that are merged at once
	runBytes = 32 << 10
)

// sorter writes the entries of one source as runs: of those it holds, always
// the earliest, so that an input nearly in order is one run.
type sorter struct {
	spool  Spool
	number *int // of the next run on the spool
	runs   []int
	heap   byTime // this run's
	later  byTime // the next run's: earlier than what has been written
	store  []pending
	free   []int32
	out    *bufio.Writer
	file   io.Closer
	last   int64
	buf    []byte
	err    error
}

// byTime orders the held entries, which lie still in a store of their own.
type byTime []held

type held struct {
	at   int64
	seq  uint64
	slot int32
}

func (a held) before(b held) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

// put and take are those of container/heap, without its interface: an entry
// takes a tenth less of an import's time.
func (h *byTime) put(x held) {
	*h = append(*h, x)
	s := *h
	i := len(s) - 1
	for i > 0 && x.before(s[(i-1)/2]) {
		s[i] = s[(i-1)/2]
		i = (i - 1) / 2
	}
	s[i] = x
}

func (h *byTime) take() held {
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

func (s *sorter) add(p pending) {
	if s.err != nil {
		return
	}
	if len(s.heap)+len(s.later) >= sorted {
		s.step()
	}
	x := held{p.at, p.seq, int32(len(s.store))}
	if n := len(s.free); n > 0 {
		x.slot, s.free = s.free[n-1], s.free[:n-1]
		s.store[x.slot] = p
	} else {
		s.store = append(s.store, p)
	}
	if s.out != nil && p.at < s.last {
		s.later.put(x)
		return
	}
	s.heap.put(x)
}

// step writes the earliest entry that this run can still take.
func (s *sorter) step() {
	if len(s.heap) == 0 {
		s.end()
		s.heap, s.later = s.later, s.heap[:0]
	}
	if s.out == nil {
		w, err := s.spool.Create()
		if err != nil {
			s.err = err
			return
		}
		s.runs, s.file = append(s.runs, *s.number), w
		*s.number++
		s.out, s.last = bufio.NewWriterSize(w, runBytes), 0
	}
	x := s.heap.take()
	s.buf = encode(s.buf[:0], &s.store[x.slot], s.last)
	s.free = append(s.free, x.slot)
	s.last = x.at
	if _, err := s.out.Write(s.buf); err != nil {
		s.err = err
	}
}

func (s *sorter) end() {
	if s.out == nil {
		return
	}
	err := errors.Join(s.out.Flush(), s.file.Close())
	if s.out, s.file = nil, nil; s.err == nil {
		s.err = err
	}
}

func (s *sorter) close() error {
	for s.err == nil && len(s.heap)+len(s.later) > 0 {
		s.step()
	}
	s.end()
	s.heap, s.later, s.store, s.free = nil, nil, nil, nil
	return s.err
}

func encode(b []byte, p *pending, last int64) []byte {
	b = binary.AppendUvarint(b, uint64(p.at-last))
	b = binary.AppendUvarint(b, p.seq)
	b = binary.LittleEndian.AppendUint64(b, p.key)
	b = binary.LittleEndian.AppendUint64(b, p.sig)
	b = binary.AppendUvarint(b, uint64(p.duration+1))
	b = binary.AppendUvarint(b, uint64(p.service+1))
	b = binary.AppendUvarint(b, uint64(p.class))
	b = binary.AppendUvarint(b, uint64(p.status))
	b = binary.AppendUvarint(b, uint64(p.body))
	flags := uint64(p.repairs) << 2
	if p.noKey {
		flags |= 1
	}
	if p.step >= 1_000_000 {
		flags |= 2
	}
	return binary.AppendUvarint(b, flags)
}

// run reads a run back.
type run struct {
	in     *bufio.Reader
	file   io.Closer
	now    pending
	last   int64
	source int
	shift  int64
}

func openRun(s Spool, number, source int, shift int64) (*run, error) {
	f, err := s.Open(number)
	if err != nil {
		return nil, err
	}
	return &run{in: bufio.NewReaderSize(f, runBytes), file: f, source: source, shift: shift}, nil
}

const mostBytes = 9*binary.MaxVarintLen64 + 16 // of one entry

var errSpool = fmt.Errorf("the spool is cut off: %w", io.ErrUnexpectedEOF)

// next reads on; io.EOF after the last.
func (r *run) next() error {
	b, err := r.in.Peek(mostBytes)
	if len(b) == 0 {
		return err
	}
	size := len(b)
	num := func() (x uint64) {
		x, n := binary.Uvarint(b)
		if b = b[max(n, 0):]; n <= 0 {
			err = errSpool
		}
		return x
	}
	err = nil
	p := &r.now
	r.last += int64(num())
	p.at, p.seq = r.last+r.shift, num()
	if len(b) < 16 {
		return errSpool
	}
	p.key, p.sig = binary.LittleEndian.Uint64(b), binary.LittleEndian.Uint64(b[8:])
	b = b[16:]
	p.duration, p.service = int64(num())-1, int64(num())-1
	p.class, p.status, p.body = int32(num()), int32(num()), int32(num())
	flags := num()
	p.repairs, p.noKey, p.step = Repair(flags>>2), flags&1 != 0, 1000
	if flags&2 != 0 {
		p.step = 1_000_000
	}
	if err == nil {
		_, err = r.in.Discard(size - len(b))
	}
	return err
}

// merged are runs in one order: by time, then source, then place in the source.
type merged []*run

func (m merged) Len() int { return len(m) }
func (m merged) Less(i, j int) bool {
	a, b := m[i], m[j]
	switch {
	case a.now.at != b.now.at:
		return a.now.at < b.now.at
	case a.source != b.source:
		return a.source < b.source
	}
	return a.now.seq < b.now.seq
}
func (m merged) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *merged) Push(x any)   { *m = append(*m, x.(*run)) }
func (m *merged) Pop() any {
	old := *m
	r := old[len(old)-1]
	*m = old[:len(old)-1]
	return r
}

// merge calls each with the entries of all runs in order, and closes them.
func merge(runs []*run, each func(r *run) error) (err error) {
	var m merged
	defer func() {
		for _, r := range m {
			r.file.Close()
		}
	}()
	for i, r := range runs {
		if err := r.next(); err != nil {
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
		switch err := r.next(); {
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

// fewer merges runs of one source until there are few enough to merge at once.
func fewer(s Spool, number *int, runs []int, most int) ([]int, error) {
	for len(runs) > most {
		part := runs[:min(mostRuns, len(runs))]
		var open []*run
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
		out := bufio.NewWriterSize(w, runBytes)
		var buf []byte
		last := int64(0)
		err = merge(open, func(r *run) error {
			buf = encode(buf[:0], &r.now, last)
			last = r.now.at
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
