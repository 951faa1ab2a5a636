// Command simulator-adapter hosts dispatchers for the simulator: it reads batches of
// events from standard input and writes the dispatchers' actions to standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/simwire"
)

// bufferBytes is the size of the input and output buffers. Longer lines are
// collected in a buffer that grows.
const bufferBytes = 1 << 20

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simulator-adapter:", err)
		os.Exit(1)
	}
}

// run answers each line of input with one line of output until input ends.
func run(input io.Reader, output io.Writer) error {
	batches := lineReader{reader: bufio.NewReaderSize(input, bufferBytes)}
	writer := bufio.NewWriterSize(output, bufferBytes)
	instances := host{
		machines: map[int64]*decision.Machine{},
		decoder:  simwire.NewDecoder(),
	}
	for {
		line, err := batches.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply, err := instances.answer(line)
		if err != nil {
			return err
		}
		if _, err := writer.Write(reply); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return err
		}
	}
}

// lineReader reads lines of any length.
type lineReader struct {
	reader *bufio.Reader
	long   []byte // collects a line that is longer than the reader's buffer
}

// next returns the next line, which is valid until the next call, or io.EOF if there
// is none. The last line may lack a line end.
func (r *lineReader) next() ([]byte, error) {
	r.long = r.long[:0]
	for {
		line, err := r.reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			r.long = append(r.long, line...)
			continue
		}
		if len(r.long) > 0 {
			r.long = append(r.long, line...)
			line = r.long
		}
		if errors.Is(err, io.EOF) && len(line) > 0 {
			return line, nil
		}
		return line, err
	}
}

// host has the dispatcher instances. They share only the decoder's tables.
type host struct {
	decoder  *simwire.Decoder
	encoder  simwire.Encoder
	machines map[int64]*decision.Machine // by instance; nil after it has exited
	batch    simwire.Batch               // the batch that is being handled
	actions  []decision.Action           // actions of the latest event; reused to save allocations
}

// answer returns the reply to a line, which is valid until the next call.
func (h *host) answer(line []byte) ([]byte, error) {
	err := h.decoder.Decode(line, h.begin, h.handle)
	return h.encoder.End(), err
}

// begin stores a batch and begins the reply to it.
func (h *host) begin(batch simwire.Batch) {
	h.batch = batch
	h.encoder.Begin(batch.Turn)
}

// handle handles a message and adds the resulting actions to the reply.
func (h *host) handle(message *simwire.Message) error {
	switch message.Operation {
	case simwire.Boot:
		return h.boot(message)
	case simwire.Exit:
		h.machines[message.Instance] = nil
		return nil
	}
	machine, known := h.machines[message.Instance]
	if !known {
		return fmt.Errorf("dispatcher %d was never started", message.Instance)
	}
	if machine == nil {
		return nil
	}
	h.actions = machine.Handle(h.batch.Now, message.Event, h.actions[:0])
	h.encoder.Add(message.Instance, h.actions)
	return nil
}

// boot starts an instance.
func (h *host) boot(message *simwire.Message) error {
	machine, err := decision.New(message.Settings, message.Seed)
	if err != nil {
		return fmt.Errorf("dispatcher %d: %w", message.Instance, err)
	}
	h.machines[message.Instance] = machine
	return nil
}
