package httpfront

import "hollyyoke.example/hollyyoke/internal/transport"

// inputBuffer holds the bytes that a client has sent and that no request has taken yet.
type inputBuffer struct {
	pool     *transport.Pool
	first    *transport.Buffer // begins with the next request; nil: empty
	overflow *transport.Buffer // what did not fit into first; nil: nothing
}

// empty reports whether nothing of a next request has come.
func (b *inputBuffer) empty() bool { return b.first == nil }

// overflowing reports whether there are bytes that do not fit beside the next request.
func (b *inputBuffer) overflowing() bool { return b.overflow != nil }

// bytes returns what begins with the next request, without the overflow. The buffer must not be empty.
func (b *inputBuffer) bytes() []byte { return b.first.Bytes() }

// add adds received bytes and takes over their buffer. It returns false if there is no room; they are lost then.
func (b *inputBuffer) add(received *transport.Buffer) bool {
	switch {
	case b.first == nil:
		b.first = received
	case b.overflow == nil:
		b.overflow = received
		b.refill()
	default:
		b.pool.Put(received)
		return false
	}
	return true
}

// addContiguous is add for bytes that are needed in one piece with those before them: none may overflow.
func (b *inputBuffer) addContiguous(received *transport.Buffer) bool {
	return b.pool.Collect(&b.first, received)
}

// consume removes a request of a number of bytes.
func (b *inputBuffer) consume(size int) {
	b.pool.Consume(&b.first, size)
	b.refill()
}

// detach removes a request of a number of bytes, and returns the buffer in which it lies, which the caller owns.
func (b *inputBuffer) detach(size int) *transport.Buffer {
	request := b.pool.Detach(&b.first, size)
	b.refill()
	return request
}

// detachAll removes all bytes, of which none may overflow, and returns their buffer, which the caller owns.
func (b *inputBuffer) detachAll() *transport.Buffer {
	all := b.first
	b.first = nil
	return all
}

// free returns the buffers to their pool.
func (b *inputBuffer) free() {
	b.pool.Put(b.first)
	b.pool.Put(b.overflow)
	b.first = nil
	b.overflow = nil
}

// refill moves bytes from the overflow to where there is room now.
func (b *inputBuffer) refill() {
	if b.overflow == nil {
		return
	}
	if b.first == nil {
		b.first = b.overflow
		b.overflow = nil
		return
	}
	moved := b.first.Fill(b.overflow.Bytes())
	b.pool.Consume(&b.overflow, moved)
}
