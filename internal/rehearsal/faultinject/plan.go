//go:build linux && (amd64 || arm64)

package faultinject

import (
	"syscall"
	"time"
)

// Call identifies a group of system calls to which a rule applies.
type Call int

// The groups of calls that a rule can name. SocketRead and SocketWrite apply to sockets
// only, FileWrite and Sync to files only.
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
	callCount // number of groups
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

// String returns the name of the group.
func (c Call) String() string { return callNames[c] }

// Rule describes how the calls of one group fail while the rule is in force.
type Rule struct {
	Call        Call
	Probability float64       // probability that a matching call is affected; 1 affects every call
	Error       syscall.Errno // error that the call returns without being made; if 0, the call is made
	MaxBytes    int           // upper limit of the bytes that a read or write transfers; used if Error is 0
	PeerPort    int           // the TCP port to which the affected connections lead; 0 affects all connections
	Start       time.Duration // time from the start of the program until the rule takes effect
	Duration    time.Duration // how long the rule is in force; 0 keeps it in force until the program ends
}

// inForce reports whether the rule applies when the program has run for elapsed.
func (r *Rule) inForce(elapsed time.Duration) bool {
	return elapsed >= r.Start && (r.Duration == 0 || elapsed < r.Start+r.Duration)
}

// Step sets the offset of the program's wall clock from the true time. It replaces the
// offset of the preceding step.
type Step struct {
	Start  time.Duration // time from the start of the program until the step
	Offset time.Duration
}

// Plan lists the faults of a traced program. The seed determines the sequence of random
// numbers, but not which call each number decides on: that depends on the machine.
type Plan struct {
	Seed  uint64
	Rules []Rule // tried in order; the first one that matches a call and is drawn applies
	Steps []Step // in ascending order of After
}

// clockOffset returns the offset of the wall clock when the program has run for elapsed.
func (p *Plan) clockOffset(elapsed time.Duration) time.Duration {
	var offset time.Duration
	for _, step := range p.Steps {
		if elapsed >= step.Start {
			offset = step.Offset
		}
	}
	return offset
}
