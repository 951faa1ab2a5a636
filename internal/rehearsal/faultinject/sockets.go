//go:build linux && amd64

package faultinject

import (
	"golang.org/x/sys/unix"
)

// peerPort finds the port of the peer of a connection that another process has
// open; 0: there is none.
func peerPort(pid, fd int) int {
	process, err := unix.PidfdOpen(pid, 0)
	if err != nil {
		return 0
	}
	defer unix.Close(process)
	own, err := unix.PidfdGetfd(process, fd, 0)
	if err != nil {
		return 0
	}
	defer unix.Close(own)
	peer, err := unix.Getpeername(own)
	if err != nil {
		return 0
	}
	if v4, ok := peer.(*unix.SockaddrInet4); ok {
		return v4.Port
	}
	return 0
}
