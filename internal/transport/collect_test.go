package transport

import (
	"bytes"
	"testing"
)

// Pieces are collected in one buffer, consumed, and detached as a message with what follows left over.
func TestCollectConsumeDetach(t *testing.T) {
	var pool Pool
	received := func(text string) *Buffer {
		buffer := pool.Get()
		buffer.Append([]byte(text))
		return buffer
	}
	var input *Buffer
	first := received("abc")
	if !pool.Collect(&input, first) || input != first {
		t.Error("the first buffer is not taken over")
	}
	if !pool.Collect(&input, received("defg")) || string(input.Bytes()) != "abcdefg" {
		t.Errorf("collected %q", input.Bytes())
	}
	if pool.Collect(&input, received(string(bytes.Repeat([]byte("x"), BufferSize)))) || string(input.Bytes()) != "abcdefg" {
		t.Errorf("what does not fit changed the buffer: %d bytes", len(input.Bytes()))
	}
	pool.Consume(&input, 2)
	message := pool.Detach(&input, 3)
	if string(message.Bytes()) != "cdefg" || string(input.Bytes()) != "fg" {
		t.Errorf("message %q, rest %q", message.Bytes(), input.Bytes())
	}
	pool.Put(message)
	pool.Consume(&input, 2)
	if input != nil {
		t.Error("an empty buffer is kept")
	}
	input = received("hi")
	message = pool.Detach(&input, 2)
	if input != nil {
		t.Error("a buffer without a rest is kept")
	}
	pool.Put(message)
	if used := pool.BytesInUse(); used != 0 {
		t.Errorf("%d bytes are still in use", used)
	}
}
