package recording

import (
	"bufio"
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

// Reader reads a recording file. A file that is truncated, modified or of another version is
// rejected with an error that says what is wrong and where. The entries that were read before that
// error must not be used.
type Reader struct {
	Header *recordingpb.Header

	decoder     *zstd.Decoder
	input       *bufio.Reader // decompressed frames
	checksum    *xxhash.Digest
	frames      int
	offset      int64 // of the next frame in the decompressed file
	block       recordingpb.Block
	nextEntry   int // index in the block of the entry that is returned next
	lastArrival time.Duration
	count       uint64 // entries that were read
	err         error  // of the first call to Next that failed
	buffer      []byte
}

// NewReader opens a recording and reads its header. The caller must close the reader.
func NewReader(input io.Reader) (*Reader, error) {
	const (
		inputBytes      = 64 << 10
		unlimitedMemory = 1 << 40
	)
	decoder, err := zstd.NewReader(input, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxWindow(maxZstdWindowBytes), zstd.WithDecoderMaxMemory(unlimitedMemory))
	if err != nil {
		return nil, err
	}
	reader := &Reader{decoder: decoder, input: bufio.NewReaderSize(decoder, inputBytes), checksum: xxhash.New()}
	if err := reader.readHeader(); err != nil {
		decoder.Close()
		return nil, err
	}
	return reader, nil
}

// Close releases the reader's memory. It does not close the underlying reader.
func (r *Reader) Close() { r.decoder.Close() }

func (r *Reader) readHeader() error {
	frame, err := r.readFrame()
	if err != nil {
		return err
	}
	r.Header = frame.GetHeader()
	if r.Header == nil {
		return errors.New("not a recording: the first frame is not a header")
	}
	if r.Header.Version != Version {
		return fmt.Errorf("header: version %d; this program reads %d", r.Header.Version, Version)
	}
	names := map[string]bool{}
	for i, class := range r.Header.Classes {
		if class.GetName() == "" || names[class.Name] {
			return fmt.Errorf("header: classes[%d]: the name is empty or not unique", i)
		}
		names[class.Name] = true
	}
	return nil
}

// readFrame reads the next frame and adds it to the checksum. The checksum in an end frame must match
// that of the frames before it.
func (r *Reader) readFrame() (*recordingpb.Frame, error) {
	size, err := binary.ReadUvarint(r.input)
	if err != nil {
		return nil, r.frameError(err)
	}
	if size > maxFrameBytes {
		return nil, r.frameError(fmt.Errorf("%d bytes long, the limit is %d", size, maxFrameBytes))
	}
	if uint64(cap(r.buffer)) < size {
		r.buffer = make([]byte, size)
	}
	r.buffer = r.buffer[:size]
	if _, err := io.ReadFull(r.input, r.buffer); err != nil {
		return nil, r.frameError(err)
	}
	var frame recordingpb.Frame
	if err := proto.Unmarshal(r.buffer, &frame); err != nil {
		return nil, r.frameError(errors.New("not a valid frame"))
	}
	if end := frame.GetEnd(); end != nil && end.Xxhash != r.checksum.Sum64() {
		return nil, r.frameError(errors.New("the checksum is wrong: the file was modified"))
	}
	prefix := binary.AppendUvarint(nil, size)
	r.checksum.Write(prefix)
	r.checksum.Write(r.buffer)
	r.frames++
	r.offset += int64(len(prefix)) + int64(size)
	return &frame, nil
}

// frameError adds to an error the position of the frame that could not be read.
func (r *Reader) frameError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		err = errors.New("unexpected end of file")
	}
	return fmt.Errorf("frame %d, at byte %d of the decompressed file, after %d entries: %w", r.frames+1, r.offset, r.count, err)
}

// Next reads the next entry. After the last one it returns io.EOF if the file is intact. Once it has
// returned an error, it returns the same error on every call.
func (r *Reader) Next(entry *Entry) error {
	if r.err == nil {
		r.err = r.readEntry(entry)
	}
	return r.err
}

// ForEach calls handle for every entry and returns nil if the file is intact up to its end. It stops
// and returns the error if handle returns one.
func (r *Reader) ForEach(handle func(entry *Entry) error) error {
	var entry Entry
	for {
		err := r.Next(&entry)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := handle(&entry); err != nil {
			return err
		}
	}
}

func (r *Reader) readEntry(entry *Entry) error {
	for r.nextEntry >= len(r.block.Entries) {
		if err := r.readBlock(); err != nil {
			return err
		}
	}
	stored := r.block.Entries[r.nextEntry]
	r.nextEntry++
	r.count++
	arrival := r.lastArrival + time.Duration(stored.AfterUs)*time.Microsecond
	if err := r.checkEntry(stored, arrival); err != nil {
		return err
	}
	r.lastArrival = arrival
	*entry = Entry{
		Arrival:   arrival,
		Class:     int(stored.Class),
		Key:       stored.Key,
		Duration:  time.Duration(stored.DurationUs) * time.Microsecond,
		Effort:    time.Duration(stored.EffortUs) * time.Microsecond,
		Timeout:   time.Duration(stored.LeftMs) * time.Millisecond,
		Slots:     float64(stored.Slots),
		BodyBytes: int(stored.BodyBytes),
		Status:    int(stored.Status),
		Source:    int(stored.Source),
		Repairs:   Repair(stored.Repairs),
	}
	if entry.Slots == 0 {
		entry.Slots = 1
	}
	return nil
}

// readBlock reads the next block, or verifies the end frame and returns io.EOF.
func (r *Reader) readBlock() error {
	frame, err := r.readFrame()
	if err != nil {
		return err
	}
	switch content := frame.Of.(type) {
	case *recordingpb.Frame_Block:
		entries := content.Block.GetEntries()
		if len(entries) > maxBlockEntries {
			return fmt.Errorf("frame %d: %d entries, the limit is %d", r.frames, len(entries), maxBlockEntries)
		}
		r.block.Entries = entries
		r.nextEntry = 0
		return nil
	case *recordingpb.Frame_End:
		if content.End.Entries != r.count {
			return fmt.Errorf("frame %d: %d entries were read, the end frame states %d", r.frames, r.count, content.End.Entries)
		}
		if _, err := r.input.ReadByte(); !errors.Is(err, io.EOF) {
			return fmt.Errorf("frame %d: data follows the end frame", r.frames)
		}
		return io.EOF
	}
	return fmt.Errorf("frame %d: neither a block nor an end", r.frames)
}

// checkEntry rejects an entry with a value out of range, so that callers of Next need not check it.
func (r *Reader) checkEntry(stored *recordingpb.Entry, arrival time.Duration) error {
	switch {
	case stored.AfterUs > uint64(maxRecordingLength.Microseconds()) || arrival > maxRecordingLength:
		return fmt.Errorf("entry %d: more than ten years after the start", r.count)
	case int(stored.Class) >= len(r.Header.Classes) || stored.Class > math.MaxInt32:
		return fmt.Errorf("entry %d: class %d is not in the header", r.count, stored.Class)
	case stored.LeftMs < 1 || stored.LeftMs > maxTimeoutMs:
		return fmt.Errorf("entry %d: left_ms: %d is not between 1 and %d", r.count, stored.LeftMs, maxTimeoutMs)
	case !(stored.Slots >= 0 && stored.Slots <= maxSlots):
		return fmt.Errorf("entry %d: slots: not between 0 and 64", r.count)
	case stored.DurationUs > uint64(day) || stored.EffortUs > uint64(maxEffort):
		return fmt.Errorf("entry %d: duration or effort: too long", r.count)
	}
	return nil
}
