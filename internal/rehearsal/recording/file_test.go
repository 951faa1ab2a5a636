package recording

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/klauspost/compress/zstd"
)

func sampleRecording(t testing.TB, n int) []byte {
	var text strings.Builder
	for i := range n {
		method, path := "GET", "/status"
		if i%3 == 0 {
			method, path = "POST", "/renew"
		}
		text.WriteString(combinedLine(logStart.Add(time.Duration(i)*10*time.Millisecond), method, fmt.Sprintf("/members/%d%s", i%97, path), 0.02))
	}
	_, _, file := importTexts(t, Options{Seed: 3}, text.String())
	return file
}

// A file that is truncated or modified anywhere is rejected with an error.
func TestDamagedFile(t *testing.T) {
	file := sampleRecording(t, 3000)
	readAll := func(b []byte) error {
		r, err := NewReader(bytes.NewReader(b))
		if err != nil {
			return err
		}
		defer r.Close()
		return r.ForEach(func(*Entry) error { return nil })
	}
	if err := readAll(file); err != nil {
		t.Fatal(err)
	}
	for n := range 200 {
		position := n * len(file) / 200
		if err := readAll(file[:position]); err == nil {
			t.Fatalf("truncated at %d of %d it is accepted", position, len(file))
		}
		flipped := slices.Clone(file)
		flipped[position] ^= 0x10
		if err := readAll(flipped); err == nil && position > 8 {
			t.Fatalf("with byte %d of %d modified it is accepted", position, len(file))
		}
	}
	if err := readAll(append(slices.Clone(file), file...)); err == nil {
		t.Error("two concatenated files are accepted")
	}
	if err := readAll(file[:len(file)/2]); !strings.Contains(err.Error(), "frame ") || !strings.Contains(err.Error(), "entries") {
		t.Errorf("the error has no position: %v", err)
	}
	// A modification that was compressed again, which the check of zstd does not detect.
	decoder, err := zstd.NewReader(bytes.NewReader(file))
	if err != nil {
		t.Fatal(err)
	}
	plain, err := io.ReadAll(decoder)
	decoder.Close()
	if err != nil {
		t.Fatal(err)
	}
	at := bytes.LastIndexByte(plain[:len(plain)-40], 0x19) // the tag of an entry's key
	plain[at+3] ^= 1
	var repacked bytes.Buffer
	encoder, _ := zstd.NewWriter(&repacked)
	encoder.Write(plain)
	encoder.Close()
	if err := readAll(repacked.Bytes()); err == nil || !strings.Contains(err.Error(), "checksum") {
		t.Errorf("modified and compressed again: %v", err)
	}
	// A file of another version that is otherwise valid.
	r, _ := NewReader(bytes.NewReader(file))
	header := r.deriveHeader("later")
	header.Version = 2
	var out bytes.Buffer
	writer, _ := NewWriter(&out, header)
	writer.Close()
	if err := readAll(out.Bytes()); err == nil || !strings.Contains(err.Error(), "version 2; this program reads 1") {
		t.Errorf("another version: %v", err)
	}
}

func TestSliceMergeScale(t *testing.T) {
	file := sampleRecording(t, 3000)
	list := readEntries(t, file)
	open := func(back []byte) *Reader {
		r, err := NewReader(bytes.NewReader(back))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		return r
	}
	var front, b, merged, scaled bytes.Buffer
	const at = 11 * time.Second
	if err := errors.Join(Slice(open(file), &front, 0, at), Slice(open(file), &b, at, 0)); err != nil {
		t.Fatal(err)
	}
	if err := Merge([]*Reader{open(b.Bytes()), open(front.Bytes())}, &merged, false); err != nil {
		t.Fatal(err)
	}
	again := readEntries(t, merged.Bytes())
	for i := range list {
		x, y := list[i], again[i]
		y.Class, y.Source = x.Class, x.Source
		if x != y {
			t.Fatalf("entry %d, sliced and merged: %+v, was %+v", i, y, x)
		}
	}
	if n := len(readEntries(t, b.Bytes())); n == 0 || n == len(list) || readEntries(t, b.Bytes())[0].Arrival > time.Second {
		t.Errorf("%d entries in the second part", n)
	}
	merged.Reset()
	if err := Merge([]*Reader{open(front.Bytes()), open(b.Bytes())}, &merged, true); err != nil || readEntries(t, merged.Bytes())[2999].Arrival > 20*time.Second {
		t.Errorf("aligned: %v", err)
	}
	for _, rate := range []float64{0.25, 1, 2.5} {
		scaled.Reset()
		if err := Scale(open(file), &scaled, rate, 2, 1); err != nil {
			t.Fatal(err)
		}
		got := readEntries(t, scaled.Bytes())
		if want := 3000 * rate; float64(len(got)) < want*0.95 || float64(len(got)) > want*1.05 {
			t.Errorf("rate %g: %d entries", rate, len(got))
		}
		if last := got[len(got)-1].Arrival; last > 16*time.Second || last < 14*time.Second {
			t.Errorf("rate %g, twice the speed: 30 s became %v", rate, last)
		}
	}
	if Slice(open(file), io.Discard, at, at-1) == nil || Scale(open(file), io.Discard, 0, 1, 1) == nil || Merge(nil, io.Discard, false) == nil {
		t.Error("invalid arguments are accepted")
	}
}

func FuzzRecordingFile(f *testing.F) {
	file := sampleRecording(f, 30)
	f.Add(file)
	f.Add(file[:len(file)/2])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, text []byte) {
		// As uncompressed frames too, since the decompression rejects most modifications.
		var packed bytes.Buffer
		zip, _ := zstd.NewWriter(&packed)
		zip.Write(text)
		zip.Close()
		for _, b := range [][]byte{text, packed.Bytes()} {
			r, err := NewReader(bytes.NewReader(b))
			if err != nil {
				continue
			}
			last, n := time.Duration(0), 0
			err = r.ForEach(func(e *Entry) error {
				if e.Arrival < last || e.Class >= len(r.Header.Classes) || e.Timeout <= 0 || e.Slots < 0 {
					t.Fatalf("%+v", e)
				}
				last, n = e.Arrival, n+1
				return nil
			})
			if err == nil && uint64(n) != r.count {
				t.Fatalf("%d entries read of %d in the file, and no error", n, r.count)
			}
			r.Close()
		}
	})
}
