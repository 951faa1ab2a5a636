//go:build linux && amd64

// Package sysfault runs a program under ptrace and makes its system calls fail, fall
// short or tell another wall clock, as a seeded plan says. It owns the traced
// process and its threads. It must never trace a process that it did not start,
// nor make a call fail in a way that Linux does not document for it.
package faultinject

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Call names a group of system calls that fail alike.
type Call int

// The calls that a rule may name. Socket reads and writes pass by files; Sync and
// FileWrite are for files alone.
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
	calls
)

func (c Call) String() string {
	return [...]string{"read", "write", "accept", "socket", "connect", "epoll_wait", "setsockopt", "file write", "sync"}[c]
}

// Rule says how a call fails while it is in force.
type Rule struct {
	Call        Call
	Probability float64       // of each call; 1: all
	Error       syscall.Errno // the call is not made and fails with it; 0: it is made
	Short       int           // bytes that a read or write handles at the most; 0: all
	Peer        int           // port of the peer whose connections' reads and writes are meant; 0: all peers
	After       time.Duration // from the start of the program on
	For         time.Duration // for so long; 0: to the end
}

func (r *Rule) inForce(now time.Duration) bool {
	return now >= r.After && (r.For == 0 || now < r.After+r.For)
}

// Step moves the wall clock by an offset, which replaces the one before.
type Step struct {
	After  time.Duration
	Offset time.Duration
}

// Plan is what a traced program meets. Two runs of one plan draw alike, but which
// call a draw falls on depends on the machine.
type Plan struct {
	Seed  uint64
	Rules []Rule
	Steps []Step
}

// Process is a program that runs under a plan.
type Process struct {
	PID int

	plan    Plan
	random  *rand.Rand
	started time.Time
	threads map[int]*thread
	peers   map[string]int // ports by inode
	struck  [calls]atomic.Int64
	over    chan struct{}
	status  syscall.WaitStatus
	lost    error
}

// thread is the state of one thread between its stops.
type thread struct {
	inCall  bool
	begun   bool          // its first stop has been seen
	fail    syscall.Errno // what the call at hand returns at its exit
	clockAt uint64        // where the call at hand writes the wall clock; 0: it does not
}

const (
	withoutThreads = 0x20000000 // __WNOTHREAD: only children of the calling thread
	allChildren    = 0x40000000 // __WALL: threads too
	syscallStop    = syscall.SIGTRAP | 0x80
	ptraceOptions  = syscall.PTRACE_O_TRACESYSGOOD | syscall.PTRACE_O_TRACECLONE | syscall.PTRACE_O_TRACEEXEC | ptraceExitKill
	ptraceExitKill = 0x100000
	noCall         = ^uint64(0)
	endOfVector    = 0
	vdsoEntry      = 33 // AT_SYSINFO_EHDR
	ignoredEntry   = 1  // AT_IGNORE
	wordBytes      = 8
	realtime       = 0 // CLOCK_REALTIME
	realtimeCoarse = 5
)

// Start starts a command under a plan. Its output must be files: who reads them
// through pipes would wait for a process that is not theirs to wait for.
func Start(command *exec.Cmd, plan Plan) (*Process, error) {
	p := &Process{plan: plan, random: rand.New(rand.NewPCG(plan.Seed, 0)), threads: map[int]*thread{}, peers: map[string]int{}, over: make(chan struct{})}
	ready := make(chan error)
	go p.trace(command, ready)
	if err := <-ready; err != nil {
		return nil, err
	}
	return p, nil
}

// Struck is how many calls of a kind the plan has failed or shortened.
func (p *Process) Struck(c Call) int64 { return p.struck[c].Load() }

// Over is closed once the process has ended.
func (p *Process) Over() <-chan struct{} { return p.over }

// Status is how the process ended. It must not be called before Over is closed.
func (p *Process) Status() (syscall.WaitStatus, error) { return p.status, p.lost }

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error { return syscall.Kill(p.PID, signal) }

// trace starts the command and serves its stops, all on one thread, since ptrace
// binds a tracee to the thread that traces it.
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
	p.PID, p.started = command.Process.Pid, time.Now()
	err := p.begin()
	ready <- err
	if err != nil {
		return
	}
	p.lost = p.serve()
}

