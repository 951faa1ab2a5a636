//go:build linux && (amd64 || arm64)

package faultinject

import (
	"fmt"
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

// Layout of the initial stack of a program, see execve(2).
const (
	auxEntryBytes   = 2 * wordBytes // size of an entry: a type and a value
	argumentVectors = 2             // the arguments and the environment; a null pointer ends each
)

// isWallClock reports whether a clock ID of clock_gettime denotes a wall clock.
func isWallClock(clock uint64) bool {
	return clock == clockRealtime || clock == clockRealtimeCoarse
}

// shiftTimespec adds the whole seconds of offset to the struct timespec at an address in
// the thread's memory.
func shiftTimespec(tid int, addr uintptr, offset time.Duration) {
	seconds, err := peek(tid, addr)
	if err != nil {
		return
	}
	_ = poke(tid, addr, seconds+uint64(int64(offset/time.Second)))
}

// hideVDSO makes the program read its clocks by system calls, which can be traced: it
// changes the type of the auxiliary vector's entry for the vDSO to AT_IGNORE. The process
// must be stopped right after an exec, with the stack as the kernel has built it.
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
			return nil // the vector has no entry for a vDSO
		case auxSysinfoEHDR:
			return poke(p.PID, addr, auxIgnore)
		}
		addr += auxEntryBytes
	}
}

// auxiliaryVector returns the address of the auxiliary vector. On the stack, it follows
// the number of arguments, the arguments and the environment.
func (p *Process) auxiliaryVector() (uintptr, error) {
	current, err := readRegisters(p.PID)
	if err != nil {
		return 0, fmt.Errorf("faultinject: reading registers: %w", err)
	}
	addr := current.stackPointer() + wordBytes
	for range argumentVectors {
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
