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
	hasher         *hashingReader
	reader         *bufio.Reader // of the decompressed content
	format         *Format
	openError      error // error of reading the beginning of the file, or nil
	firstTimestamp int64 // math.MaxInt64 if it is not known
	inputIndex     int   // index among all inputs
}

// openInputFile opens an input and determines its format. An error of the input is stored in
// openError; the returned error means that the format in the options is invalid.
func openInputFile(input Input, options *Options) (*inputFile, error) {
	file := &inputFile{Input: input, hasher: newHashingReader(input.Reader)}
	var head []byte
	file.reader, file.openError = unpack(file.hasher)
	if file.openError == nil {
		head, file.openError = file.reader.Peek(detectionBytes)
		atEnd := errors.Is(file.openError, io.EOF) && !errors.Is(file.openError, io.ErrUnexpectedEOF)
		if atEnd || len(head) > 0 {
			file.openError = nil // readFile reads the content up to the fault and gets the same error
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

// firstTimestamp returns the timestamp of the first line in head that can be parsed, or math.MaxInt64
// if there is none.
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