// begin takes the first stop, behind the exec.
func (p *Process) begin() error {
	var status syscall.WaitStatus
	if _, err := syscall.Wait4(p.PID, &status, withoutThreads, nil); err != nil {
		return fmt.Errorf("sysfault: %w", err)
	}
	p.threads[p.PID] = &thread{begun: true}
	if err := syscall.PtraceSetOptions(p.PID, ptraceOptions); err != nil {
		return fmt.Errorf("sysfault: %w", err)
	}
	if len(p.plan.Steps) > 0 {
		if err := p.hideVDSO(); err != nil {
			return err
		}
	}
	return syscall.PtraceSyscall(p.PID, 0)
}

// serve serves stops until the process has ended.
func (p *Process) serve() error {
	for {
		var status syscall.WaitStatus
		tid, err := syscall.Wait4(-1, &status, withoutThreads|allChildren, nil)
		if err == syscall.EINTR {
			continue
		}
		if err != nil {
			return fmt.Errorf("sysfault: %w", err)
		}
		if status.Exited() || status.Signaled() {
			delete(p.threads, tid)
			if tid == p.PID {
				p.status = status
				return nil
			}
			continue
		}
		_ = syscall.PtraceSyscall(tid, int(p.stopped(tid, status))) // it may have been killed meanwhile
	}
}

// stopped serves one stop, and returns the signal that the thread goes on with.
func (p *Process) stopped(tid int, status syscall.WaitStatus) syscall.Signal {
	t := p.threads[tid]
	if t == nil {
		t = &thread{}
		p.threads[tid] = t
	}
	signal := status.StopSignal()
	switch {
	case signal == syscallStop:
		t.begun = true
		p.crossed(tid, t)
		return 0
	case signal == syscall.SIGTRAP && status.TrapCause() == syscall.PTRACE_EVENT_EXEC:
		p.replaced()
		return 0
	case signal == syscall.SIGTRAP && status.TrapCause() > 0: // a clone
		return 0
	case signal == syscall.SIGSTOP && !t.begun: // a thread's first stop
		t.begun = true
		return 0
	}
	return signal
}

// replaced is told, inside the call, that the process has become another program.
func (p *Process) replaced() {
	p.threads = map[int]*thread{p.PID: {begun: true, inCall: true}}
	if len(p.plan.Steps) > 0 {
		_ = p.hideVDSO() // where it fails, the clock runs true
	}
}

// crossed is told that a thread enters or leaves a system call.
func (p *Process) crossed(tid int, t *thread) {
	var registers syscall.PtraceRegs
	if syscall.PtraceGetRegs(tid, &registers) != nil {
		return
	}
	if t.inCall = !t.inCall; t.inCall {
		p.enter(tid, t, &registers)
	} else {
		p.leave(tid, t, &registers)
	}
}

func (p *Process) enter(tid int, t *thread, registers *syscall.PtraceRegs) {
	t.fail, t.clockAt = 0, 0
	if registers.Orig_rax == syscall.SYS_CLOCK_GETTIME {
		if clock := registers.Rdi; clock == realtime || clock == realtimeCoarse {
			t.clockAt = registers.Rsi
		}
		return
	}
	rule := p.draw(registers)
	if rule == nil {
		return
	}
	p.struck[rule.Call].Add(1)
	if rule.Error != 0 {
		t.fail = rule.Error
		registers.Orig_rax = noCall
	} else {
		registers.Rdx = min(registers.Rdx, uint64(rule.Short))
	}
	_ = syscall.PtraceSetRegs(tid, registers)
}

func (p *Process) leave(tid int, t *thread, registers *syscall.PtraceRegs) {
	if t.fail != 0 {
		registers.Rax = uint64(-int64(t.fail))
		_ = syscall.PtraceSetRegs(tid, registers)
	}
	if offset := p.offset(); t.clockAt != 0 && offset != 0 && int64(registers.Rax) == 0 {
		p.moveClock(tid, uintptr(t.clockAt), offset)
	}
}

