package faultinject

import "syscall"

// noSyscall is a system call number that makes the kernel skip the call.
const noSyscall = ^uint64(0)

// registers are the registers of a stopped thread, by their roles in a system call.
type registers struct{ values syscall.PtraceRegs }

// readRegisters reads the registers of a stopped thread.
func readRegisters(tid int) (*registers, error) {
	r := &registers{}
	err := syscall.PtraceGetRegs(tid, &r.values)
	return r, err
}

// write sets the registers of a stopped thread.
func (r *registers) write(tid int) error { return syscall.PtraceSetRegs(tid, &r.values) }

// callNumber returns the number of the current system call.
func (r *registers) callNumber() uint64 { return r.values.Orig_rax }

// firstArgument returns the first argument of the current system call.
func (r *registers) firstArgument() uint64 { return r.values.Rdi }

// secondArgument returns the second argument of the current system call.
func (r *registers) secondArgument() uint64 { return r.values.Rsi }

// thirdArgument returns the third argument of the current system call.
func (r *registers) thirdArgument() uint64 { return r.values.Rdx }

// setThirdArgument changes the third argument of a call at its entry.
func (r *registers) setThirdArgument(value uint64) { r.values.Rdx = value }

// result returns what a call has returned, at its exit.
func (r *registers) result() int64 { return int64(r.values.Rax) }

// setResult changes what a call returns, at its exit.
func (r *registers) setResult(value int64) { r.values.Rax = uint64(value) }

// stackPointer returns the stack pointer.
func (r *registers) stackPointer() uintptr { return uintptr(r.values.Rsp) }

// skipCall makes the kernel skip the call at whose entry the thread has stopped.
func (r *registers) skipCall(tid int) error {
	r.values.Orig_rax = noSyscall
	return r.write(tid)
}

// isEpollWait reports whether a system call waits for events of an epoll instance.
func isEpollWait(number uint64) bool {
	return number == syscall.SYS_EPOLL_WAIT || number == syscall.SYS_EPOLL_PWAIT
}
