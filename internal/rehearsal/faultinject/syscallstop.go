//go:build linux && (amd64 || arm64)

package faultinject

import "syscall"

// handleSyscallStop handles a stop at the entry or at the exit of a system call. The
// stops of a thread alternate between the two.
func (p *Process) handleSyscallStop(tid int, stopped *thread) {
	current, err := readRegisters(tid)
	if err != nil {
		return
	}
	stopped.inCall = !stopped.inCall
	if stopped.inCall {
		p.enterSyscall(tid, stopped, current)
	} else {
		p.exitSyscall(tid, stopped, current)
	}
}

// enterSyscall applies the plan's rules to a call that a thread is about to make, and
// notes where a call that reads the wall clock will write it.
func (p *Process) enterSyscall(tid int, stopped *thread, current *registers) {
	stopped.injectedError = 0
	stopped.timespecAddr = 0
	if current.callNumber() == syscall.SYS_CLOCK_GETTIME {
		if isWallClock(current.firstArgument()) {
			stopped.timespecAddr = current.secondArgument()
		}
		return
	}
	rule := p.drawRule(current)
	if rule == nil {
		return
	}
	p.injections[rule.Call].Add(1)
	if rule.Error != 0 {
		stopped.injectedError = rule.Error
		_ = current.skipCall(tid)
	} else {
		current.setThirdArgument(min(current.thirdArgument(), uint64(rule.MaxBytes)))
		_ = current.write(tid)
	}
}

// exitSyscall sets the result of a call that the plan made fail, and adds the clock
// offset to a wall-clock time that the call has read.
func (p *Process) exitSyscall(tid int, stopped *thread, current *registers) {
	if stopped.injectedError != 0 {
		current.setResult(-int64(stopped.injectedError))
		_ = current.write(tid)
	}
	succeeded := current.result() == 0
	if stopped.timespecAddr == 0 || !succeeded {
		return
	}
	offset := p.plan.clockOffset(p.elapsed())
	if offset != 0 {
		shiftTimespec(tid, uintptr(stopped.timespecAddr), offset)
	}
}

// drawRule returns the rule that applies to the current call, or nil if none does.
func (p *Process) drawRule(current *registers) *Rule {
	elapsed := p.elapsed()
	for i := range p.plan.Rules {
		rule := &p.plan.Rules[i]
		if !rule.inForce(elapsed) || !p.matches(rule, current) || p.random.Float64() >= rule.Probability {
			continue
		}
		if rule.Error == 0 && current.thirdArgument() <= uint64(rule.MaxBytes) {
			return nil // the call does not transfer more bytes than the rule allows
		}
		return rule
	}
	return nil
}

// matches reports whether the current call belongs to the rule's group and, if it reads
// or writes, whether its descriptor is one to which the rule applies.
func (p *Process) matches(rule *Rule, current *registers) bool {
	number := current.callNumber()
	firstArgument := current.firstArgument()
	switch rule.Call {
	case SocketRead:
		return number == syscall.SYS_READ && p.isConnection(firstArgument, rule.PeerPort)
	case SocketWrite:
		return number == syscall.SYS_WRITE && p.isConnection(firstArgument, rule.PeerPort)
	case Accept:
		return number == syscall.SYS_ACCEPT4 || number == syscall.SYS_ACCEPT
	case Socket:
		return number == syscall.SYS_SOCKET && firstArgument == syscall.AF_INET
	case Connect:
		return number == syscall.SYS_CONNECT
	case Wait:
		return isEpollWait(number)
	case SetOption:
		return number == syscall.SYS_SETSOCKOPT
	case FileWrite:
		return (number == syscall.SYS_WRITE || number == syscall.SYS_PWRITE64) && p.isFile(firstArgument)
	case Sync:
		return number == syscall.SYS_FSYNC || number == syscall.SYS_FDATASYNC
	}
	return false
}
