package recording

import (
	"bufio"
	"container/heap"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"hollyyoke.example/hollyyoke/internal/rehearsal/recording/recordingpb"
)

// This file owns the canonical file and what is done to it: slice, merge,
// scale, each as a stream. A file that is cut, changed or of another version is
// refused with what is wrong and where; it must never be taken in part.

// Version is the file's form that this package writes and reads.
const Version = 1

const (
	blockEntries = 1024
	maxBlockEntries  = 4 * blockEntries // in a block that is read
	maxFrameBytes   = 1 << 20          // of one frame
	windowBytes  = 1 << 20          // of zstd
	maxRecordingLength      = 10 * 366 * 24 * time.Hour
)

// Entry is one arrival of a recording.
type Entry struct {
	Arrival       time.Duration // since the recording's start
	Class    int           // its place in the header's classes
	Key      uint64        // pseudonym; 0: none
	Duration time.Duration // how long it took; drawn where the log told none
	Effort   time.Duration // hint of the work
	Timeout     time.Duration // how long the client waits
	Slots    float64
	BodyBytes     int // bytes of its body
	Status   int // as recorded; 0: not known
	Source   int
	Repairs  Repair
}

// KeyText is the key as it is sent.
func (e *Entry) KeyText() string {
	if e.Key == 0 {
		return ""
	}
	return fmt.Sprintf("m%016x", e.Key)
}

// Writer writes a recording. Its errors are the writer's own, or an entry out of order.
type Writer struct {
	encoder    *zstd.Encoder
	checksum    *xxhash.Digest
	block  recordingpb.Block
	entryPool  []recordingpb.Entry
	buffer    []byte
	lastArrival   time.Duration
	count  uint64
	header *recordingpb.Header
}

// NewWriter starts a file. The header is the caller's; it is written at once.
func NewWriter(w io.Writer, header *recordingpb.Header) (*Writer, error) {
	encoder, err := zstd.NewWriter(w, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithWindowSize(windowBytes), zstd.WithEncoderCRC(true))
	if err != nil {
		return nil, err
	}
	writer := &Writer{encoder: encoder, checksum: xxhash.New(), entryPool: make([]recordingpb.Entry, blockEntries), header: header}
	return writer, writer.writeFrame(&recordingpb.Frame{Of: &recordingpb.Frame_Header{Header: header}})
}

func (w *Writer) writeFrame(f *recordingpb.Frame) (err error) {
	size := proto.Size(f)
	w.buffer = binary.AppendUvarint(w.buffer[:0], uint64(size))
	if w.buffer, err = (proto.MarshalOptions{Deterministic: true, UseCachedSize: true}).MarshalAppend(w.buffer, f); err != nil {
		return err
	}
	w.checksum.Write(w.buffer)
	_, err = w.encoder.Write(w.buffer)
	return err
}

// Add writes an entry, which must not come before the one added last.
func (w *Writer) Add(e *Entry) error {
	if e.Arrival < w.lastArrival {
		return fmt.Errorf("entry %d comes before the one before it", w.count+1)
	}
	arrival := e.Arrival.Truncate(time.Microsecond)
	position := len(w.block.Entries)
	stored := &w.entryPool[position]
	stored.AfterUs, stored.Class, stored.Key = uint64((arrival - w.lastArrival).Microseconds()), uint32(e.Class), e.Key
	stored.DurationUs, stored.EffortUs, stored.LeftMs = uint64(e.Duration.Microseconds()), uint64(e.Effort.Microseconds()), uint32(e.Timeout.Milliseconds())
	if stored.Slots = float32(e.Slots); e.Slots == 1 {
		stored.Slots = 0
	}
	stored.BodyBytes, stored.Status, stored.Source, stored.Repairs = uint32(e.BodyBytes), uint32(e.Status), uint32(e.Source), uint32(e.Repairs)
	w.block.Entries = append(w.block.Entries, stored)
	w.lastArrival = arrival
	if w.count++; position+1 == blockEntries {
		return w.flushBlock()
	}
	return nil
}

func (w *Writer) flushBlock() error {
	if len(w.block.Entries) == 0 {
		return nil
	}
	err := w.writeFrame(&recordingpb.Frame{Of: &recordingpb.Frame_Block{Block: &w.block}})
	w.block.Entries = w.block.Entries[:0]
	return err
}

