//go:build linux && amd64

package faultinject

import (
	"fmt"
	"syscall"
	"time"
)

// The clocks of clock_gettime(2) that tell the wall time.
const (
	clockRealtime       = 0
	clockRealtimeCoarse = 5
)

// Types of entries of the auxiliary vector, getauxval(3).
const (
	auxNull   = 0  // AT_NULL: the end
	auxIgnore = 1  // AT_IGNORE
	auxVDSO   = 33 // AT_SYSINFO_EHDR
)

// clockOffset is the offset of the wall clock at this moment.
func (p *Process) clockOffset() (offset time.Duration) {
	now := time.Since(p.started)
	for _, step := range p.plan.Steps {
		if now >= step.After {
			offset = step.Offset
		}
	}
	return offset
}

// moveClock adds whole seconds to a struct timespec in a thread's memory.
func moveClock(tid int, address uintptr, offset time.Duration) {
	seconds, err := peek(tid, address)
	if err != nil {
		return
	}
	_ = poke(tid, address, seconds+uint64(int64(offset/time.Second)))
}

// hideVDSO makes the program read its clocks through system calls: it marks the entry of the
// auxiliary vector that locates the vDSO as one to ignore. The program must be at its start.
func (p *Process) hideVDSO() error {
	var registers syscall.PtraceRegs
	if err := syscall.PtraceGetRegs(p.PID, &registers); err != nil {
		return fmt.Errorf("faultinject: %w", err)
	}
	address := uintptr(registers.Rsp) + wordBytes // behind the number of arguments
	for range 2 {                                 // the arguments and the environment
		var err error
		address, err = skipPointers(p.PID, address)
		if err != nil {
			return err
		}
	}
	for {
		kind, err := peek(p.PID, address)
		if err != nil {
			return err
		}
		switch kind {
		case auxNull:
			return nil // there is no vDSO
		case auxVDSO:
			return poke(p.PID, address, auxIgnore)
		}
		address += 2 * wordBytes
	}
}

// skipPointers returns the address behind a list of pointers that ends with a null pointer.
func skipPointers(tid int, address uintptr) (uintptr, error) {
	for {
		word, err := peek(tid, address)
		if err != nil {
			return 0, err
		}
		address += wordBytes
		if word == 0 {
			return address, nil
		}
	}
}
