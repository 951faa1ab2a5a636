//go:build linux && amd64

package faultinject

import (
	"fmt"
	"os/exec"
	"runtime"
	"syscall"
	"time"
)

// Constants of ptrace(2) and wait(2) that package syscall does not have.
const (
	ptraceOptionExitKill = 0x100000   // PTRACE_O_EXITKILL
	waitNoThread         = 0x20000000 // __WNOTHREAD: only children of the calling thread
	waitAll              = 0x40000000 // __WALL: children that are threads too
)

const (
	// ptraceOptions also makes the tracee die with its tracer.
	ptraceOptions = syscall.PTRACE_O_TRACESYSGOOD | syscall.PTRACE_O_TRACECLONE | syscall.PTRACE_O_TRACEEXEC | ptraceOptionExitKill

	// syscallStop is the signal of a stop at a system call under PTRACE_O_TRACESYSGOOD.
	syscallStop = syscall.SIGTRAP | 0x80
)

// thread is the state of a traced thread between its stops.
type thread struct {
	started       bool          // its first stop has been handled
	inCall        bool          // it is between the entry and the exit of a system call
	injectedError syscall.Errno // what the current call returns; 0: its own result
	timespecAddr  uint64        // where the current call writes the wall clock; 0: it does not
}

// trace starts the command, reports on started whether that succeeded, and handles
// the stops of the process until it ends. It runs on one operating-system thread,
// since ptrace binds a tracee to the thread that traces it.
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

// attach handles the first stop, which follows the exec, and sets the options.
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

// handleStops handles stops until the process has ended.
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
		_ = syscall.PtraceSyscall(tid, int(signal)) // the thread may have been killed meanwhile
	}
}

// handleStop handles one stop and returns the signal to deliver to the thread; 0: none.
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
	case signal == syscall.SIGTRAP && status.TrapCause() > 0: // a clone
		return 0
	case signal == syscall.SIGSTOP && !stopped.started: // the first stop of a thread
		stopped.started = true
		return 0
	}
	return signal
}

// handleExec handles the stop inside an execve that has replaced the program. Only
// the one thread is left.
func (p *Process) handleExec() {
	p.threads = map[int]*thread{p.PID: {started: true, inCall: true}}
	if len(p.plan.Steps) > 0 {
		_ = p.hideVDSO() // if that fails, the program sees the true clock
	}
}