// Close writes what is left and the end. Without it the file is refused.
func (w *Writer) Close() error {
	if err := w.flushBlock(); err != nil {
		return err
	}
	end := &recordingpb.End{Entries: w.count, Xxhash: w.checksum.Sum64()}
	if err := w.writeFrame(&recordingpb.Frame{Of: &recordingpb.Frame_End{End: end}}); err != nil {
		return err
	}
	return w.encoder.Close()
}

// Reader reads a recording.
type Reader struct {
	Header *recordingpb.Header

	decoder    *zstd.Decoder
	input     *bufio.Reader
	checksum    *xxhash.Digest
	frames int
	offset int64 // unpacked
	block  recordingpb.Block
	nextEntry   int
	lastArrival     time.Duration
	count  uint64
	err    error
	buffer    []byte
}

// NewReader opens a recording and reads its header. Close it after use.
func NewReader(r io.Reader) (*Reader, error) {
	decoder, err := zstd.NewReader(r, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxWindow(8<<20), zstd.WithDecoderMaxMemory(1<<40))
	if err != nil {
		return nil, err
	}
	reader := &Reader{decoder: decoder, input: bufio.NewReaderSize(decoder, 64<<10), checksum: xxhash.New()}
	frame, err := reader.readFrame()
	if err == nil {
		if reader.Header = frame.GetHeader(); reader.Header == nil {
			err = errors.New("no recording: it does not begin with a header")
		} else {
			err = reader.checkHeader()
		}
	}
	if err != nil {
		decoder.Close()
		return nil, err
	}
	return reader, nil
}

// Close frees what the reader holds.
func (r *Reader) Close() { r.decoder.Close() }

func (r *Reader) checkHeader() error {
	header := r.Header
	if header.Version != Version {
		return fmt.Errorf("header: version %d; this program reads %d", header.Version, Version)
	}
	names := map[string]bool{}
	for i, c := range header.Classes {
		if c.GetName() == "" || names[c.Name] {
			return fmt.Errorf("header: classes[%d]: no name, or one that was there", i)
		}
		names[c.Name] = true
	}
	return nil
}

// readFrame reads the next one.
func (r *Reader) readFrame() (*recordingpb.Frame, error) {
	fail := func(what error) error {
		if errors.Is(what, io.EOF) || errors.Is(what, io.ErrUnexpectedEOF) {
			what = errors.New("the file ends early")
		}
		return fmt.Errorf("frame %d, at byte %d unpacked, after %d entries: %w", r.frames+1, r.offset, r.count, what)
	}
	size, err := binary.ReadUvarint(r.input)
	if err != nil {
		return nil, fail(err)
	}
	if size > maxFrameBytes {
		return nil, fail(fmt.Errorf("%d bytes long, at most %d are read", size, maxFrameBytes))
	}
	if uint64(cap(r.buffer)) < size {
		r.buffer = make([]byte, size)
	}
	r.buffer = r.buffer[:size]
	if _, err := io.ReadFull(r.input, r.buffer); err != nil {
		return nil, fail(err)
	}
	var frame recordingpb.Frame
	if err := proto.Unmarshal(r.buffer, &frame); err != nil {
		return nil, fail(errors.New("no frame that can be read"))
	}
	if end := frame.GetEnd(); end != nil && end.Xxhash != r.checksum.Sum64() {
		return nil, fail(errors.New("the checksum is wrong: the file was changed"))
	}
	prefix := binary.AppendUvarint(nil, size)
	r.checksum.Write(prefix)
	r.checksum.Write(r.buffer)
	r.frames, r.offset = r.frames+1, r.offset+int64(len(prefix))+int64(size)
	return &frame, nil
}

// Next reads the next entry; io.EOF tells that the file is whole.
func (r *Reader) Next(e *Entry) error {
	if r.err == nil {
		r.err = r.readEntry(e)
	}
	return r.err
}

