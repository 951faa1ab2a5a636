package transport

import (
	"sync"
	"sync/atomic"
	"syscall"
)

// BufferSize is the size of every buffer in bytes. A message with a body of 64 KiB
// fits, with its head and the chunk lines of a chunked body.
const BufferSize = 72 << 10

const (
	pageSize             = 4 << 10  // unit in which the kernel makes memory resident, in bytes
	buffersPerMapping    = 16       // number of buffers that the pool maps with one call of mmap(2)
	minResidentBytes     = pageSize // bytes at the beginning of each free buffer that stay resident
	maxFreeResidentBytes = 1 << 20  // resident bytes of all free buffers together, beyond minResidentBytes each
)

// Buffer is a byte buffer of BufferSize that belongs to a Pool. It has one owner
// at a time and no lock.
type Buffer struct {
	pool     *Pool
	array    []byte
	length   int
	resident int       // bytes of array that are resident in memory, in complete pages
	arrivals []arrival // of the contents, in their order; empty if the times of arrival are not known
}

// Bytes returns the buffer's contents. The slice is valid until the buffer changes.
func (b *Buffer) Bytes() []byte { return b.array[:b.length] }

// Append appends p if there is space for all of it, and reports whether it has done so.
func (b *Buffer) Append(p []byte) bool {
	if len(p) > BufferSize-b.length {
		return false
	}
	b.Fill(p)
	return true
}

// Fill appends as much of p as there is space for, and returns how many bytes that is.
func (b *Buffer) Fill(p []byte) int {
	n := copy(b.array[b.length:], p)
	b.extend(n)
	return n
}

// extend adds n bytes, which were written to array after the contents, to the
// contents.
func (b *Buffer) extend(n int) {
	b.length += n
	touched := (b.length + pageSize - 1) / pageSize * pageSize
	if touched > b.resident {
		b.pool.bytesInUse.Add(int64(touched - b.resident))
		b.resident = touched
	}
}

// Consume removes the first n bytes.
func (b *Buffer) Consume(n int) {
	b.length = copy(b.array, b.array[n:b.length])
	b.consumeArrivals(n)
}

// FillFrom appends as much of the contents of other as there is space for, and returns how many bytes that is.
func (b *Buffer) FillFrom(other *Buffer) int {
	n := b.Fill(other.Bytes())
	b.addArrivals(other, n)
	return n
}

// Pool hands out buffers and takes them back. Its methods may be called from
// any goroutine, and its zero value is ready for use.
//
// The memory of the buffers is outside the Go heap. A buffer occupies only the pages
// that were written to, and a free buffer returns its pages to the kernel if free
// buffers occupy too much memory. Most messages are small, and hundreds of half-read
// ones must not occupy BufferSize each.
type Pool struct {
	mu           sync.Mutex
	free         []*Buffer
	freeResident int    // resident bytes of the free buffers, beyond minResidentBytes each
	unused       []byte // the part of the last mapping that has not been assigned to a buffer
	bytesInUse   atomic.Int64
}

// BytesInUse returns the number of resident bytes of the buffers in use.
func (p *Pool) BytesInUse() int { return int(p.bytesInUse.Load()) }

// Get returns an empty buffer.
func (p *Pool) Get() *Buffer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if available := len(p.free); available > 0 {
		b := p.free[available-1]
		p.free = p.free[:available-1]
		p.freeResident -= max(b.resident-minResidentBytes, 0)
		p.bytesInUse.Add(int64(b.resident))
		return b
	}
	if len(p.unused) == 0 && !p.mapBuffers() {
		return &Buffer{pool: p, array: make([]byte, BufferSize)}
	}
	b := &Buffer{pool: p, array: p.unused[:BufferSize:BufferSize]}
	p.unused = p.unused[BufferSize:]
	return b
}

// mapBuffers maps memory for more buffers. It returns false if mmap(2) fails, for
// example with ENOMEM.
func (p *Pool) mapBuffers() bool {
	mapping, err := syscall.Mmap(-1, 0, buffersPerMapping*BufferSize, syscall.PROT_READ|syscall.PROT_WRITE,
		syscall.MAP_ANON|syscall.MAP_PRIVATE)
	if err != nil {
		return false
	}
	// madvise(2): without this advice, writing to any part of a huge page would make
	// all of it resident. If the call fails, buffers only occupy more memory.
	_ = syscall.Madvise(mapping, syscall.MADV_NOHUGEPAGE)
	p.unused = mapping
	return true
}

// Put returns a buffer to the pool; nil is ignored.
func (p *Pool) Put(b *Buffer) {
	if b == nil {
		return
	}
	b.length = 0
	b.arrivals = b.arrivals[:0]
	p.bytesInUse.Add(int64(-b.resident))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trim(b)
	p.free = append(p.free, b)
}

// Collect adds received bytes to *into and takes over the ownership of their buffer. If *into is nil, the received
// buffer becomes *into. Collect returns false if the bytes do not fit; they are then lost.
func (p *Pool) Collect(into **Buffer, received *Buffer) bool {
	if *into == nil {
		*into = received
		return true
	}
	fits := len(received.Bytes()) <= BufferSize-(*into).length
	if fits {
		(*into).FillFrom(received)
	}
	p.Put(received)
	return fits
}

// Consume removes the first n bytes of *from. If the buffer is then empty, it is returned to the pool and *from is set
// to nil.
func (p *Pool) Consume(from **Buffer, n int) {
	(*from).Consume(n)
	if len((*from).Bytes()) == 0 {
		p.Put(*from)
		*from = nil
	}
}

// Detach returns the buffer *from, whose first n bytes are a complete message, and copies the bytes after the message
// to a new buffer in *from, or sets *from to nil if there are none. The caller owns the returned buffer, which still
// contains those bytes.
func (p *Pool) Detach(from **Buffer, n int) *Buffer {
	message := *from
	*from = nil
	if rest := message.Bytes()[n:]; len(rest) > 0 {
		*from = p.Get()
		(*from).Append(rest)
		(*from).arrivals = append((*from).arrivals, message.arrivals...)
		(*from).consumeArrivals(n)
	}
	return message
}

// trim returns the memory of a buffer that becomes free to the kernel, except for its
// first minResidentBytes, if the free buffers together would otherwise keep more than
// maxFreeResidentBytes resident.
func (p *Pool) trim(b *Buffer) {
	excess := b.resident - minResidentBytes
	if excess <= 0 {
		return
	}
	if p.freeResident+excess <= maxFreeResidentBytes {
		p.freeResident += excess
		return
	}
	// madvise(2), MADV_DONTNEED: the pages are released and read as zeros from now on.
	// If the call fails they stay resident, and are counted as such when the buffer is
	// used again.
	if syscall.Madvise(b.array[minResidentBytes:], syscall.MADV_DONTNEED) == nil {
		b.resident = minResidentBytes
	}
}
