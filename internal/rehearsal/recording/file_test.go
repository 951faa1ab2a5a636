package recording

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"time"
)

// sampleLength is the number of entries that most tests request from sampleRecording.
const sampleLength = 3000

// sampleRecording returns a recording with two classes, whose entries are 10 ms apart.
func sampleRecording(t testing.TB, entries int) []byte {
	t.Helper()
	var text strings.Builder
	for i := range entries {
		completed := logStart.Add(time.Duration(i) * 10 * time.Millisecond)
		member := i % 97
		if i%3 == 0 {
			text.WriteString(renewalLine(completed, member, 0.02))
		} else {
			text.WriteString(statusLine(completed, member, 0.02))
		}
	}
	return importTexts(t, Options{Seed: 3}, text.String()).file
}

// verify reads a recording to its end and returns the first error.
func verify(file []byte) error {
	reader, err := NewReader(bytes.NewReader(file))
	if err != nil {
		return err
	}
	defer reader.Close()
	return reader.ForEach(func(*Entry) error { return nil })
}

// A file that is truncated, or in which a byte after the first ones is modified, is rejected.
func TestDamagedFileIsRejected(t *testing.T) {
	const (
		positions  = 200
		magicBytes = 8 // a file in which one of the first bytes is modified may still be read to its end
	)
	file := sampleRecording(t, sampleLength)
	if err := verify(file); err != nil {
		t.Fatal(err)
	}
	for i := range positions {
		position := i * len(file) / positions
		if err := verify(file[:position]); err == nil {
			t.Fatalf("truncated after %d of %d bytes, the file is accepted", position, len(file))
		}
		flipped := slices.Clone(file)
		flipped[position] ^= 0x10
		if err := verify(flipped); err == nil && position > magicBytes {
			t.Fatalf("with byte %d of %d modified, the file is accepted", position, len(file))
		}
	}
	if err := verify(append(slices.Clone(file), file...)); err == nil {
		t.Error("two concatenated files are accepted")
	}
}

// The error for a truncated file states the frame and the number of entries before it.
func TestErrorOfTruncatedFileNamesPosition(t *testing.T) {
	file := sampleRecording(t, sampleLength)
	err := verify(file[:len(file)/2])
	if err == nil {
		t.Fatal("a truncated file is accepted")
	}
	if !strings.Contains(err.Error(), "frame ") || !strings.Contains(err.Error(), "entries") {
		t.Errorf("the error has no position: %v", err)
	}
}

// If the decompressed content is modified and compressed again, the checksum of zstd is correct, so that
// only the recording's own checksum reveals the modification.
func TestModifiedContentFailsTheChecksum(t *testing.T) {
	const (
		endBytes = 40   // bytes at the end of the content that include the last frame
		keyTag   = 0x19 // protobuf tag that precedes an entry's key
	)
	plain := zstdDecompressed(t, sampleRecording(t, sampleLength))
	tag := bytes.LastIndexByte(plain[:len(plain)-endBytes], keyTag)
	plain[tag+3] ^= 1
	if err := verify(zstdCompressed(t, plain)); err == nil || !strings.Contains(err.Error(), "checksum") {
		t.Errorf("modified and compressed again: %v, want an error of the checksum", err)
	}
}

