package recording

import (
	"encoding/binary"
	"fmt"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"hollyyoke.example/hollyyoke/internal/rehearsal/recording/recordingpb"
)

// Writer writes a recording file: a zstd stream of frames, each preceded by its length. The first frame
// is the header, then come blocks of entries, and the last one is the end, with the number of entries
// and a checksum. Its methods return an error if the underlying writer fails or an entry is out of
// order.
type Writer struct {
	encoder     *zstd.Encoder
	checksum    *xxhash.Digest
	block       recordingpb.Block
	entryPool   []recordingpb.Entry // memory of the block's entries, reused for each block
	buffer      []byte
	lastArrival time.Duration
	count       uint64
	header      *recordingpb.Header
}

// NewWriter starts a file by writing the header, which it does not modify.
func NewWriter(out io.Writer, header *recordingpb.Header) (*Writer, error) {
	encoder, err := zstd.NewWriter(out, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithWindowSize(zstdWindowBytes), zstd.WithEncoderCRC(true))
	if err != nil {
		return nil, err
	}
	writer := &Writer{encoder: encoder, checksum: xxhash.New(), entryPool: make([]recordingpb.Entry, blockEntries), header: header}
	return writer, writer.writeFrame(&recordingpb.Frame{Of: &recordingpb.Frame_Header{Header: header}})
}

func (w *Writer) writeFrame(frame *recordingpb.Frame) (err error) {
	size := proto.Size(frame)
	w.buffer = binary.AppendUvarint(w.buffer[:0], uint64(size))
	w.buffer, err = proto.MarshalOptions{Deterministic: true, UseCachedSize: true}.MarshalAppend(w.buffer, frame)
	if err != nil {
		return err
	}
	w.checksum.Write(w.buffer)
	_, err = w.encoder.Write(w.buffer)
	return err
}

// Add adds an entry, which must not be earlier than the previous one.
func (w *Writer) Add(entry *Entry) error {
	if entry.Arrival < w.lastArrival {
		return fmt.Errorf("entry %d is earlier than the previous one", w.count+1)
	}
	arrival := entry.Arrival.Truncate(time.Microsecond)
	stored := &w.entryPool[len(w.block.Entries)]
	stored.AfterUs = uint64((arrival - w.lastArrival).Microseconds())
	stored.Class = uint32(entry.Class)
	stored.Key = entry.Key
	stored.DurationUs = uint64(entry.Duration.Microseconds())
	stored.EffortUs = uint64(entry.Effort.Microseconds())
	stored.LeftMs = uint32(entry.Timeout.Milliseconds())
	stored.Slots = float32(entry.Slots)
	if entry.Slots == 1 {
		stored.Slots = 0 // means 1, and is not stored
	}
	stored.BodyBytes = uint32(entry.BodyBytes)
	stored.Status = uint32(entry.Status)
	stored.Source = uint32(entry.Source)
	stored.Repairs = uint32(entry.Repairs)
	w.block.Entries = append(w.block.Entries, stored)
	w.lastArrival = arrival
	w.count++
	if len(w.block.Entries) == blockEntries {
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

// Close writes the last block and the end frame, without which readers reject the file. It does not
// close the underlying writer.
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
