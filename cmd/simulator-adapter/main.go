// Command simulator-adapter hosts dispatchers on the simulator's wire: it reads
// batches of events on standard input and writes their actions to standard output.
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

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simulator-adapter:", err)
		os.Exit(1)
	}
}

// run answers each line of in with one line on out until in ends.
func run(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<20)
	w := bufio.NewWriterSize(out, 1<<20)
	h := host{dispatchers: map[int64]*decision.Machine{}, decoder: simwire.NewDecoder()}
	var long []byte
	for {
		line, err := r.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			long = append(long, line...)
			continue
		}
		if len(long) > 0 {
			line = append(long, line...)
			long = long[:0]
		}
		if errors.Is(err, io.EOF) && len(line) == 0 {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		reply, err := h.answer(line)
		if err != nil {
			return err
		}
		if _, err := w.Write(reply); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// host holds the instances. They share nothing but the decoder's lists.
type host struct {
	decoder     *simwire.Decoder
	encoder     simwire.Encoder
	dispatchers map[int64]*decision.Machine // nil once it has exited
	now         simwire.Batch
	actions     []decision.Action
}

func (h *host) answer(line []byte) ([]byte, error) {
	err := h.decoder.Decode(line, h.begin, h.handle)
	return h.encoder.End(), err
}

func (h *host) begin(b simwire.Batch) {
	h.now = b
	h.encoder.Begin(b.Turn)
}

func (h *host) handle(m *simwire.Message) error {
	d, known := h.dispatchers[m.Instance]
	switch m.Op {
	case simwire.Boot:
		d, err := decision.New(m.Settings, m.Seed)
		if err != nil {
			return fmt.Errorf("dispatcher %d: %w", m.Instance, err)
		}
		h.dispatchers[m.Instance] = d
	case simwire.Exit:
		h.dispatchers[m.Instance] = nil
	default:
		if !known {
			return fmt.Errorf("dispatcher %d was never started", m.Instance)
		}
		if d == nil {
			return nil
		}
		h.actions = d.Handle(h.now.Now, m.Event, h.actions[:0])
		h.encoder.Add(m.Instance, h.actions)
	}
	return nil
}
