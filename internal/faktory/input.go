package faktory

import "hollyyoke.example/hollyyoke/internal/transport"

// input holds what a peer has sent and what has not been processed yet.
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
	return i.pool.Collect(&i.buffer, received)
}

// take detaches the buffer, whose first used bytes are a complete message, and
// moves what follows to a new one. The caller owns the buffer that is returned.
func (i *input) take(used int) *transport.Buffer {
	return i.pool.Detach(&i.buffer, used)
}

// skip drops the first used bytes.
func (i *input) skip(used int) { i.pool.Consume(&i.buffer, used) }

// discard drops all that is held.
func (i *input) discard() {
	i.pool.Put(i.buffer)
	i.buffer = nil
}
