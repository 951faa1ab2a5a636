package transport

import (
	"net"
	"testing"
	"time"
)

// Guards against a request that is taken for new though it waited in the kernel, to be accepted or read: its worker was
// told the time that had passed, too.
func TestReceivedAgoCountsFromTheKernel(t *testing.T) {
	const waited = 300 * time.Millisecond
	const resolution = 20 * time.Millisecond // of the kernel's clock for it, and the way
	engine := startEngine(t, 100)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	client.Write([]byte("waits to be accepted"))
	sentAt := time.Now()
	time.Sleep(waited)
	ago := make(chan time.Duration, 1)
	engine.Serve(listener, AcceptOptions{Limit: 10, NewHandler: func(*Conn) Handler {
		return dataFunc(func(c *Conn, b *Buffer) {
			engine.Pool.Put(b)
			ago <- c.ReceivedAgo()
		})
	}})
	got := receive(t, ago)
	if longest := time.Since(sentAt); got < waited-resolution || got > longest+resolution {
		t.Errorf("received %v ago, want %v to %v", got, waited, longest)
	}
}

// dataFunc is a Handler that calls a function with each buffer.
type dataFunc func(*Conn, *Buffer)

func (f dataFunc) OnData(c *Conn, b *Buffer) { f(c, b) }
func (f dataFunc) OnClosed(*Conn, error)     {}
