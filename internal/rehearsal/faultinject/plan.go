//go:build linux && amd64

package faultinject

import (
	"syscall"
	"time"
)

// Call is a group of system calls that fail alike.
type Call int

// The calls that a rule may name. SocketRead and SocketWrite do not apply to files;
// FileWrite and Sync apply to files only.
const (
	SocketRead Call = iota
	SocketWrite
	Accept
	Socket
	Connect
	Wait // epoll_wait
	SetOption
	FileWrite
	Sync
	callCount // the number of groups
)

var callNames = [callCount]string{
	SocketRead:  "read",
	SocketWrite: "write",
	Accept:      "accept",
	Socket:      "socket",
	Connect:     "connect",
	Wait:        "epoll_wait",
	SetOption:   "setsockopt",
	FileWrite:   "file write",
	Sync:        "sync",
}

// String returns the name of the system call that the group stands for.
func (c Call) String() string { return callNames[c] }

// Rule describes how calls of a group fail while the rule is in force.
type Rule struct {
	Call        Call
	Probability float64       // that a call is affected; 1: every call is
	Error       syscall.Errno // the call is skipped and returns this error; 0: it is made
	Short       int           // the most bytes that a read or write transfers, if Error is 0
	Peer        int           // only connections to this TCP port are affected; 0: all are
	After       time.Duration // when the rule takes effect, from the start of the program
	For         time.Duration // how long it is in force; 0: to the end
}

// inForce reports whether the rule applies when the program has run for elapsed.
func (r *Rule) inForce(elapsed time.Duration) bool {
	return elapsed >= r.After && (r.For == 0 || elapsed < r.After+r.For)
}

// Step sets the offset of the wall clock from the true time. It replaces the offset
// of the step before.
type Step struct {
	After  time.Duration // from the start of the program
	Offset time.Duration
}

// Plan lists the faults of a traced program. The seed fixes the sequence of random
// numbers, but which call each number decides on depends on the machine.
type Plan struct {
	Seed  uint64
	Rules []Rule // the first one that matches a call and is drawn applies
	Steps []Step // in the order of their times
}

// clockOffset returns the offset of the wall clock when the program has run for elapsed.
func (p *Plan) clockOffset(elapsed time.Duration) time.Duration {
	var offset time.Duration
	for _, step := range p.Steps {
		if elapsed >= step.After {
			offset = step.Offset
		}
	}
	return offset
}
