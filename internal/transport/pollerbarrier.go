package transport

import (
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// pollerBarrier waits until the poller has handled the events that it has got so far. The poller gets a batch of events
// at once, and handles one after the other. It has no callback between two batches; the barrier has a connection of its
// own instead, of which it makes the poller get events.
type pollerBarrier struct {
	engine *Engine
	socket *nbio.Conn // the end that the poller watches
	signal int        // descriptor of the other end; a byte written to it makes socket readable

	mu        sync.Mutex
	cond      sync.Cond // signals that passed has changed
	requested uint64    // number of calls of await
	seen      uint64    // requests that were made before the batch of the next event
	passed    uint64    // requests that have ended: all events that the poller had got before are handled
}

// newPollerBarrier registers a barrier with the engine's poller, which must have been started.
func newPollerBarrier(engine *Engine) (*pollerBarrier, error) {
	ends, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(ends[0]), "poller barrier")
	defer file.Close()
	conn, err := net.FileConn(file)
	if err != nil {
		return nil, err
	}
	b := &pollerBarrier{engine: engine, signal: ends[1]}
	b.cond.L = &b.mu
	b.socket, err = nbio.NBConn(conn)
	if err != nil {
		return nil, err
	}
	engine.setSession(b.socket, b)
	_, err = engine.poller.AddConn(b.socket)
	return b, err
}

// await waits until the poller has handled all events that it had got before the call. It must not be called on the
// poller's goroutine, or on the loop's, for which the poller may wait.
func (b *pollerBarrier) await() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requested++
	request := b.requested
	b.wakePoller()
	for b.passed < request {
		b.cond.Wait()
	}
}

// wakePoller makes the poller call onReadable in a later batch of events.
func (b *pollerBarrier) wakePoller() {
	for {
		_, err := unix.Write(b.signal, []byte{0})
		if err != syscall.EINTR { // EAGAIN: the socket is readable already
			return
		}
	}
}

// onReadable is called on the poller's goroutine. A request that is new at one call may have been made after the batch of
// that call was got. At the next call, which belongs to a later batch, it has passed.
func (b *pollerBarrier) onReadable() {
	b.drain() // before requested is read: the byte of a request that is not counted yet must stay
	b.mu.Lock()
	defer b.mu.Unlock()
	b.passed = b.seen
	b.seen = b.requested
	if b.seen > b.passed {
		b.wakePoller()
	}
	b.cond.Broadcast()
}

// drain reads all bytes from the socket.
func (b *pollerBarrier) drain() {
	var bytes [64]byte
	for {
		n, err := b.socket.Read(bytes[:])
		if n <= 0 && err != syscall.EINTR {
			return
		}
	}
}
