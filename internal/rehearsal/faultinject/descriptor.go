//go:build linux && (amd64 || arm64)

package faultinject

import (
	"fmt"
	"os"
	"strings"
	"syscall"

	"golang.org/x/sys/unix"
)

// isConnection reports whether a descriptor of the process is a socket and, if port
// is not 0, whether its peer has this port.
func (p *Process) isConnection(fd uint64, port int) bool {
	inode, isSocket := strings.CutPrefix(p.descriptorTarget(fd), "socket:[")
	if !isSocket || port == 0 {
		return isSocket
	}
	return p.cachedPeerPort(inode, fd) == port
}

// isFile reports whether a descriptor of the process is a file that the process has
// opened itself. Its standard streams and the files below /dev are not.
func (p *Process) isFile(fd uint64) bool {
	if fd <= uint64(syscall.Stderr) {
		return false
	}
	target := p.descriptorTarget(fd)
	return strings.HasPrefix(target, "/") && !strings.HasPrefix(target, "/dev/")
}

// descriptorTarget returns what a descriptor refers to, as /proc/PID/fd shows it, or an
// empty string if the descriptor is not open.
func (p *Process) descriptorTarget(fd uint64) string {
	target, _ := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", p.PID, fd))
	return target
}

// cachedPeerPort returns the port of a socket's peer, or 0 if the socket has no peer yet.
func (p *Process) cachedPeerPort(inode string, fd uint64) int {
	port, cached := p.peerPorts[inode]
	if cached {
		return port
	}
	port = peerPort(p.PID, int(fd))
	if port != 0 {
		p.peerPorts[inode] = port
	}
	return port
}

// peerPort returns the port of the IPv4 peer of a socket that another process has open,
// or 0 if it has none.
func peerPort(pid, fd int) int {
	process, err := unix.PidfdOpen(pid, 0)
	if err != nil {
		return 0
	}
	defer unix.Close(process)
	socket, err := unix.PidfdGetfd(process, fd, 0)
	if err != nil {
		return 0
	}
	defer unix.Close(socket)
	peer, err := unix.Getpeername(socket)
	if err != nil {
		return 0
	}
	if peer, isIPv4 := peer.(*unix.SockaddrInet4); isIPv4 {
		return peer.Port
	}
	return 0
}
