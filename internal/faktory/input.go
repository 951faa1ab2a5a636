package faktory

import "hollyyoke.example/hollyyoke/internal/transport"

// input holds the received bytes that have not been processed yet.
type input struct {
	pool   *transport.Pool
	buffer *transport.Buffer // nil if there are none
}

func (i *input) empty() bool { return i.buffer == nil }

// bytes returns the received bytes. The input must not be empty.
func (i *input) bytes() []byte { return i.buffer.Bytes() }

// add appends received bytes and takes ownership of their buffer. If they do not
// fit, it drops them and returns false.
func (i *input) add(received *transport.Buffer) bool {
	return i.pool.Collect(&i.buffer, received)
}

// take detaches the buffer, whose first used bytes are a complete message, and
// moves the bytes after them to a new buffer. The caller owns the returned buffer.
func (i *input) take(used int) *transport.Buffer {
	return i.pool.Detach(&i.buffer, used)
}

// skip drops the first used bytes.
func (i *input) skip(used int) { i.pool.Consume(&i.buffer, used) }

// discard drops all bytes.
func (i *input) discard() {
	i.pool.Put(i.buffer)
	i.buffer = nil
}
