package faultinject

import (
	"syscall"
	"unsafe"
)

// Indexes of the general registers that a system call uses.
const (
	firstRegister  = 0 // also holds the result
	secondRegister = 1
	thirdRegister  = 2
	numberRegister = 8
)

// regsetSystemCall is the register set that holds only the system call number,
// NT_ARM_SYSTEM_CALL. A change of the general registers does not change that number.
const regsetSystemCall = 0x404

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
func (r *registers) callNumber() uint64 { return r.values.Regs[numberRegister] }

// firstArgument returns the first argument of the current system call.
func (r *registers) firstArgument() uint64 { return r.values.Regs[firstRegister] }

// secondArgument returns the second argument of the current system call.
func (r *registers) secondArgument() uint64 { return r.values.Regs[secondRegister] }

// thirdArgument returns the third argument of the current system call.
func (r *registers) thirdArgument() uint64 { return r.values.Regs[thirdRegister] }

// setThirdArgument changes the third argument of a call at its entry.
func (r *registers) setThirdArgument(value uint64) { r.values.Regs[thirdRegister] = value }

// result returns what a call has returned, at its exit.
func (r *registers) result() int64 { return int64(r.values.Regs[firstRegister]) }

// setResult changes what a call returns, at its exit.
func (r *registers) setResult(value int64) { r.values.Regs[firstRegister] = uint64(value) }

// stackPointer returns the stack pointer.
func (r *registers) stackPointer() uintptr { return uintptr(r.values.Sp) }

// skipCall makes the kernel skip the call at whose entry the thread has stopped.
func (r *registers) skipCall(tid int) error {
	noSyscall := int32(-1)
	set := syscall.Iovec{Base: (*byte)(unsafe.Pointer(&noSyscall))}
	set.SetLen(int(unsafe.Sizeof(noSyscall)))
	_, _, errno := syscall.Syscall6(syscall.SYS_PTRACE, syscall.PTRACE_SETREGSET, uintptr(tid), regsetSystemCall,
		uintptr(unsafe.Pointer(&set)), 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}

// isEpollWait reports whether a system call waits for events of an epoll instance.
func isEpollWait(number uint64) bool { return number == syscall.SYS_EPOLL_PWAIT }
