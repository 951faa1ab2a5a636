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
// at once, and handles one after the other. It has no callback between two batches; the barrier has a pipe instead, of
// which it makes the poller get events.
type pollerBarrier struct {
	readEnd *nbio.Conn // the end that the poller watches
	signal  int        // descriptor of the other end; a byte written to it makes readEnd readable

	mu        sync.Mutex
	cond      sync.Cond // signals that passed has changed
	requested uint64    // number of calls of await
	seen      uint64    // requests that were made before the batch of the next event
	passed    uint64    // requests that have ended: all events that the poller had got before are handled
}

// pipeEnd is an end of a pipe, in the form in which nbio takes over descriptors.
type pipeEnd struct{ *os.File }

func (pipeEnd) LocalAddr() net.Addr  { return nil }
func (pipeEnd) RemoteAddr() net.Addr { return nil }

// newPollerBarrier registers a barrier with the engine's poller, which must have been started.
func newPollerBarrier(engine *Engine) (*pollerBarrier, error) {
	var ends [2]int
	err := unix.Pipe2(ends[:], unix.O_NONBLOCK|unix.O_CLOEXEC)
	if err != nil {
		return nil, err
	}
	b := &pollerBarrier{signal: ends[1]}
	b.cond.L = &b.mu
	b.readEnd, err = nbio.NBConn(pipeEnd{os.NewFile(uintptr(ends[0]), "poller barrier")}) // duplicates the descriptor
	if err != nil {
		return nil, err
	}
	engine.setSession(b.readEnd, b)
	_, err = engine.poller.AddConn(b.readEnd)
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
		if err != syscall.EINTR { // EAGAIN: the pipe is readable already
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

// drain reads all bytes from the pipe.
func (b *pollerBarrier) drain() {
	raw, err := b.readEnd.SyscallConn()
	if err != nil {
		return
	}
	var bytes [64]byte
	_ = raw.Control(func(fd uintptr) {
		for {
			n, err := unix.Read(int(fd), bytes[:])
			if n <= 0 && err != syscall.EINTR {
				return
			}
		}
	})
}
