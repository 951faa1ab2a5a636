package childprocess

import (
	"os/exec"
	"runtime"
	"syscall"
	"time"
)

// Handle is a process that was started and may have ended. Its methods are safe for concurrent use.
type Handle interface {
	// Done returns a channel that is closed once the process has ended.
	Done() <-chan struct{}

	// Outcome describes how the process ended. It must not be called before the channel of Done is closed.
	Outcome() string

	// Signal sends a signal to the process. It fails if the process has ended.
	Signal(signal syscall.Signal) error
}

// Process is a child process that was started by Start. It implements Handle.
type Process struct {
	command *exec.Cmd
	done    chan struct{}
}

// Start starts command as a child process. The kernel kills the child if this process ends first.
func Start(command *exec.Cmd) (*Process, error) {
	if command.SysProcAttr == nil {
		command.SysProcAttr = &syscall.SysProcAttr{}
	}
	command.SysProcAttr.Pdeathsig = syscall.SIGKILL
	p := &Process{command: command, done: make(chan struct{})}
	started := make(chan error)
	go p.run(started)
	if err := <-started; err != nil {
		return nil, err
	}
	return p, nil
}

// run starts the child and waits for its end. It does so on an operating-system thread of its own, which ends when run
// returns, for two reasons. The kernel sends Pdeathsig when the thread that started the child ends, not when the process
// does. And a tracer of package faultinject that ran on the same thread would wait for the child as one of its own, so
// that the child's outcome would be lost.
func (p *Process) run(started chan<- error) {
	runtime.LockOSThread()
	err := p.command.Start()
	started <- err
	if err != nil {
		return
	}
	defer close(p.done)
	_ = p.command.Wait() // Outcome describes the end
}

// PID returns the process ID.
func (p *Process) PID() int { return p.command.Process.Pid }

// Done implements Handle.
func (p *Process) Done() <-chan struct{} { return p.done }

// Outcome implements Handle. It returns the text of the os.ProcessState.
func (p *Process) Outcome() string { return p.command.ProcessState.String() }

// Signal implements Handle.
func (p *Process) Signal(signal syscall.Signal) error { return p.command.Process.Signal(signal) }

// Stop sends signal to a process and waits for its end. If the process has not ended after timeout, Stop kills it and
// returns true.
func Stop(process Handle, signal syscall.Signal, timeout time.Duration) (killed bool) {
	_ = process.Signal(signal) // fails only if the process has ended
	select {
	case <-process.Done():
		return false
	case <-time.After(timeout):
	}
	_ = process.Signal(syscall.SIGKILL)
	<-process.Done()
	return true
}
