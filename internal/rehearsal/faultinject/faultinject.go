//go:build linux && amd64

// Package faultinject runs a program under ptrace and makes its system calls fail or handle fewer
// bytes, or steps its wall clock, by a seeded plan. It traces only processes that it has started,
// and a call fails only with an error that Linux documents for it.
package faultinject

import (
	"math/rand/v2"
	"os/exec"
	"sync/atomic"
	"syscall"
	"time"
)

// Call is a group of system calls that fail alike.
type Call int

// The calls that a rule may name. SocketRead and SocketWrite exclude files; FileWrite and Sync are
// for files only.
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
	callCount
)

// String names the calls.
func (c Call) String() string {
	return [...]string{"read", "write", "accept", "socket", "connect", "epoll_wait", "setsockopt", "file write", "sync"}[c]
}

// Rule says how a call fails while the rule is in force.
type Rule struct {
	Call        Call
	Probability float64       // of each call; 1: all
	Error       syscall.Errno // the call is not made and fails with it; 0: it is made
	Short       int           // bytes that a read or write handles at most; used if Error is 0
	Peer        int           // port of the peer whose connections' reads and writes fail; 0: all peers
	After       time.Duration // since the start of the program
	For         time.Duration // 0: to the end
}

// inForce reports whether the rule applies at a time since the start of the program.
func (r *Rule) inForce(now time.Duration) bool {
	return now >= r.After && (r.For == 0 || now < r.After+r.For)
}

// Step sets the offset of the wall clock, replacing that of the step before it.
type Step struct {
	After  time.Duration // since the start of the program
	Offset time.Duration
}

// Plan is what a traced program is subjected to. The first rule that applies to a call decides.
// Two runs of a plan draw the same numbers, but which call a draw concerns depends on the machine.
type Plan struct {
	Seed  uint64
	Rules []Rule
	Steps []Step
}

// Process is a program that runs under a plan. Its methods are safe for concurrent use.
type Process struct {
	PID int

	plan    Plan
	random  *rand.Rand
	started time.Time
	threads map[int]*thread
	peers   map[string]int // ports by the inode of the socket
	struck  [callCount]atomic.Int64
	over    chan struct{}
	status  syscall.WaitStatus
	err     error // of the tracing
}

// Start starts a command under a plan. Its standard output and error must be files: reading them
// through pipes would wait for a process that only the tracer may wait for.
func Start(command *exec.Cmd, plan Plan) (*Process, error) {
	p := &Process{
		plan:    plan,
		random:  rand.New(rand.NewPCG(plan.Seed, 0)),
		threads: map[int]*thread{},
		peers:   map[string]int{},
		over:    make(chan struct{}),
	}
	ready := make(chan error)
	go p.trace(command, ready)
	if err := <-ready; err != nil {
		return nil, err
	}
	return p, nil
}

// Struck is the number of calls of a group that the plan has made fail or shortened.
func (p *Process) Struck(c Call) int64 { return p.struck[c].Load() }

// Over is closed when the process has ended.
func (p *Process) Over() <-chan struct{} { return p.over }

// Status says how the process ended; the error is one of the tracing. It must not be called before
// Over is closed.
func (p *Process) Status() (syscall.WaitStatus, error) { return p.status, p.err }

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error { return syscall.Kill(p.PID, signal) }
