package transport

import (
	"sync"
	"testing"
)

// An acceptor whose limit is fixed while another goroutine resizes the engine keeps its full limit. FixLimit used to
// write without holding the lock under which Resize reads, so that a Resize in progress could shrink the limit
// permanently.
func TestFixLimitBesideResize(t *testing.T) {
	const descriptors, limit = 200, 100
	engine := startEngine(t, descriptors)
	handler := newRecordingHandler(engine)
	for range 50 {
		acceptor, err := engine.Listen("127.0.0.1:0", AcceptOptions{NewHandler: handler.accept, Limit: limit})
		if err != nil {
			t.Fatal(err)
		}
		var running sync.WaitGroup
		running.Go(func() {
			for range 20 {
				engine.Resize(descriptors / 2)
			}
		})
		running.Go(func() { acceptor.FixLimit() })
		running.Wait()
		engine.Resize(descriptors / 2)
		if got := acceptor.group.limit; got != limit {
			t.Fatalf("the limit is %d, want the fixed %d", got, limit)
		}
		acceptor.Close()
	}
}
