//go:build linux && amd64

package faultinject

import (
	"fmt"
	"syscall"
	"time"
)

// Clocks of clock_gettime(2) that follow the wall clock.
const (
	clockRealtime       = 0 // CLOCK_REALTIME
	clockRealtimeCoarse = 5 // CLOCK_REALTIME_COARSE
)

// Types of entries of the auxiliary vector, see getauxval(3).
const (
	auxNull        = 0  // AT_NULL: the end of the vector
	auxIgnore      = 1  // AT_IGNORE
	auxSysinfoEHDR = 33 // AT_SYSINFO_EHDR: the address of the vDSO
)

// Layout of a new program's stack, see execve(2).
const (
	auxEntryBytes   = 2 * wordBytes // a type and a value
	argumentVectors = 2             // the arguments and the environment, each ends with a null
)

// isWallClock reports whether a clock of clock_gettime follows the wall clock.
func isWallClock(clock uint64) bool {
	return clock == clockRealtime || clock == clockRealtimeCoarse
}

// shiftTimespec adds offset, which is in whole seconds, to the struct timespec at an
// address of the thread's memory.
func shiftTimespec(tid int, addr uintptr, offset time.Duration) {
	seconds, err := peek(tid, addr)
	if err != nil {
		return
	}
	_ = poke(tid, addr, seconds+uint64(int64(offset/time.Second)))
}

// hideVDSO makes the program read its clocks by system calls: it marks the entry of
// the auxiliary vector that names the vDSO as one to ignore. The process must have
// stopped right after an exec, with the stack as the kernel has built it.
func (p *Process) hideVDSO() error {
	addr, err := p.auxiliaryVector()
	if err != nil {
		return err
	}
	for {
		entryType, err := peek(p.PID, addr)
		if err != nil {
			return err
		}
		switch entryType {
		case auxNull:
			return nil // the program has no vDSO
		case auxSysinfoEHDR:
			return poke(p.PID, addr, auxIgnore)
		}
		addr += auxEntryBytes
	}
}

// auxiliaryVector returns the address of the auxiliary vector. It follows the number
// of arguments, the arguments and the environment on the stack.
func (p *Process) auxiliaryVector() (uintptr, error) {
	var registers syscall.PtraceRegs
	if err := syscall.PtraceGetRegs(p.PID, &registers); err != nil {
		return 0, fmt.Errorf("faultinject: reading registers: %w", err)
	}
	addr := uintptr(registers.Rsp) + wordBytes
	for range argumentVectors {
		var err error
		addr, err = p.skipPastNull(addr)
		if err != nil {
			return 0, err
		}
	}
	return addr, nil
}

// skipPastNull returns the address after the next word that is zero.
func (p *Process) skipPastNull(addr uintptr) (uintptr, error) {
	for {
		word, err := peek(p.PID, addr)
		if err != nil {
			return 0, err
		}
		addr += wordBytes
		if word == 0 {
			return addr, nil
		}
	}
}
