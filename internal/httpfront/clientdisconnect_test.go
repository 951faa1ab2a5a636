package httpfront

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"hollyyoke.example/hollyyoke/internal/testkit"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// Checks that the close of a client whose request is being served is detected, however many bytes the client has sent
// after that request. A close is not seen by reading while there are unread bytes before it.
func TestClientCloseIsDetectedAfterUnreadBytes(t *testing.T) {
	for _, trailingBytes := range []int{0, 1, 300, 3 * transport.BufferSize, moreThanSocketBuffers} {
		frontEnd := startHoldingFrontEnd(t)
		conn, _ := testkit.Connect(t, frontEnd.addr, testkit.RequestWithID("leaves")+strings.Repeat("x", trailingBytes))
		frontEnd.awaitAttempt()
		conn.Close()
		frontEnd.waitForCancelled(fmt.Sprintf("the client's close after %d bytes is detected", trailingBytes))
	}
}

// Checks that the close is also detected if the client's socket still holds a part of what the client has sent.
func TestClientCloseIsDetectedAfterUnsentBytes(t *testing.T) {
	frontEnd := startHoldingFrontEnd(t)
	conn, _ := testkit.Connect(t, frontEnd.addr, testkit.RequestWithID("leaves"))
	frontEnd.awaitAttempt()
	release := frontEnd.BlockLoop() // keeps the front end from reading and discarding the bytes
	go io.WriteString(conn, strings.Repeat("x", moreThanSocketBuffers))
	const settled = 20 * time.Millisecond
	testkit.Until(t, "the kernel takes no more", func() bool {
		before := unsentBytes(t, conn)
		time.Sleep(settled)
		return before > 0 && unsentBytes(t, conn) == before
	})
	conn.Close()
	release()
	frontEnd.waitForCancelled("the client's close after unsent bytes is detected")
}

// moreThanSocketBuffers is a number of bytes that does not fit into the socket buffers while nobody reads.
const moreThanSocketBuffers = 400 << 10

// waitForCancelled waits until the front end's only request is cancelled and its connection is closed. what describes
// the condition in the failure message.
func (h *holdingFrontEnd) waitForCancelled(what string) {
	h.t.Helper()
	testkit.Until(h.t, what, func() (noticed bool) {
		h.Do(func() { noticed = h.Dispatcher.Counts().Cancelled == 1 && h.ConnectionCount() == 0 })
		return noticed
	})
}

// unsentBytes returns how many bytes in the send queue of a connection the peer's kernel has not acknowledged.
func unsentBytes(t *testing.T, conn net.Conn) (unsent int) {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) {
		syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&unsent)))
	})
	return unsent
}
