package httpfront

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"unsafe"

	"hollyyoke.example/hollyyoke/internal/testkit"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// A client that closes while its request waits is noticed, whatever it has sent behind that request: its close cannot
// be read behind bytes that nobody reads.
func TestClientLeavesBehindUnreadBytes(t *testing.T) {
	const moreThanSocketTakes = 400 << 10
	for _, bytesBehind := range []int{0, 1, 300, 3 * transport.BufferSize, moreThanSocketTakes} {
		front := startHoldingFrontEnd(t)
		conn, _ := testkit.Connect(t, front.addr, testkit.RequestWithID("leaves")+strings.Repeat("x", bytesBehind))
		front.awaitAttempt()
		if bytesBehind == moreThanSocketTakes && unsentBytes(t, conn) == 0 {
			t.Fatal("the kernel has taken all of it, which shows nothing")
		}
		conn.Close()
		testkit.Until(t, fmt.Sprintf("the client's close behind %d bytes is noticed", bytesBehind), func() (noticed bool) {
			front.Do(func() { noticed = front.Dispatcher.Counts().Cancelled == 1 && front.ConnectionCount() == 0 })
			return noticed
		})
	}
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
