package soak

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// tcpInfo is what the kernel knows of a TCP connection.
type tcpInfo struct {
	sinceData   time.Duration // time since the latest data was received
	peerClosed  bool          // the peer has closed or reset the connection
	retransmits int           // number of segments that this end has sent again
}

// readTCPInfo returns what the kernel knows of a connection, or the zero value if the connection is closed.
func readTCPInfo(conn net.Conn) (info tcpInfo) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return tcpInfo{}
	}
	_ = raw.Control(func(fd uintptr) {
		known, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			info.sinceData = time.Duration(known.Last_data_recv) * time.Millisecond
			info.peerClosed = known.State != unix.BPF_TCP_ESTABLISHED
			info.retransmits = int(known.Total_retrans)
		}
	})
	return info
}
