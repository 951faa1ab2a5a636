package transport

import (
	"bytes"
	"testing"
)

// Received pieces are collected in one buffer, bytes are consumed from it, and a message is detached from it so that
// the bytes after the message remain.
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
		t.Error("the first buffer does not become the input buffer")
	}
	if !pool.Collect(&input, received("defg")) || string(input.Bytes()) != "abcdefg" {
		t.Errorf("collected %q", input.Bytes())
	}
	if pool.Collect(&input, received(string(bytes.Repeat([]byte("x"), BufferSize)))) || string(input.Bytes()) != "abcdefg" {
		t.Errorf("bytes that do not fit changed the buffer, which has %d bytes", len(input.Bytes()))
	}
	pool.Consume(&input, 2)
	message := pool.Detach(&input, 3)
	if string(message.Bytes()) != "cdefg" || string(input.Bytes()) != "fg" {
		t.Errorf("message %q, rest %q", message.Bytes(), input.Bytes())
	}
	pool.Put(message)
	pool.Consume(&input, 2)
	if input != nil {
		t.Error("the empty buffer was not returned to the pool")
	}
	input = received("hi")
	message = pool.Detach(&input, 2)
	if input != nil {
		t.Error("there is an input buffer though no bytes follow the message")
	}
	pool.Put(message)
	if used := pool.BytesInUse(); used != 0 {
		t.Errorf("%d bytes are still in use", used)
	}
}
