//go:build linux && (amd64 || arm64)

package faultinject

import (
	"fmt"
	"os/exec"
	"runtime"
	"syscall"
	"time"
)

// Constants of ptrace(2) and wait(2) that package syscall does not define.
const (
	ptraceOptionExitKill = 0x100000   // PTRACE_O_EXITKILL
	waitNoThread         = 0x20000000 // __WNOTHREAD: only children of the calling thread
	waitAll              = 0x40000000 // __WALL: also children that are threads
)

const (
	// ptraceOptions includes PTRACE_O_EXITKILL, so that the kernel kills the tracee if its tracer ends.
	ptraceOptions = syscall.PTRACE_O_TRACESYSGOOD | syscall.PTRACE_O_TRACECLONE | syscall.PTRACE_O_TRACEEXEC | ptraceOptionExitKill

	// syscallStop is the signal by which PTRACE_O_TRACESYSGOOD marks a stop at a system call.
	syscallStop = syscall.SIGTRAP | 0x80
)

// thread is what the tracer remembers of a traced thread between its stops.
type thread struct {
	started       bool          // its first stop has been handled
	inCall        bool          // the thread is between the entry and the exit of a system call
	injectedError syscall.Errno // error to return from the current call; 0 leaves its result
	timespecAddr  uint64        // address to which the current call writes the wall-clock time; 0 if it reads no wall clock
}

// trace starts the command, sends the result to started, and handles
// the stops of the process until it ends. It runs on one operating-system thread,
// because only the thread that attached to a tracee may trace it.
func (p *Process) trace(command *exec.Cmd, started chan<- error) {
	runtime.LockOSThread() // never unlocked: the thread ends with the goroutine
	defer close(p.done)
	if command.SysProcAttr == nil {
		command.SysProcAttr = &syscall.SysProcAttr{}
	}
	command.SysProcAttr.Ptrace = true
	if err := command.Start(); err != nil {
		started <- err
		return
	}
	p.PID = command.Process.Pid
	p.started = time.Now()
	err := p.attach()
	started <- err
	if err != nil {
		return
	}
	p.traceErr = p.handleStops()
}

// attach handles the first stop of the process, right after the exec, sets the ptrace
// options and lets the process run.
func (p *Process) attach() error {
	var status syscall.WaitStatus
	if _, err := syscall.Wait4(p.PID, &status, waitNoThread, nil); err != nil {
		return fmt.Errorf("faultinject: waiting for the first stop: %w", err)
	}
	p.threads[p.PID] = &thread{started: true}
	if err := syscall.PtraceSetOptions(p.PID, ptraceOptions); err != nil {
		return fmt.Errorf("faultinject: setting options: %w", err)
	}
	if len(p.plan.Steps) > 0 {
		if err := p.hideVDSO(); err != nil {
			return err
		}
	}
	return syscall.PtraceSyscall(p.PID, 0)
}

// handleStops handles the stops of all threads until the process has ended.
func (p *Process) handleStops() error {
	for {
		var status syscall.WaitStatus
		tid, err := syscall.Wait4(-1, &status, waitNoThread|waitAll, nil)
		if err == syscall.EINTR {
			continue
		}
		if err != nil {
			return fmt.Errorf("faultinject: waiting for a stop: %w", err)
		}
		if status.Exited() || status.Signaled() {
			delete(p.threads, tid)
			if tid == p.PID {
				p.status = status
				return nil
			}
			continue
		}
		signal := p.handleStop(tid, status)
		_ = syscall.PtraceSyscall(tid, int(signal)) // fails if the thread was killed in the meantime
	}
}

// handleStop handles one stop and returns the signal to deliver to the thread, or 0 for none.
func (p *Process) handleStop(tid int, status syscall.WaitStatus) syscall.Signal {
	stopped := p.threads[tid]
	if stopped == nil {
		stopped = &thread{}
		p.threads[tid] = stopped
	}
	signal := status.StopSignal()
	switch {
	case signal == syscallStop:
		stopped.started = true
		p.handleSyscallStop(tid, stopped)
		return 0
	case signal == syscall.SIGTRAP && status.TrapCause() == syscall.PTRACE_EVENT_EXEC:
		p.handleExec()
		return 0
	case signal == syscall.SIGTRAP && status.TrapCause() > 0: // the thread has started another one
		return 0
	case signal == syscall.SIGSTOP && !stopped.started: // the first stop of a thread
		stopped.started = true
		return 0
	}
	return signal
}

// handleExec handles the stop inside an execve that has replaced the program. Of the
// process's threads, only one is left.
func (p *Process) handleExec() {
	p.threads = map[int]*thread{p.PID: {started: true, inCall: true}}
	if len(p.plan.Steps) > 0 {
		_ = p.hideVDSO() // if this fails, the program reads the true time
	}
}
