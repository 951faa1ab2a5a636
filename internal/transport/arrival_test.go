package transport

import (
	"bytes"
	"testing"
	"time"
)

// Bytes keep the time of their arrival when buffers are joined, consumed and detached. If a peer sends in too many pieces,
// the later ones count as earlier, never as later.
func TestBytesKeepTheirArrival(t *testing.T) {
	var pool Pool
	piece := func(at time.Duration) *Buffer {
		b := pool.Get()
		b.Append(bytes.Repeat([]byte("x"), 10))
		b.recordArrival(10, at)
		return b
	}
	joined := piece(1)
	for at := time.Duration(2); at <= maxArrivals+2; at++ {
		pool.Collect(&joined, piece(at))
	}
	joined.Consume(15)
	if at := joined.ArrivedAt(); at != 2 {
		t.Errorf("behind the first piece: arrived at %d, want 2", at)
	}
	message := pool.Detach(&joined, 5)
	if message.ArrivedAt() != 2 || joined.ArrivedAt() != 3 {
		t.Errorf("message and rest arrived at %d and %d, want 2 and 3", message.ArrivedAt(), joined.ArrivedAt())
	}
	joined.Consume(len(joined.Bytes()) - 5)
	if at := joined.ArrivedAt(); at != maxArrivals {
		t.Errorf("the last piece arrived at %d, want %d", at, maxArrivals)
	}
	pool.Put(joined)
	if at := pool.Get().ArrivedAt(); at != 0 {
		t.Errorf("an empty buffer arrived at %d", at)
	}
}
