package transport

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxDrainTime limits how long the connections in a listener's queue are accepted
	// before it is closed, in case that more arrive all the time or the limit of open
	// connections is reached.
	maxDrainTime = 50 * time.Millisecond

	// queuedAcceptTimeout limits an accept(2) for a connection that was queued a moment
	// ago. The peer may have reset it meanwhile.
	queuedAcceptTimeout = 10 * time.Millisecond
)

// socketListener is a listener that can be drained, such as a *net.TCPListener.
type socketListener interface {
	net.Listener
	syscall.Conn
	SetDeadline(time.Time) error
}

// CloseWhenDrained accepts the connections that wait in the kernel's queue, and then
// closes the acceptor. Close would reset them, unless another process has the socket. It
// returns at once; Ended reports when the acceptor is closed. It may be called only on
// the loop's goroutine.
func (a *Acceptor) CloseWhenDrained() {
	listener, ok := a.listener.(socketListener)
	if !ok || a.draining.Swap(true) {
		a.Close()
		return
	}
	if listener.SetDeadline(time.Now()) != nil { // ends a blocked accept
		a.Close()
		return
	}
	a.engine.Loop.After(maxDrainTime, a.Close)
}

// accept accepts the next connection. While the acceptor is draining it returns
// net.ErrClosed once none is queued.
func (a *Acceptor) accept() (net.Conn, error) {
	if !a.draining.Load() {
		conn, err := a.listener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
	}
	return a.acceptQueued()
}

// acceptQueued accepts a connection of the kernel's queue. If there is none, it closes the
// acceptor and returns net.ErrClosed.
func (a *Acceptor) acceptQueued() (net.Conn, error) {
	listener := a.listener.(socketListener)
	if !hasQueuedConnection(listener) || listener.SetDeadline(time.Now().Add(queuedAcceptTimeout)) != nil {
		a.Close()
		return nil, net.ErrClosed
	}
	return listener.Accept()
}

// hasQueuedConnection reports whether a connection waits in the queue of a listener.
func hasQueuedConnection(listener syscall.Conn) bool {
	raw, err := listener.SyscallConn()
	if err != nil {
		return false
	}
	queued := false
	_ = raw.Control(func(fd uintptr) { queued = isReadable(int(fd)) })
	return queued
}

// isReadable reports whether poll(2) says that a descriptor can be read.
func isReadable(fd int) bool {
	for {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		ready, err := unix.Poll(polled, 0)
		if err != unix.EINTR {
			return ready > 0 && polled[0].Revents&unix.POLLIN != 0
		}
	}
}
