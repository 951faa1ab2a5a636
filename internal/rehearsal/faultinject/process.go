//go:build linux && (amd64 || arm64)

package faultinject

import (
	"math/rand/v2"
	"os/exec"
	"sync/atomic"
	"syscall"
	"time"
)

// Process is a traced program that runs under a plan. Its methods are safe for concurrent use.
type Process struct {
	PID int // set once Start has returned

	plan       Plan
	injections [callCount]atomic.Int64 // by group, number of calls that the plan affected

	// The fields below are used only by the goroutine that runs trace.
	random    *rand.Rand
	started   time.Time
	threads   map[int]*thread // by thread ID
	peerPorts map[string]int  // port of each socket's peer, by the socket's inode

	done     chan struct{}      // closed after status and traceErr are set
	status   syscall.WaitStatus // how the process ended
	traceErr error              // error that ended tracing before the process ended
}

// Start starts command under plan. The standard output and error of command must be
// files, because only the tracer may wait for the process: with pipes, os/exec would
// have to wait for it too.
func Start(command *exec.Cmd, plan Plan) (*Process, error) {
	p := &Process{
		plan:      plan,
		random:    rand.New(rand.NewPCG(plan.Seed, 0)),
		threads:   map[int]*thread{},
		peerPorts: map[string]int{},
		done:      make(chan struct{}),
	}
	started := make(chan error)
	go p.trace(command, started)
	if err := <-started; err != nil {
		return nil, err
	}
	return p, nil
}

// Injected returns how many calls of a group the plan has made fail or transfer fewer bytes.
func (p *Process) Injected(call Call) int64 { return p.injections[call].Load() }

// Done returns a channel that is closed once the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Status returns how the process ended, or the error that ended tracing before the
// process ended. It must not be called before the channel of Done is closed.
func (p *Process) Status() (syscall.WaitStatus, error) { return p.status, p.traceErr }

// Outcome describes how the process ended, or the error that ended tracing before the process ended. It must not be
// called before the channel of Done is closed.
func (p *Process) Outcome() string {
	if p.traceErr != nil {
		return p.traceErr.Error()
	}
	if p.status.Signaled() {
		return "signal: " + p.status.Signal().String()
	}
	return "exit status"
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error { return syscall.Kill(p.PID, signal) }

// elapsed returns how long the process has run.
func (p *Process) elapsed() time.Duration { return time.Since(p.started) }
