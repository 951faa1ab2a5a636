package transport

import (
	"encoding/binary"
	"syscall"
	"unsafe"
)

// States of a TCP socket as getsockopt(2) with TCP_INFO returns them; see
// tcp_states.h of Linux.
const (
	tcpClosed    = 7 // TCP_CLOSE: reset, or closed on both sides
	tcpCloseWait = 8 // TCP_CLOSE_WAIT: the peer has closed its side, and we have not
)

// AllRead reports whether no byte of the peer's waits for the handler, in a
// buffer or in the socket: a close now loses nothing that has arrived.
func (c *Conn) AllRead() bool { return c.unread() != unreadBytes }

// Idle reports whether the connection is open and neither bytes of the peer's
// nor its end wait for the handler: a request that is sent now cannot be answered
// by what came before it.
func (c *Conn) Idle() bool { return c.unread() == unreadNothing }

// unreadInput is what of the peer's waits for the handler next.
type unreadInput uint8

const (
	unreadNothing unreadInput = iota
	unreadBytes
	unreadEnd // the connection is at its end, and no bytes are before it
)

// unread returns what of the peer's waits for the handler, in a buffer or in the
// socket.
func (c *Conn) unread() unreadInput {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if !c.connected() {
		return unreadEnd
	}
	if c.inTransit > 0 {
		return unreadBytes
	}
	unread := unreadEnd // unless there is a descriptor to ask
	c.control(func(fd int) { unread = peek(fd) })
	return unread
}

// peek returns what recv(2) would read next.
func peek(fd int) unreadInput {
	peeked, _, err := syscall.Recvfrom(fd, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case peeked > 0:
		return unreadBytes
	case err == syscall.EAGAIN:
		return unreadNothing
	}
	return unreadEnd // 0 bytes: the peer has closed; an error: the connection has broken
}

// PeerClosed reports whether the peer has closed its side or the connection has
// broken. It asks the kernel, so that it sees this before the poller does, and
// also behind bytes that nobody has read.
func (c *Conn) PeerClosed() bool {
	if !c.connected() {
		return true
	}
	peerClosed := true // unless there is a descriptor to ask
	c.control(func(fd int) {
		// TCP_INFO begins with the state, in one byte; an int reads four of them.
		info, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_INFO)
		var bytes [4]byte
		binary.NativeEndian.PutUint32(bytes[:], uint32(info))
		state := bytes[0]
		peerClosed = err == nil && (state == tcpClosed || state == tcpCloseWait)
	})
	return peerClosed
}

// Unacknowledged returns how many of the written bytes the peer's kernel has not
// acknowledged; 0 also where the kernel does not tell.
func (c *Conn) Unacknowledged() int {
	if !c.connected() {
		return 0
	}
	queued := 0
	c.control(func(fd int) { queued = sendQueueBytes(fd) })
	return queued + int(c.UnsentBytes())
}

// sendQueueBytes returns how many bytes are in a socket's send queue: tcp(7) calls
// the request SIOCOUTQ, which is the number of TIOCOUTQ. 0 on an error.
func sendQueueBytes(fd int) int {
	var queued int32
	_, _, errno := syscall.Syscall(syscall.SYS_IOCTL, uintptr(fd), syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&queued)))
	if errno != 0 {
		return 0
	}
	return int(queued)
}
