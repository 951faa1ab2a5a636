package recording

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"hash"
	"io"

	kgzip "github.com/klauspost/compress/gzip"
	"github.com/klauspost/compress/zstd"
)

const (
	maxLineBytes   = 256 << 10 // longer lines are malformed
	detectionBytes = 64 << 10  // beginning of a file from which its format is detected
	maxZstdWindow  = 16 << 20  // in bytes; input with a larger window is rejected
)

// hashingReader hashes the content that is read through it. full is the SHA-256 of all of it, and
// secretSample that of a prefix and samples of the content. Recordings contain full, from which
// secretSample cannot be computed without the content.
type hashingReader struct {
	reader       io.Reader
	full         hash.Hash
	secretSample hash.Hash
	bytesRead    int64 // read so far
}

func newHashingReader(reader io.Reader) *hashingReader {
	h := &hashingReader{reader: reader, full: sha256.New(), secretSample: sha256.New()}
	io.WriteString(h.secretSample, "hollyyoke: pseudonyms of members\n")
	return h
}

// Read implements io.Reader.
func (h *hashingReader) Read(p []byte) (int, error) {
	n, err := h.reader.Read(p)
	h.full.Write(p[:n])
	h.sample(p[:n])
	h.bytesRead += int64(n)
	return n, err
}

// sample adds to secretSample those bytes of data that lie in the first 64 KiB of each MiB of the input.
func (h *hashingReader) sample(data []byte) {
	const (
		sampleBytes = 64 << 10
		stride      = 1 << 20
	)
	offset := h.bytesRead
	for len(data) > 0 {
		inStride := offset % stride
		step := min(int64(len(data)), stride-inStride)
		if inStride < sampleBytes {
			h.secretSample.Write(data[:min(step, sampleBytes-inStride)])
		}
		offset += step
		data = data[step:]
	}
}

// The first bytes of compressed files.
var (
	gzipMagic = []byte{0x1f, 0x8b}
	zstdMagic = []byte{0x28, 0xb5, 0x2f, 0xfd}
)

// unpack returns a reader of the decompressed content of source. It recognises gzip and zstd by their
// first bytes; other content is read unchanged.
func unpack(source io.Reader) (*bufio.Reader, error) {
	input := bufio.NewReaderSize(source, maxLineBytes)
	head, err := input.Peek(len(zstdMagic))
	if err != nil && !errors.Is(err, io.EOF) {
		return input, err
	}
	switch {
	case bytes.HasPrefix(head, gzipMagic):
		decoder, err := kgzip.NewReader(input)
		if err != nil {
			return nil, fmt.Errorf("gzip: %w", err)
		}
		return bufio.NewReaderSize(decoder, maxLineBytes), nil
	case bytes.Equal(head, zstdMagic):
		decoder, err := zstd.NewReader(input, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
			zstd.WithDecoderMaxWindow(maxZstdWindow))
		if err != nil {
			return nil, fmt.Errorf("zstd: %w", err)
		}
		return bufio.NewReaderSize(decoder, maxLineBytes), nil
	}
	return input, nil
}
