//go:build linux && amd64

package faultinject

import (
	"fmt"
	"os/exec"
	"runtime"
	"syscall"
	"time"
)

// thread is the state of a thread of the program between its stops.
type thread struct {
	inCall       bool
	started      bool          // its first stop has been handled
	failure      syscall.Errno // of the current call, at its exit; 0: none
	clockAddress uint64        // where the current call writes the wall clock; 0: it does not
}

// Constants of wait4(2) and ptrace(2) that package syscall lacks, and combinations of them.
const (
	waitOwnChildren = 0x20000000 // __WNOTHREAD: only children of the calling thread
	waitAllChildren = 0x40000000 // __WALL: threads too
	ptraceExitKill  = 0x100000   // PTRACE_O_EXITKILL
	syscallStop     = syscall.SIGTRAP | 0x80
	ptraceOptions   = syscall.PTRACE_O_TRACESYSGOOD | syscall.PTRACE_O_TRACECLONE | syscall.PTRACE_O_TRACEEXEC | ptraceExitKill
)

// trace starts the command and handles its stops, all on one thread, since ptrace binds a process
// to the thread that traces it. ready receives the error of the start.
func (p *Process) trace(command *exec.Cmd, ready chan<- error) {
	runtime.LockOSThread() // and never unlocked: the thread ends with the goroutine
	defer close(p.over)
	if command.SysProcAttr == nil {
		command.SysProcAttr = &syscall.SysProcAttr{}
	}
	command.SysProcAttr.Ptrace = true
	if err := command.Start(); err != nil {
		ready <- err
		return
	}
	p.PID = command.Process.Pid
	p.started = time.Now()
	err := p.attach()
	ready <- err
	if err != nil {
		return
	}
	p.err = p.handleStops()
}

// attach handles the first stop, after the exec.
func (p *Process) attach() error {
	var status syscall.WaitStatus
	if _, err := syscall.Wait4(p.PID, &status, waitOwnChildren, nil); err != nil {
		return fmt.Errorf("faultinject: %w", err)
	}
	p.threads[p.PID] = &thread{started: true}
	if err := syscall.PtraceSetOptions(p.PID, ptraceOptions); err != nil {
		return fmt.Errorf("faultinject: %w", err)
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
		tid, err := syscall.Wait4(-1, &status, waitOwnChildren|waitAllChildren, nil)
		if err == syscall.EINTR {
			continue
		}
		if err != nil {
			return fmt.Errorf("faultinject: %w", err)
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
		_ = syscall.PtraceSyscall(tid, int(signal)) // fails if the thread was killed meanwhile
	}
}

// handleStop handles one stop and returns the signal that the thread continues with.
func (p *Process) handleStop(tid int, status syscall.WaitStatus) syscall.Signal {
	t := p.threads[tid]
	if t == nil {
		t = &thread{}
		p.threads[tid] = t
	}
	signal := status.StopSignal()
	switch {
	case signal == syscallStop:
		t.started = true
		p.handleSyscallStop(tid, t)
		return 0
	case signal == syscall.SIGTRAP && status.TrapCause() == syscall.PTRACE_EVENT_EXEC:
		p.handleExec()
		return 0
	case signal == syscall.SIGTRAP && status.TrapCause() > 0: // a clone
		return 0
	case signal == syscall.SIGSTOP && !t.started: // the first stop of a thread
		t.started = true
		return 0
	}
	return signal
}

// handleExec handles the stop within the call that replaces the program by another one.
func (p *Process) handleExec() {
	p.threads = map[int]*thread{p.PID: {started: true, inCall: true}}
	if len(p.plan.Steps) > 0 {
		_ = p.hideVDSO() // if it fails, the clock is not stepped
	}
}

// handleSyscallStop handles a stop at the entry or the exit of a system call.
func (p *Process) handleSyscallStop(tid int, t *thread) {
	var registers syscall.PtraceRegs
	if syscall.PtraceGetRegs(tid, &registers) != nil {
		return
	}
	t.inCall = !t.inCall
	if t.inCall {
		p.enterSyscall(tid, t, &registers)
	} else {
		p.exitSyscall(tid, t, &registers)
	}
}
