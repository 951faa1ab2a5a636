package transport

import "testing"

// A buffer holds exactly BufferSize bytes, and is empty when it is used again.
func TestBufferIsFullAtItsSize(t *testing.T) {
	var p Pool
	b := p.Get()
	if b.Append(make([]byte, BufferSize+1)) {
		t.Error("Append accepts more than BufferSize bytes for an empty buffer")
	}
	if !b.Append([]byte("abc")) || b.Append(make([]byte, BufferSize)) {
		t.Error("Append accepts BufferSize bytes after three others")
	}
	if !b.Append(make([]byte, BufferSize-3)) || b.Append([]byte("x")) {
		t.Error("Append does not accept exactly BufferSize bytes in all")
	}
	b.Consume(2)
	if b.Bytes()[0] != 'c' || len(b.Bytes()) != BufferSize-2 {
		t.Error("Consume does not remove the first bytes")
	}
	p.Put(nil)
	p.Put(b)
	if again := p.Get(); again != b || len(again.Bytes()) != 0 {
		t.Error("the buffer is not reused, or is not empty")
	}
}

// Free buffers return their memory to the kernel. Buffers in use occupy only the
// pages that were written to.
func TestBufferResidentMemory(t *testing.T) {
	var p Pool
	var small, large []*Buffer
	for range 40 {
		b := p.Get()
		b.Append([]byte("small"))
		small = append(small, b)
	}
	if n := p.BytesInUse(); n != 40*pageSize {
		t.Errorf("40 small buffers occupy %d bytes, want one page each", n)
	}
	for range 40 {
		b := p.Get()
		b.Fill(make([]byte, 2*BufferSize))
		large = append(large, b)
	}
	if n := p.BytesInUse(); n != 40*pageSize+40*BufferSize {
		t.Errorf("40 small and 40 large buffers occupy %d bytes, want %d", n, 40*pageSize+40*BufferSize)
	}
	for _, b := range append(small, large...) {
		p.Put(b)
	}
	resident := 0
	for _, b := range p.free {
		resident += b.resident
	}
	if n := p.BytesInUse(); n != 0 || resident > 80*minResidentBytes+maxFreeResidentBytes {
		t.Errorf("with all buffers free, %d bytes are in use, want 0, and %d are resident, want at most %d",
			n, resident, 80*minResidentBytes+maxFreeResidentBytes)
	}
	if b := p.Get(); !b.Append(make([]byte, BufferSize)) || b.Bytes()[BufferSize-1] != 0 {
		t.Error("a buffer whose memory was returned cannot be used again")
	}
}
