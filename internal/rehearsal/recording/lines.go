package recording

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// entryPosition is where a line or an entry is found.
type entryPosition struct {
	line   int   // from 1; in a HAR file the number of the entry
	offset int64 // of the first byte, in the decompressed file
}

// entryHandler takes one entry; malformed says what is wrong with it, and raw is then nil. raw is
// only valid during the call. An error ends the reading.
type entryHandler func(at entryPosition, raw *RawEntry, malformed error) error

// readLines calls handle for each line of a log that is not blank. The error returned is the
// input's or the handler's.
func readLines(input *bufio.Reader, format *Format, handle entryHandler) error {
	var raw RawEntry
	position := entryPosition{line: 1}
	for {
		line, err := readLine(input)
		if err != nil && !errors.Is(err, io.EOF) {
			if line.size > 0 {
				if handlerErr := handle(position, nil, fmt.Errorf("cut off: %w", err)); handlerErr != nil {
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

// rawLine is a line as it is read.
type rawLine struct {
	text    []byte // the beginning, if the line is too long
	size    int64  // bytes, with the newline
	tooLong bool
}

// readLine reads the next line, and to its end if it is too long. The text is valid until the
// next read.
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
