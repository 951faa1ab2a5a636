package faktory

import "hollyyoke.example/hollyyoke/internal/transport"

// input holds what a peer has sent and nobody has processed yet.
type input struct {
	pool   *transport.Pool
	buffer *transport.Buffer // nil: empty
}

func (i *input) empty() bool { return i.buffer == nil }

// bytes returns what is held; it must not be empty.
func (i *input) bytes() []byte { return i.buffer.Bytes() }

// add appends received bytes and takes over their buffer. It returns false if
// they do not fit; they are lost then.
func (i *input) add(received *transport.Buffer) bool {
	if i.buffer == nil {
		i.buffer = received
		return true
	}
	fits := i.buffer.Append(received.Bytes())
	i.pool.Put(received)
	return fits
}

// take detaches the buffer, whose first used bytes are a complete message, and
// moves what follows to a new one. The caller owns the buffer that is returned.
func (i *input) take(used int) *transport.Buffer {
	message := i.buffer
	i.buffer = nil
	if rest := message.Bytes()[used:]; len(rest) > 0 {
		i.buffer = i.pool.Get()
		i.buffer.Append(rest)
	}
	return message
}

// skip drops the first used bytes.
func (i *input) skip(used int) {
	i.buffer.Consume(used)
	if len(i.buffer.Bytes()) == 0 {
		i.discard()
	}
}

// discard drops all that is held.
func (i *input) discard() {
	i.pool.Put(i.buffer)
	i.buffer = nil
}
