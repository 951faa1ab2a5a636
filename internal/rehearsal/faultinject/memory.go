//go:build linux && amd64

package faultinject

import (
	"encoding/binary"
	"fmt"
	"syscall"
)

// peek reads a word of a stopped thread's memory.
func peek(tid int, at uintptr) (uint64, error) {
	var word [wordBytes]byte
	if _, err := syscall.PtracePeekData(tid, at, word[:]); err != nil {
		return 0, fmt.Errorf("sysfault: reading memory: %w", err)
	}
	return binary.LittleEndian.Uint64(word[:]), nil
}

// poke writes one.
func poke(tid int, at uintptr, value uint64) error {
	var word [wordBytes]byte
	binary.LittleEndian.PutUint64(word[:], value)
	if _, err := syscall.PtracePokeData(tid, at, word[:]); err != nil {
		return fmt.Errorf("sysfault: writing memory: %w", err)
	}
	return nil
}