func (r *Reader) readEntry(e *Entry) error {
	for r.nextEntry >= len(r.block.Entries) {
		frame, err := r.readFrame()
		if err != nil {
			return err
		}
		switch of := frame.Of.(type) {
		case *recordingpb.Frame_Block:
			if len(of.Block.GetEntries()) > maxBlockEntries {
				return fmt.Errorf("frame %d: %d entries, at most %d are read", r.frames, len(of.Block.Entries), maxBlockEntries)
			}
			r.block.Entries, r.nextEntry = of.Block.GetEntries(), 0
		case *recordingpb.Frame_End:
			if of.End.Entries != r.count {
				return fmt.Errorf("frame %d: %d entries were read, the end tells %d", r.frames, r.count, of.End.Entries)
			}
			if _, err := r.input.ReadByte(); !errors.Is(err, io.EOF) {
				return fmt.Errorf("frame %d: something follows the end", r.frames)
			}
			return io.EOF
		default:
			return fmt.Errorf("frame %d: neither block nor end", r.frames)
		}
	}
	stored := r.block.Entries[r.nextEntry]
	r.nextEntry++
	r.count++
	at := r.lastArrival + time.Duration(stored.AfterUs)*time.Microsecond
	switch {
	case stored.AfterUs > uint64(maxRecordingLength.Microseconds()) || at > maxRecordingLength:
		return fmt.Errorf("entry %d: more than ten years after the start", r.count)
	case int(stored.Class) >= len(r.Header.Classes) || stored.Class > math.MaxInt32:
		return fmt.Errorf("entry %d: class %d is not in the header", r.count, stored.Class)
	case stored.LeftMs < 1 || stored.LeftMs > maxTimeoutMs:
		return fmt.Errorf("entry %d: left_ms: %d is not between 1 and %d", r.count, stored.LeftMs, maxTimeoutMs)
	case !(stored.Slots >= 0 && stored.Slots <= 64):
		return fmt.Errorf("entry %d: slots: not between 0 and 64", r.count)
	case stored.DurationUs > 24*3600*1e6 || stored.EffortUs > 1000*24*3600*1e6:
		return fmt.Errorf("entry %d: duration or effort: too long", r.count)
	}
	r.lastArrival = at
	*e = Entry{Arrival: at, Class: int(stored.Class), Key: stored.Key, Duration: time.Duration(stored.DurationUs) * time.Microsecond,
		Effort: time.Duration(stored.EffortUs) * time.Microsecond, Timeout: time.Duration(stored.LeftMs) * time.Millisecond,
		Slots: float64(stored.Slots), BodyBytes: int(stored.BodyBytes), Status: int(stored.Status), Source: int(stored.Source), Repairs: Repair(stored.Repairs)}
	if e.Slots == 0 {
		e.Slots = 1
	}
	return nil
}

// ForEach calls each for every entry of a recording, and checks it to its end.
func (r *Reader) ForEach(each func(e *Entry) error) error {
	var e Entry
	for {
		if err := r.Next(&e); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		if err := each(&e); err != nil {
			return err
		}
	}
}

func (r *Reader) deriveHeader(history string) *recordingpb.Header {
	h := proto.Clone(r.Header).(*recordingpb.Header)
	h.Entries = 0
	h.History = append(h.History, history)
	return h
}

// Slice copies what arrives from from on and before to (0: the end). The new
// recording starts at from.
func Slice(r *Reader, out io.Writer, from, to time.Duration) error {
	if from < 0 || to != 0 && to <= from {
		return errors.New("slice: the window is empty")
	}
	h := r.deriveHeader(fmt.Sprintf("slice from %v to %v", from, to))
	h.StartUnixUs += from.Microseconds()
	w, err := NewWriter(out, h)
	if err != nil {
		return err
	}
	if err := r.ForEach(func(e *Entry) error { // to the end: a file that is cut is no source
		if e.Arrival < from || to != 0 && e.Arrival >= to {
			return nil
		}
		e.Arrival -= from
		return w.Add(e)
	}); err != nil {
		return err
	}
	return w.Close()
}

