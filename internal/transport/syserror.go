package transport

import (
	"errors"
	"slices"
	"syscall"
)

// ErrNoDescriptor is returned if no descriptor is free for a connection to be dialed or
// adopted.
var ErrNoDescriptor = errors.New("no descriptor free")

// isDescriptorExhausted reports whether a system call failed because the process
// (EMFILE) or the system (ENFILE) has no descriptor left; see accept(2).
func isDescriptorExhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// localErrors are the errors of socket(2), connect(2) and ip(7) that are caused by this
// machine alone: no packet has reached the peer.
var localErrors = []error{
	syscall.EMFILE,        // socket: the process has no descriptor left
	syscall.ENFILE,        // socket: the system has no descriptor left
	syscall.ENOBUFS,       // socket: no memory for the socket
	syscall.ENOMEM,        // socket: no memory for the socket
	syscall.EAGAIN,        // connect: no entry left in the routing cache
	syscall.EADDRNOTAVAIL, // connect: all ephemeral ports are in use
	syscall.ENETUNREACH,   // connect: no route to the network
	syscall.ENETDOWN,      // connect: the interface is down
}

// IsLocalError reports whether a dial failed because of a problem of this machine, which
// says nothing about the peer and may be temporary.
func IsLocalError(err error) bool {
	if errors.Is(err, ErrNoDescriptor) {
		return true
	}
	return slices.ContainsFunc(localErrors, func(local error) bool { return errors.Is(err, local) })
}
