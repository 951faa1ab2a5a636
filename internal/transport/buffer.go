package transport

import (
	"sync"
	"sync/atomic"
	"syscall"
)

// BufferSize is the size of every buffer in bytes: a body of 64 KiB with its
// head, and the chunk lines of a chunked one.
const BufferSize = 72 << 10

const (
	pageSize             = 4 << 10  // bytes that the kernel makes resident at a time
	buffersPerMapping    = 16       // buffers that the pool maps with one mmap(2)
	minResidentBytes     = pageSize // of a free buffer that always stay resident
	maxFreeResidentBytes = 1 << 20  // beyond minResidentBytes, of all free buffers together
)

// Buffer is a byte buffer of BufferSize that belongs to a Pool. It has one owner
// at a time and no lock.
type Buffer struct {
	pool     *Pool
	array    []byte
	length   int
	resident int // bytes of array that take up memory, in complete pages
}

// Bytes returns the buffer's contents, valid until its next change.
func (b *Buffer) Bytes() []byte { return b.array[:b.length] }

// Append appends p if there is space for all of it, and reports whether it did.
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

// extend counts n bytes that were written behind the contents.
func (b *Buffer) extend(n int) {
	b.length += n
	touched := (b.length + pageSize - 1) / pageSize * pageSize
	if touched > b.resident {
		b.pool.bytesInUse.Add(int64(touched - b.resident))
		b.resident = touched
	}
}

// Consume drops the first n bytes.
func (b *Buffer) Consume(n int) { b.length = copy(b.array, b.array[n:b.length]) }

// Pool hands out buffers and takes them back; its methods may be called from
// any goroutine, and its zero value is ready for use.
//
// Buffers lie outside the Go heap. A buffer takes up the pages that were written
// to, not its size, and returns them to the kernel when it is free: most messages
// are small, and hundreds of half-read ones must not cost BufferSize each.
type Pool struct {
	mu           sync.Mutex
	free         []*Buffer
	freeResident int    // bytes beyond minResidentBytes that free buffers take up
	unused       []byte // the part of the last mapping that no buffer uses yet
	bytesInUse   atomic.Int64
}

// BytesInUse returns how many bytes of memory the buffers in use take up.
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

// mapBuffers maps memory for further buffers. It returns false where mmap(2)
// fails, with ENOMEM for example.
func (p *Pool) mapBuffers() bool {
	mapping, err := syscall.Mmap(-1, 0, buffersPerMapping*BufferSize, syscall.PROT_READ|syscall.PROT_WRITE,
		syscall.MAP_ANON|syscall.MAP_PRIVATE)
	if err != nil {
		return false
	}
	// madvise(2): the kernel makes a huge page resident as one, however little of
	// it is written to. The advice may fail; then buffers only cost more.
	_ = syscall.Madvise(mapping, syscall.MADV_NOHUGEPAGE)
	p.unused = mapping
	return true
}

// Put takes a buffer back; nil is ignored.
func (p *Pool) Put(b *Buffer) {
	if b == nil {
		return
	}
	b.length = 0
	p.bytesInUse.Add(int64(-b.resident))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trim(b)
	p.free = append(p.free, b)
}

// Collect adds received bytes to *into and takes over their buffer, which becomes *into where that is nil. It returns
// false if they do not fit; they are lost then.
func (p *Pool) Collect(into **Buffer, received *Buffer) bool {
	if *into == nil {
		*into = received
		return true
	}
	fits := (*into).Append(received.Bytes())
	p.Put(received)
	return fits
}

// Consume drops the first n bytes of *from, and puts it back and sets it to nil once it is empty.
func (p *Pool) Consume(from **Buffer, n int) {
	(*from).Consume(n)
	if len((*from).Bytes()) == 0 {
		p.Put(*from)
		*from = nil
	}
}

// Detach returns the buffer *from, whose first n bytes are a complete message, and moves what follows to a new *from,
// nil if nothing does. The caller owns the buffer that is returned.
func (p *Pool) Detach(from **Buffer, n int) *Buffer {
	message := *from
	*from = nil
	if rest := message.Bytes()[n:]; len(rest) > 0 {
		*from = p.Get()
		(*from).Append(rest)
	}
	return message
}

// trim returns the memory of a buffer that becomes free to the kernel, but for
// its first pages, where free buffers together would keep too much of it.
func (p *Pool) trim(b *Buffer) {
	excess := b.resident - minResidentBytes
	if excess <= 0 {
		return
	}
	if p.freeResident+excess <= maxFreeResidentBytes {
		p.freeResident += excess
		return
	}
	// madvise(2), MADV_DONTNEED: the pages read as zeros from now on. Where it
	// fails they stay resident, and are counted again when the buffer is used.
	if syscall.Madvise(b.array[minResidentBytes:], syscall.MADV_DONTNEED) == nil {
		b.resident = minResidentBytes
	}
}