// draw finds the rule that strikes the call at hand.
func (p *Process) draw(registers *syscall.PtraceRegs) *Rule {
	now := time.Since(p.started)
	for i := range p.plan.Rules {
		rule := &p.plan.Rules[i]
		if !rule.inForce(now) || !p.matches(rule, registers) || p.random.Float64() >= rule.Probability {
			continue
		}
		if rule.Error == 0 && registers.Rdx <= uint64(rule.Short) {
			return nil // it is as short already
		}
		return rule
	}
	return nil
}

func (p *Process) matches(rule *Rule, registers *syscall.PtraceRegs) bool {
	switch rule.Call {
	case SocketRead:
		return registers.Orig_rax == syscall.SYS_READ && p.isConnection(registers.Rdi, rule.Peer)
	case SocketWrite:
		return registers.Orig_rax == syscall.SYS_WRITE && p.isConnection(registers.Rdi, rule.Peer)
	case Accept:
		return registers.Orig_rax == syscall.SYS_ACCEPT4 || registers.Orig_rax == syscall.SYS_ACCEPT
	case Socket:
		return registers.Orig_rax == syscall.SYS_SOCKET && registers.Rdi == syscall.AF_INET
	case Connect:
		return registers.Orig_rax == syscall.SYS_CONNECT
	case Wait:
		return registers.Orig_rax == syscall.SYS_EPOLL_WAIT || registers.Orig_rax == syscall.SYS_EPOLL_PWAIT
	case SetOption:
		return registers.Orig_rax == syscall.SYS_SETSOCKOPT
	case FileWrite:
		return (registers.Orig_rax == syscall.SYS_WRITE || registers.Orig_rax == syscall.SYS_PWRITE64) && p.isFile(registers.Rdi)
	case Sync:
		return registers.Orig_rax == syscall.SYS_FSYNC || registers.Orig_rax == syscall.SYS_FDATASYNC
	}
	return false
}

// isConnection tells whether a descriptor is of a socket, and of one with that peer where a port is given.
func (p *Process) isConnection(fd uint64, peer int) bool {
	inode, ok := strings.CutPrefix(p.target(fd), "socket:[")
	if !ok || peer == 0 {
		return ok
	}
	return p.peerOf(inode, fd) == peer
}

// isFile tells whether a descriptor is of a file of the program's own, not of its log.
func (p *Process) isFile(fd uint64) bool {
	return fd > uint64(syscall.Stderr) && strings.HasPrefix(p.target(fd), "/") && !strings.HasPrefix(p.target(fd), "/dev/")
}

// peerOf finds the port of a socket's peer, and remembers it by the socket's inode.
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

func (p *Process) target(fd uint64) string {
	target, _ := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", p.PID, fd))
	return target
}

// offset is by how much the wall clock is off now.
func (p *Process) offset() (offset time.Duration) {
	now := time.Since(p.started)
	for _, step := range p.plan.Steps {
		if now >= step.After {
			offset = step.Offset
		}
	}
	return offset
}

// moveClock changes a struct timespec of the thread's memory.
func (p *Process) moveClock(tid int, at uintptr, offset time.Duration) {
	seconds, err := peek(tid, at)
	if err != nil {
		return
	}
	_ = poke(tid, at, seconds+uint64(int64(offset/time.Second)))
}

// hideVDSO makes the program read its clocks by system calls: the entry of its
// auxiliary vector that names the vDSO is marked as one to ignore.
func (p *Process) hideVDSO() error {
	var registers syscall.PtraceRegs
	if err := syscall.PtraceGetRegs(p.PID, &registers); err != nil {
		return fmt.Errorf("sysfault: %w", err)
	}
	at := uintptr(registers.Rsp) + wordBytes // behind the number of arguments
	for range 2 {                            // the arguments, then the environment, each ends with a null
		for {
			word, err := peek(p.PID, at)
			if err != nil {
				return err
			}
			at += wordBytes
			if word == 0 {
				break
			}
		}
	}
	for {
		kind, err := peek(p.PID, at)
		if err != nil {
			return err
		}
		switch kind {
		case endOfVector:
			return nil // there is none
		case vdsoEntry:
			return poke(p.PID, at, ignoredEntry)
		}
		at += 2 * wordBytes
	}
}
