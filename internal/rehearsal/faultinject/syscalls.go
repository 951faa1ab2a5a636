//go:build linux && amd64

package faultinject

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

// noSyscall is a number that no system call has: the kernel does nothing.
const noSyscall = ^uint64(0)

// enterSyscall applies the plan at the entry of a system call.
func (p *Process) enterSyscall(tid int, t *thread, registers *syscall.PtraceRegs) {
	t.failure = 0
	t.clockAddress = 0
	if registers.Orig_rax == syscall.SYS_CLOCK_GETTIME {
		if clock := registers.Rdi; clock == clockRealtime || clock == clockRealtimeCoarse {
			t.clockAddress = registers.Rsi
		}
		return
	}
	rule := p.drawRule(registers)
	if rule == nil {
		return
	}
	p.struck[rule.Call].Add(1)
	if rule.Error != 0 {
		t.failure = rule.Error
		registers.Orig_rax = noSyscall
	} else {
		registers.Rdx = min(registers.Rdx, uint64(rule.Short))
	}
	_ = syscall.PtraceSetRegs(tid, registers)
}

// exitSyscall sets the result of a call that fails, and steps a clock that was read.
func (p *Process) exitSyscall(tid int, t *thread, registers *syscall.PtraceRegs) {
	if t.failure != 0 {
		registers.Rax = uint64(-int64(t.failure))
		_ = syscall.PtraceSetRegs(tid, registers)
	}
	offset := p.clockOffset()
	if t.clockAddress != 0 && offset != 0 && int64(registers.Rax) == 0 {
		moveClock(tid, uintptr(t.clockAddress), offset)
	}
}

// drawRule finds the rule that applies to the current call; nil: none does.
func (p *Process) drawRule(registers *syscall.PtraceRegs) *Rule {
	now := time.Since(p.started)
	for i := range p.plan.Rules {
		rule := &p.plan.Rules[i]
		if !rule.inForce(now) || !p.matches(rule, registers) || p.random.Float64() >= rule.Probability {
			continue
		}
		if rule.Error == 0 && registers.Rdx <= uint64(rule.Short) {
			return nil // the call is short enough already
		}
		return rule
	}
	return nil
}

// matches reports whether the current call is one that the rule names.
func (p *Process) matches(rule *Rule, registers *syscall.PtraceRegs) bool {
	number := registers.Orig_rax
	switch rule.Call {
	case SocketRead:
		return number == syscall.SYS_READ && p.isConnection(registers.Rdi, rule.Peer)
	case SocketWrite:
		return number == syscall.SYS_WRITE && p.isConnection(registers.Rdi, rule.Peer)
	case Accept:
		return number == syscall.SYS_ACCEPT4 || number == syscall.SYS_ACCEPT
	case Socket:
		return number == syscall.SYS_SOCKET && registers.Rdi == syscall.AF_INET
	case Connect:
		return number == syscall.SYS_CONNECT
	case Wait:
		return number == syscall.SYS_EPOLL_WAIT || number == syscall.SYS_EPOLL_PWAIT
	case SetOption:
		return number == syscall.SYS_SETSOCKOPT
	case FileWrite:
		return (number == syscall.SYS_WRITE || number == syscall.SYS_PWRITE64) && p.isFile(registers.Rdi)
	case Sync:
		return number == syscall.SYS_FSYNC || number == syscall.SYS_FDATASYNC
	}
	return false
}

// isConnection reports whether a descriptor is a socket and, if a port is given, its peer has it.
func (p *Process) isConnection(fd uint64, peer int) bool {
	inode, ok := strings.CutPrefix(p.descriptorTarget(fd), "socket:[")
	if !ok || peer == 0 {
		return ok
	}
	return p.peerOf(inode, fd) == peer
}

// isFile reports whether a descriptor is a file other than standard output and error.
func (p *Process) isFile(fd uint64) bool {
	if fd <= uint64(syscall.Stderr) {
		return false
	}
	target := p.descriptorTarget(fd)
	return strings.HasPrefix(target, "/") && !strings.HasPrefix(target, "/dev/")
}

// peerOf finds the port of a socket's peer, which it caches by the socket's inode; 0: none.
func (p *Process) peerOf(inode string, fd uint64) int {
	if port, ok := p.peers[inode]; ok {
		return port
	}
	port := peerPort(p.PID, int(fd))
	if port != 0 {
		p.peers[inode] = port
	}
	return port
}

// descriptorTarget is what a descriptor of the program refers to, as /proc names it.
func (p *Process) descriptorTarget(fd uint64) string {
	target, _ := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", p.PID, fd))
	return target
}