// Merge puts recordings together: by the clock, or with all starts at once.
func Merge(in []*Reader, out io.Writer, align bool) error {
	if len(in) == 0 {
		return errors.New("merge: nothing to merge")
	}
	h := in[0].deriveHeader(fmt.Sprintf("merge of %d", len(in)))
	h.Classes, h.Sources, h.Repairs = nil, nil, map[string]uint64{}
	h.Counts = &recordingpb.Counts{}
	index := map[string]int{}
	classes, sources := make([][]int, len(in)), make([]int, len(in))
	for i, r := range in {
		h.StartUnixUs = min(h.StartUnixUs, r.Header.StartUnixUs)
		sources[i] = len(h.Sources)
		h.Sources = append(h.Sources, r.Header.Sources...)
		for _, c := range r.Header.Classes {
			n, ok := index[c.Name]
			if !ok {
				n = len(h.Classes)
				index[c.Name] = n
				h.Classes = append(h.Classes, c)
			} else if h.Classes[n].Retryable != c.Retryable {
				return fmt.Errorf("merge: class %s is retryable in one recording and not in another", c.Name)
			}
			classes[i] = append(classes[i], n)
		}
		for name, n := range r.Header.Repairs {
			h.Repairs[name] += n
		}
		if c := r.Header.Counts; c != nil {
			h.Counts.Read += c.Read
			h.Counts.Accepted += c.Accepted
			h.Counts.Malformed += c.Malformed
			h.Counts.Unmapped += c.Unmapped
			h.Counts.Ignored += c.Ignored
			h.Counts.Repaired += c.Repaired
		}
	}
	w, err := NewWriter(out, h)
	if err != nil {
		return err
	}
	var queue entryQueue
	pull := func(i int) error {
		var e Entry
		err := in[i].Next(&e)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("recording %d: %w", i+1, err)
		}
		if !align {
			e.Arrival += time.Duration(in[i].Header.StartUnixUs-h.StartUnixUs) * time.Microsecond
		}
		e.Class, e.Source = classes[i][e.Class], e.Source+sources[i]
		heap.Push(&queue, queuedEntry{e, uint64(i)})
		return nil
	}
	for i := range in {
		if err := pull(i); err != nil {
			return err
		}
	}
	for len(queue) > 0 {
		q := heap.Pop(&queue).(queuedEntry)
		if err := w.Add(&q.Entry); err != nil {
			return err
		}
		if err := pull(int(q.order)); err != nil {
			return err
		}
	}
	return w.Close()
}

// entryQueue are entries by their time.
type entryQueue []queuedEntry

type queuedEntry struct {
	Entry
	order uint64
}

func (l entryQueue) Len() int { return len(l) }
func (l entryQueue) Less(i, j int) bool {
	return l[i].Arrival < l[j].Arrival || l[i].Arrival == l[j].Arrival && l[i].order < l[j].order
}
func (l entryQueue) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *entryQueue) Push(x any)   { *l = append(*l, x.(queuedEntry)) }
func (l *entryQueue) Pop() any {
	q := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return q
}

// Scale multiplies the rate, by leaving entries out or adding copies within a
// second behind their originals and for members of their own, and the speed at
// which the time goes by. Durations and efforts stay.
func Scale(r *Reader, out io.Writer, rate, speed float64, seed uint64) error {
	for _, x := range []float64{rate, speed} {
		if !(x >= 0.001 && x <= 1000) {
			return fmt.Errorf("scale: %g is not between 0.001 and 1000", x)
		}
	}
	w, err := NewWriter(out, r.deriveHeader(fmt.Sprintf("scale rate %g speed %g seed %d", rate, speed, seed)))
	if err != nil {
		return err
	}
	rng := newRandomStream(seed, "scale")
	var queue entryQueue
	order := uint64(0)
	release := func(until time.Duration) error {
		for len(queue) > 0 && queue[0].Arrival <= until {
			q := heap.Pop(&queue).(queuedEntry)
			q.Arrival = time.Duration(float64(q.Arrival) / speed)
			if err := w.Add(&q.Entry); err != nil {
				return err
			}
		}
		return nil
	}
	if err := r.ForEach(func(e *Entry) error {
		if err := release(e.Arrival); err != nil {
			return err
		}
		copies := int(rate)
		if rng.Float64() < rate-float64(copies) {
			copies++
		}
		for i := range copies {
			c := *e
			if i > 0 {
				c.Arrival = e.Arrival + time.Duration(rng.Int64N(int64(time.Second)))
				if c.Key != 0 {
					c.Key = (c.Key + uint64(i)*0x9e3779b97f4a7c15) | 1
				}
			}
			order++
			heap.Push(&queue, queuedEntry{c, order})
		}
		return nil
	}); err != nil {
		return err
	}
	if err := release(math.MaxInt64); err != nil {
		return err
	}
	return w.Close()
}
