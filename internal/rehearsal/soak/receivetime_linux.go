package soak

import (
	"io"
	"net"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// maxTickError is the maximum error of tcpInfo.sinceData by the kernel's counting in ticks, of 10 ms at most.
const maxTickError = 10 * time.Millisecond

// timestampReceives makes the kernel report when it received the data of a socket, or of the connections of a listener.
func timestampReceives(fd uintptr) error {
	return unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
}

// timestampedReader reads from a TCP connection and keeps when the kernel received the data that it has read last.
// timestampReceives must have been called for the connection or its listener.
type timestampedReader struct {
	conn       *net.TCPConn
	receivedAt time.Time // when the kernel received the latest data; zero if it did not report the time
}

// Read implements io.Reader.
func (r *timestampedReader) Read(p []byte) (n int, err error) {
	raw, err := r.conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	var control [128]byte
	var controlLength int
	var receiveErr error
	err = raw.Read(func(fd uintptr) (done bool) {
		n, controlLength, _, _, receiveErr = unix.Recvmsg(int(fd), p, control[:], 0)
		return receiveErr != syscall.EAGAIN && receiveErr != syscall.EINTR
	})
	switch {
	case err != nil:
		return 0, err
	case receiveErr != nil:
		return 0, receiveErr
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	r.receivedAt = receiveTime(control[:controlLength])
	return n, nil
}

// receiveTime returns the time that the control messages of recvmsg(2) report, or zero if they report none. The kernel
// reports it by the wall clock. The result has a monotonic clock reading, so that a later step of the wall clock does not
// matter.
func receiveTime(control []byte) time.Time {
	now := time.Now()
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return time.Time{}
	}
	for _, message := range messages {
		isTimestamp := message.Header.Level == unix.SOL_SOCKET && message.Header.Type == unix.SCM_TIMESTAMPNS
		if isTimestamp && len(message.Data) >= int(unsafe.Sizeof(unix.Timespec{})) {
			reported := *(*unix.Timespec)(unsafe.Pointer(&message.Data[0]))
			return now.Add(-now.Sub(time.Unix(reported.Unix())))
		}
	}
	return time.Time{}
}

// arrivalOfLatest returns when the kernel received the latest data that was read. Both times that the kernel keeps can be
// late: the receive time is that of the end of the connection if it came before the read, and tcpInfo.sinceData can count
// from a later segment. So the earlier one holds.
func (r *timestampedReader) arrivalOfLatest() time.Time {
	sinceData := readTCPInfo(r.conn).sinceData
	latest := time.Now().Add(-sinceData + maxTickError)
	if r.receivedAt.IsZero() {
		return latest.Add(-maxTickError)
	}
	if r.receivedAt.After(latest) {
		return latest
	}
	return r.receivedAt
}
