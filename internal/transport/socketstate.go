package transport

import (
	"encoding/binary"
	"syscall"
	"unsafe"
)

// States of a TCP socket, as returned by getsockopt(2) with TCP_INFO; see tcp_states.h
// of Linux.
const (
	tcpClosed    = 7 // TCP_CLOSE: the connection was reset or closed on both sides
	tcpCloseWait = 8 // TCP_CLOSE_WAIT: the peer has closed its side, this process has not
)

// AllRead reports whether the handler has got all bytes that have arrived: none is in
// transit or unread in the socket. Closing the connection then loses no received bytes.
func (c *Conn) AllRead() bool { return c.unread() != unreadBytes }

// Idle reports whether the connection is open and the handler has got everything that
// has arrived: neither bytes nor the end of the connection are pending. So no input that
// arrived earlier can be taken for the response to a request that is sent now.
func (c *Conn) Idle() bool { return c.unread() == unreadNothing }

// unreadInput is the next input of a connection that its handler has not got yet.
type unreadInput uint8

const (
	unreadNothing unreadInput = iota
	unreadBytes
	unreadEnd // the end of the connection, with no bytes before it
)

// unread returns the next input that the handler has not got yet, in a buffer or in
// the socket.
func (c *Conn) unread() unreadInput {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if !c.connected() {
		return unreadEnd
	}
	if c.inTransit > 0 {
		return unreadBytes
	}
	unread := unreadEnd // if the descriptor is closed already
	c.withDescriptor(func(fd int) { unread = peek(fd) })
	return unread
}

// peek returns what recv(2) would read next from a socket.
func peek(fd int) unreadInput {
	peeked, _, err := syscall.Recvfrom(fd, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case peeked > 0:
		return unreadBytes
	case err == syscall.EAGAIN:
		return unreadNothing
	}
	return unreadEnd // 0 bytes mean that the peer has closed, an error means that the connection is broken
}

// PeerClosed reports whether the peer has closed its side or the connection is broken.
// It asks the kernel, and so detects this before the poller does, even if there are
// unread bytes before the end.
func (c *Conn) PeerClosed() bool {
	if !c.connected() {
		return true
	}
	peerClosed := true // if the descriptor is closed already
	c.withDescriptor(func(fd int) {
		// The first byte of TCP_INFO is the state; GetsockoptInt reads the first four bytes.
		info, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_INFO)
		var bytes [4]byte
		binary.NativeEndian.PutUint32(bytes[:], uint32(info))
		state := bytes[0]
		peerClosed = err == nil && (state == tcpClosed || state == tcpCloseWait)
	})
	return peerClosed
}

// Unacknowledged returns the number of written bytes that the peer's kernel has not
// acknowledged. Bytes in the kernel's send queue are not counted if their number cannot
// be read; the result is 0 if the connection is closed.
func (c *Conn) Unacknowledged() int {
	if !c.connected() {
		return 0
	}
	queued := 0
	c.withDescriptor(func(fd int) { queued = sendQueueBytes(fd) })
	return queued + int(c.UnsentBytes())
}

// sendQueueBytes returns the number of bytes in a socket's send queue, or 0 on an
// error. The ioctl(2) request, SIOCOUTQ in tcp(7), has the same number as TIOCOUTQ.
func sendQueueBytes(fd int) int {
	var queued int32
	_, _, errno := syscall.Syscall(syscall.SYS_IOCTL, uintptr(fd), syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&queued)))
	if errno != 0 {
		return 0
	}
	return int(queued)
}
