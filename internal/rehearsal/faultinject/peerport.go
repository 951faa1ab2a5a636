//go:build linux && amd64

package faultinject

import "golang.org/x/sys/unix"

// peerPort returns the port of the peer of an IPv4 connection of another process; 0: there is none.
func peerPort(pid, fd int) int {
	process, err := unix.PidfdOpen(pid, 0)
	if err != nil {
		return 0
	}
	defer unix.Close(process)
	descriptor, err := unix.PidfdGetfd(process, fd, 0)
	if err != nil {
		return 0
	}
	defer unix.Close(descriptor)
	peer, err := unix.Getpeername(descriptor)
	if err != nil {
		return 0
	}
	if v4, ok := peer.(*unix.SockaddrInet4); ok {
		return v4.Port
	}
	return 0
}
