//go:build linux && amd64

package faultinject

import "syscall"

// noSyscall as the number of a call makes the kernel skip it.
const noSyscall = ^uint64(0)

// handleSyscallStop handles the entry or the exit of a system call; they alternate.
func (p *Process) handleSyscallStop(tid int, stopped *thread) {
	var registers syscall.PtraceRegs
	if syscall.PtraceGetRegs(tid, &registers) != nil {
		return
	}
	stopped.inCall = !stopped.inCall
	if stopped.inCall {
		p.enterSyscall(tid, stopped, &registers)
	} else {
		p.exitSyscall(tid, stopped, &registers)
	}
}

// enterSyscall applies the plan's rules to a call that a thread is about to make.
func (p *Process) enterSyscall(tid int, stopped *thread, registers *syscall.PtraceRegs) {
	stopped.injectedError = 0
	stopped.timespecAddr = 0
	if registers.Orig_rax == syscall.SYS_CLOCK_GETTIME {
		if isWallClock(registers.Rdi) {
			stopped.timespecAddr = registers.Rsi
		}
		return
	}
	rule := p.drawRule(registers)
	if rule == nil {
		return
	}
	p.injections[rule.Call].Add(1)
	if rule.Error != 0 {
		stopped.injectedError = rule.Error
		registers.Orig_rax = noSyscall
	} else {
		registers.Rdx = min(registers.Rdx, uint64(rule.Short))
	}
	_ = syscall.PtraceSetRegs(tid, registers)
}

// exitSyscall sets the result of a call that was made to fail, and shifts the wall
// clock that a call has read.
func (p *Process) exitSyscall(tid int, stopped *thread, registers *syscall.PtraceRegs) {
	if stopped.injectedError != 0 {
		registers.Rax = uint64(-int64(stopped.injectedError))
		_ = syscall.PtraceSetRegs(tid, registers)
	}
	succeeded := int64(registers.Rax) == 0
	if stopped.timespecAddr == 0 || !succeeded {
		return
	}
	offset := p.plan.clockOffset(p.elapsed())
	if offset != 0 {
		shiftTimespec(tid, uintptr(stopped.timespecAddr), offset)
	}
}

// drawRule returns the rule that applies to the current call; nil: none does.
func (p *Process) drawRule(registers *syscall.PtraceRegs) *Rule {
	elapsed := p.elapsed()
	for i := range p.plan.Rules {
		rule := &p.plan.Rules[i]
		if !rule.inForce(elapsed) || !p.matches(rule, registers) || p.random.Float64() >= rule.Probability {
			continue
		}
		if rule.Error == 0 && registers.Rdx <= uint64(rule.Short) {
			return nil // the call is as short already
		}
		return rule
	}
	return nil
}

// matches reports whether the current call belongs to the rule's group and, for
// reads and writes, whether its descriptor is one that the rule names.
func (p *Process) matches(rule *Rule, registers *syscall.PtraceRegs) bool {
	number := registers.Orig_rax
	firstArgument := registers.Rdi
	switch rule.Call {
	case SocketRead:
		return number == syscall.SYS_READ && p.isConnection(firstArgument, rule.Peer)
	case SocketWrite:
		return number == syscall.SYS_WRITE && p.isConnection(firstArgument, rule.Peer)
	case Accept:
		return number == syscall.SYS_ACCEPT4 || number == syscall.SYS_ACCEPT
	case Socket:
		return number == syscall.SYS_SOCKET && firstArgument == syscall.AF_INET
	case Connect:
		return number == syscall.SYS_CONNECT
	case Wait:
		return number == syscall.SYS_EPOLL_WAIT || number == syscall.SYS_EPOLL_PWAIT
	case SetOption:
		return number == syscall.SYS_SETSOCKOPT
	case FileWrite:
		return (number == syscall.SYS_WRITE || number == syscall.SYS_PWRITE64) && p.isFile(firstArgument)
	case Sync:
		return number == syscall.SYS_FSYNC || number == syscall.SYS_FDATASYNC
	}
	return false
}
