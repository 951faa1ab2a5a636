package httpfront

import (
	"time"

	"hollyyoke.example/hollyyoke/internal/transport"
)

// inputBuffer holds the bytes that a client has sent and that do not belong to a request that was already removed.
type inputBuffer struct {
	pool     *transport.Pool
	first    *transport.Buffer // starts with the next request; nil if no bytes are buffered
	overflow *transport.Buffer // the bytes that did not fit into first; nil if there are none
}

// empty reports whether no byte of a next request is buffered.
func (b *inputBuffer) empty() bool { return b.first == nil }

// overflowing reports whether there are bytes that do not fit into the buffer of the next request.
func (b *inputBuffer) overflowing() bool { return b.overflow != nil }

// bytes returns the buffered bytes from the start of the next request, without the overflow. The buffer must not be
// empty.
func (b *inputBuffer) bytes() []byte { return b.first.Bytes() }

// arrivedAt returns the clock time at which the kernel had received the first buffered byte, or an earlier one; 0 if that
// is not known. The buffer must not be empty.
func (b *inputBuffer) arrivedAt() time.Duration { return b.first.ArrivedAt() }

// add adds received bytes and takes ownership of their buffer. If there is no room, it drops them and returns false.
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

// addContiguous is like add, but keeps all bytes in one buffer, without overflow. It returns false if they do not fit.
func (b *inputBuffer) addContiguous(received *transport.Buffer) bool {
	return b.pool.Collect(&b.first, received)
}

// consume removes the first size bytes, which a request takes up.
func (b *inputBuffer) consume(size int) {
	b.pool.Consume(&b.first, size)
	b.refill()
}

// detach removes the first size bytes, which a request takes up, and returns the buffer that holds them. The caller
// owns the buffer.
func (b *inputBuffer) detach(size int) *transport.Buffer {
	request := b.pool.Detach(&b.first, size)
	b.refill()
	return request
}

// detachAll removes all bytes and returns their buffer, which the caller owns. There must be no overflow.
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

// refill moves bytes from the overflow into the free space of the first buffer.
func (b *inputBuffer) refill() {
	if b.overflow == nil {
		return
	}
	if b.first == nil {
		b.first = b.overflow
		b.overflow = nil
		return
	}
	moved := b.first.FillFrom(b.overflow)
	b.pool.Consume(&b.overflow, moved)
}
