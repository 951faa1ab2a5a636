package recording

import (
	"bufio"
	"errors"
	"io"
	"math"
	"strings"
)

// inputFile is an input that has been opened.
type inputFile struct {
	Input
	digest         *hashingReader
	reader         *bufio.Reader // decompressed
	format         *Format
	openError      error // the file could not be read
	firstTimestamp int64 // math.MaxInt64: not known
	order          int   // among all inputs
}

// openInputFile opens an input and finds its format. A fault of the input is kept in openError;
// the error returned is one of the options.
func openInputFile(input Input, options *Options) (*inputFile, error) {
	file := &inputFile{Input: input, digest: newHashingReader(input.Reader)}
	var head []byte
	file.reader, file.openError = unpack(file.digest)
	if file.openError == nil {
		head, file.openError = file.reader.Peek(detectionBytes)
		atEnd := errors.Is(file.openError, io.EOF) && !errors.Is(file.openError, io.ErrUnexpectedEOF)
		if atEnd || len(head) > 0 {
			file.openError = nil // what there is will be read, and meets the fault again
		}
	}
	var err error
	if options.Format != "" && options.Format != "auto" {
		file.format, err = Compile(options.Format, options.Zone)
	} else {
		file.format, err = detectFormat(string(head), options.Zone)
	}
	if err != nil {
		return nil, err
	}
	file.firstTimestamp = firstTimestamp(string(head), file.format)
	return file, nil
}

// firstTimestamp finds that of the first line that can be parsed; math.MaxInt64: none.
func firstTimestamp(head string, format *Format) int64 {
	if format.HAR {
		return math.MaxInt64
	}
	for line := range strings.SplitSeq(strings.TrimPrefix(head, byteOrderMark), "\n") {
		var raw RawEntry
		if format.Parse(strings.TrimRight(line, "\r"), &raw) == nil {
			return raw.Timestamp
		}
	}
	return math.MaxInt64
}