// A file of another version that is otherwise valid is rejected.
func TestOtherVersionIsRejected(t *testing.T) {
	header := openRecording(t, sampleRecording(t, sampleLength)).deriveHeader("later")
	header.Version = 2
	var out bytes.Buffer
	writer, err := NewWriter(&out, header)
	if err != nil {
		t.Fatal(err)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	const want = "version 2; this program reads 1"
	if err := verify(out.Bytes()); err == nil || !strings.Contains(err.Error(), want) {
		t.Errorf("another version: %v, want %s", err, want)
	}
}

// sliceAt splits a recording into the entries before a time and the others.
func sliceAt(t *testing.T, file []byte, middle time.Duration) (front, back []byte) {
	t.Helper()
	var frontOut, backOut bytes.Buffer
	frontErr := Slice(openRecording(t, file), &frontOut, 0, middle)
	backErr := Slice(openRecording(t, file), &backOut, middle, 0)
	if err := errors.Join(frontErr, backErr); err != nil {
		t.Fatal(err)
	}
	return frontOut.Bytes(), backOut.Bytes()
}

// merge merges two recordings.
func merge(t *testing.T, first, second []byte, align bool) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := Merge([]*Reader{openRecording(t, first), openRecording(t, second)}, &out, align); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// Merging the two slices of a recording, given in reverse order, restores the entries of the recording.
func TestMergeRevertsSlice(t *testing.T) {
	file := sampleRecording(t, sampleLength)
	entries := readEntries(t, file)
	front, back := sliceAt(t, file, 11*time.Second)
	merged := readEntries(t, merge(t, back, front, false))
	for i, want := range entries {
		got := merged[i]
		got.Class = want.Class // indexes may differ between the headers
		got.Source = want.Source
		if got != want {
			t.Fatalf("entry %d, sliced and merged: %+v, was %+v", i, got, want)
		}
	}
}

// A slice contains only the entries of its time range, and their arrivals count from the start of the range.
func TestSliceStartsAtItsWindow(t *testing.T) {
	file := sampleRecording(t, sampleLength)
	_, back := sliceAt(t, file, 11*time.Second)
	entries := readEntries(t, back)
	if len(entries) == 0 || len(entries) == sampleLength {
		t.Fatalf("%d of %d entries in the second part", len(entries), sampleLength)
	}
	if entries[0].Arrival > time.Second {
		t.Errorf("the first entry of the second part is at %v, want at most 1 s", entries[0].Arrival)
	}
}

// With align, merged recordings start at the same time.
func TestMergeAligned(t *testing.T) {
	front, back := sliceAt(t, sampleRecording(t, sampleLength), 11*time.Second)
	entries := readEntries(t, merge(t, front, back, true))
	if last := entries[sampleLength-1].Arrival; last > 20*time.Second {
		t.Errorf("the last of the aligned entries arrives at %v, want at most 20 s", last)
	}
}

// Scale multiplies the number of entries by the rate and divides their times by the speed.
func TestScale(t *testing.T) {
	file := sampleRecording(t, sampleLength)
	for _, rate := range []float64{0.25, 1, 2.5} {
		var scaled bytes.Buffer
		if err := Scale(openRecording(t, file), &scaled, rate, 2, 1); err != nil {
			t.Fatal(err)
		}
		entries := readEntries(t, scaled.Bytes())
		want := sampleLength * rate
		if got := float64(len(entries)); got < want*0.95 || got > want*1.05 {
			t.Errorf("rate %g: %g entries, want about %g", rate, got, want)
		}
		if last := entries[len(entries)-1].Arrival; last > 16*time.Second || last < 14*time.Second {
			t.Errorf("rate %g, speed 2: the last entry arrives at %v, want about 15 s instead of 30 s", rate, last)
		}
	}
}

// An empty time range, a factor out of range and a merge of no recordings are rejected.
func TestInvalidTransforms(t *testing.T) {
	const middle = 11 * time.Second
	file := sampleRecording(t, sampleLength)
	for name, err := range map[string]error{
		"slice of an empty time range": Slice(openRecording(t, file), io.Discard, middle, middle-1),
		"scale by 0":                   Scale(openRecording(t, file), io.Discard, 0, 1, 1),
		"merge of nothing":             Merge(nil, io.Discard, false),
	} {
		if err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// For arbitrary bytes the reader returns valid entries or an error.
func FuzzRecordingFile(f *testing.F) {
	file := sampleRecording(f, 30)
	f.Add(file)
	f.Add(file[:len(file)/2])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, content []byte) {
		checkArbitraryFile(t, content)
		// The content is also read as the frames of a valid zstd stream, since decompression rejects
		// most modifications of a compressed file.
		checkArbitraryFile(t, zstdCompressed(t, content))
	})
}

// checkArbitraryFile reads a file. The test fails if an entry is invalid, or if the reader accepts the
// file although the number of entries does not match.
func checkArbitraryFile(t *testing.T, file []byte) {
	t.Helper()
	reader, err := NewReader(bytes.NewReader(file))
	if err != nil {
		return
	}
	defer reader.Close()
	lastArrival := time.Duration(0)
	count := uint64(0)
	err = reader.ForEach(func(entry *Entry) error {
		if entry.Arrival < lastArrival || entry.Class >= len(reader.Header.Classes) || entry.Timeout <= 0 || entry.Slots < 0 {
			t.Fatalf("invalid entry %+v", entry)
		}
		lastArrival = entry.Arrival
		count++
		return nil
	})
	if err == nil && count != reader.count {
		t.Fatalf("ForEach passed on %d entries, the reader counted %d, and there is no error", count, reader.count)
	}
}
