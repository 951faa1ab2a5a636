package recording

import (
	"bufio"
	"container/heap"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Flags of an encoded entry, in the lowest bits of a varint. The bits above them are the repairs.
const (
	encodedNoKey        = 1 << 0
	encodedWholeSeconds = 1 << 1
	encodedFlagBits     = 2
)

const (
	encodedHashBytes = 16 // size of key and signature
	// maxEncodedBytes is the largest size of an encoded entry.
	maxEncodedBytes = 9*binary.MaxVarintLen64 + encodedHashBytes
)

var errSpoolTruncated = fmt.Errorf("the spool is truncated: %w", io.ErrUnexpectedEOF)

// appendEncoded appends an entry in the encoding of runs on the spool. previous is the timestamp of
// the previous entry of the run, or 0 for its first entry.
func appendEncoded(b []byte, entry *pendingEntry, previous int64) []byte {
	b = binary.AppendUvarint(b, uint64(entry.timestamp-previous))
	b = binary.AppendUvarint(b, entry.sequence)
	b = binary.LittleEndian.AppendUint64(b, entry.key)
	b = binary.LittleEndian.AppendUint64(b, entry.signature)
	b = binary.AppendUvarint(b, uint64(entry.duration+1))
	b = binary.AppendUvarint(b, uint64(entry.serviceTime+1))
	b = binary.AppendUvarint(b, uint64(entry.class))
	b = binary.AppendUvarint(b, uint64(entry.status))
	b = binary.AppendUvarint(b, uint64(entry.bodyBytes))
	flags := uint64(entry.repairs) << encodedFlagBits
	if entry.noKey {
		flags |= encodedNoKey
	}
	if entry.resolution >= second {
		flags |= encodedWholeSeconds
	}
	return binary.AppendUvarint(b, flags)
}

// runReader reads a run from the spool.
type runReader struct {
	input         *bufio.Reader
	file          io.Closer
	entry         pendingEntry // the entry that readNext read last
	lastTimestamp int64        // timestamp of that entry, without the offset
	source        int          // index of the source
	offset        int64        // clock offset of the source, which is added to its timestamps, µs
}

func openRun(spool Spool, number, source int, offset int64) (*runReader, error) {
	file, err := spool.Open(number)
	if err != nil {
		return nil, err
	}
	return &runReader{input: bufio.NewReaderSize(file, runBufferBytes), file: file, source: source, offset: offset}, nil
}

// readNext reads the next entry. It returns io.EOF after the last one.
func (r *runReader) readNext() error {
	encoded, err := r.input.Peek(maxEncodedBytes)
	if len(encoded) == 0 {
		return err
	}
	size := len(encoded)
	err = nil
	readUvarint := func() uint64 {
		value, length := binary.Uvarint(encoded)
		if length <= 0 {
			err = errSpoolTruncated
		}
		encoded = encoded[max(length, 0):]
		return value
	}
	entry := &r.entry
	r.lastTimestamp += int64(readUvarint())
	entry.timestamp = r.lastTimestamp + r.offset
	entry.sequence = readUvarint()
	if len(encoded) < encodedHashBytes {
		return errSpoolTruncated
	}
	entry.key = binary.LittleEndian.Uint64(encoded)
	entry.signature = binary.LittleEndian.Uint64(encoded[8:])
	encoded = encoded[encodedHashBytes:]
	entry.duration = int64(readUvarint()) - 1
	entry.serviceTime = int64(readUvarint()) - 1
	entry.class = int32(readUvarint())
	entry.status = int32(readUvarint())
	entry.bodyBytes = int32(readUvarint())
	flags := readUvarint()
	entry.repairs = Repair(flags >> encodedFlagBits)
	entry.noKey = flags&encodedNoKey != 0
	entry.resolution = millisecond
	if flags&encodedWholeSeconds != 0 {
		entry.resolution = second
	}
	if err == nil {
		_, err = r.input.Discard(size - len(encoded))
	}
	return err
}

// before reports whether the run's entry comes before that of another run in the merged order: by
// time, then source, then position in the source.
func (r *runReader) before(other *runReader) bool {
	switch {
	case r.entry.timestamp != other.entry.timestamp:
		return r.entry.timestamp < other.entry.timestamp
	case r.source != other.source:
		return r.source < other.source
	}
	return r.entry.sequence < other.entry.sequence
}

// runHeap is a heap of runs. The first one is the run whose entry is next in the merged order.
type runHeap []*runReader

func (h runHeap) Len() int           { return len(h) }
func (h runHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h runHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *runHeap) Push(x any)        { *h = append(*h, x.(*runReader)) }
func (h *runHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// mergeRuns merges the entries of several runs. For each entry, in the merged order, it calls handle
// with the run whose entry it is. It closes the runs, also when it returns an error.
func mergeRuns(runs []*runReader, handle func(run *runReader) error) error {
	var open runHeap
	defer func() {
		for _, run := range open {
			run.file.Close()
		}
	}()
	for i, run := range runs {
		err := run.readNext()
		if err == nil {
			open = append(open, run)
			continue
		}
		run.file.Close()
		if !isEnd(err) {
			open = append(open, runs[i+1:]...)
			return err
		}
	}
	heap.Init(&open)
	for len(open) > 0 {
		run := open[0]
		if err := handle(run); err != nil {
			return err
		}
		err := run.readNext()
		switch {
		case err == nil:
			heap.Fix(&open, 0)
		case isEnd(err):
			run.file.Close()
			heap.Pop(&open)
		default:
			return err
		}
	}
	return nil
}

// isEnd reports whether an error means that a run has ended and is not truncated.
func isEnd(err error) bool {
	return errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
}

// compactRuns merges the runs of one source until at most maxRuns are left, and returns the numbers of
// these. nextRun is the number of the next run on the spool.
func compactRuns(spool Spool, nextRun *int, runs []int, maxRuns int) ([]int, error) {
	for len(runs) > maxRuns {
		merged := runs[:min(maxMergedRuns, len(runs))]
		if err := rewriteRuns(spool, merged); err != nil {
			return nil, err
		}
		runs = append(append([]int(nil), runs[len(merged):]...), *nextRun)
		*nextRun++
	}
	return runs, nil
}

// rewriteRuns merges runs of one source into a new run, the spool's next one.
func rewriteRuns(spool Spool, runs []int) error {
	var readers []*runReader
	for _, number := range runs {
		reader, err := openRun(spool, number, 0, 0)
		if err != nil {
			return err
		}
		readers = append(readers, reader)
	}
	file, err := spool.Create()
	if err != nil {
		return err
	}
	output := bufio.NewWriterSize(file, runBufferBytes)
	var buffer []byte
	lastTimestamp := int64(0)
	err = mergeRuns(readers, func(run *runReader) error {
		buffer = appendEncoded(buffer[:0], &run.entry, lastTimestamp)
		lastTimestamp = run.entry.timestamp
		_, err := output.Write(buffer)
		return err
	})
	return errors.Join(err, output.Flush(), file.Close())
}
