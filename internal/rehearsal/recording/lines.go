package recording

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// entryPosition is the position of a log line or a HAR entry in its file.
type entryPosition struct {
	line   int   // number of the line or, in a HAR file, of the entry, from 1
	offset int64 // offset of its first byte in the decompressed file
}

// entryHandler handles one entry. If the entry is malformed, malformed says why and raw is nil. raw is
// only valid during the call. If the handler returns an error, the reading stops.
type entryHandler func(at entryPosition, raw *RawEntry, malformed error) error

// readLines calls handle for each line of a log that is not blank. It returns an error of the input or
// of the handler.
func readLines(input *bufio.Reader, format *Format, handle entryHandler) error {
	var raw RawEntry
	position := entryPosition{line: 1}
	for {
		line, err := readLine(input)
		if err != nil && !errors.Is(err, io.EOF) {
			if line.size > 0 {
				if handlerErr := handle(position, nil, fmt.Errorf("truncated: %w", err)); handlerErr != nil {
					return handlerErr
				}
			}
			return err
		}
		if handlerErr := handleLine(line, format, position, &raw, handle); handlerErr != nil {
			return handlerErr
		}
		if err != nil {
			return nil
		}
		position.line++
		position.offset += line.size
	}
}

// rawLine is a line as it is read, before it is parsed.
type rawLine struct {
	text    []byte // only the beginning if the line is too long
	size    int64  // in bytes, including the newline
	tooLong bool
}

// readLine reads the next line. If the line is longer than the buffer of input, it skips the part beyond
// that. The text is valid until the next read.
func readLine(input *bufio.Reader) (rawLine, error) {
	text, err := input.ReadSlice('\n')
	line := rawLine{text: text, size: int64(len(text)), tooLong: errors.Is(err, bufio.ErrBufferFull)}
	for errors.Is(err, bufio.ErrBufferFull) {
		var more []byte
		more, err = input.ReadSlice('\n')
		line.size += int64(len(more))
	}
	return line, err
}

func handleLine(line rawLine, format *Format, position entryPosition, raw *RawEntry, handle entryHandler) error {
	text := line.text
	if position.line == 1 {
		text = bytes.TrimPrefix(text, []byte(byteOrderMark))
	}
	text = bytes.TrimRight(text, "\r\n")
	switch {
	case line.tooLong:
		return handle(position, nil, errLineTooLong)
	case len(bytes.TrimSpace(text)) == 0:
		return nil
	}
	if malformed := format.Parse(string(text), raw); malformed != nil {
		return handle(position, nil, malformed)
	}
	return handle(position, raw, nil)
}
