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

// A client that closes while its request waits is noticed, whatever it has sent behind that request: its close cannot
// be read behind bytes that nobody reads.
func TestClientLeavesBehindUnreadBytes(t *testing.T) {
	for _, bytesBehind := range []int{0, 1, 300, 3 * transport.BufferSize, moreThanSocketTakes} {
		front := startHoldingFrontEnd(t)
		conn, _ := testkit.Connect(t, front.addr, testkit.RequestWithID("leaves")+strings.Repeat("x", bytesBehind))
		front.awaitAttempt()
		conn.Close()
		front.waitForCancelled(fmt.Sprintf("the client's close behind %d bytes is noticed", bytesBehind))
	}
}

// The same where the client closes while its socket still holds a part of what it has sent.
func TestClientLeavesBehindUnsentBytes(t *testing.T) {
	front := startHoldingFrontEnd(t)
	conn, _ := testkit.Connect(t, front.addr, testkit.RequestWithID("leaves"))
	front.awaitAttempt()
	release := front.BlockLoop() // so that nothing is read and dropped
	go io.WriteString(conn, strings.Repeat("x", moreThanSocketTakes))
	const settled = 20 * time.Millisecond
	testkit.Until(t, "the kernel takes no more", func() bool {
		before := unsentBytes(t, conn)
		time.Sleep(settled)
		return before > 0 && unsentBytes(t, conn) == before
	})
	conn.Close()
	release()
	front.waitForCancelled("the client's close behind unsent bytes is noticed")
}

// moreThanSocketTakes is how many bytes a front end's socket does not take while nobody reads them.
const moreThanSocketTakes = 400 << 10

// waitForCancelled waits until the front end's only request is cancelled and its connection has ended.
func (h *holdingFrontEnd) waitForCancelled(what string) {
	h.t.Helper()
	testkit.Until(h.t, what, func() (noticed bool) {
		h.Do(func() { noticed = h.Dispatcher.Counts().Cancelled == 1 && h.ConnectionCount() == 0 })
		return noticed
	})
}

// unsentBytes returns how many bytes the other end's kernel has not acknowledged.
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
