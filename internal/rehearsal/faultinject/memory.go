//go:build linux && amd64

package faultinject

import (
	"encoding/binary"
	"fmt"
	"syscall"
)

const wordBytes = 8

// peek reads a word of a stopped thread's memory.
func peek(tid int, address uintptr) (uint64, error) {
	var word [wordBytes]byte
	if _, err := syscall.PtracePeekData(tid, address, word[:]); err != nil {
		return 0, fmt.Errorf("faultinject: reading memory: %w", err)
	}
	return binary.LittleEndian.Uint64(word[:]), nil
}

// poke writes a word of a stopped thread's memory.
func poke(tid int, address uintptr, value uint64) error {
	var word [wordBytes]byte
	binary.LittleEndian.PutUint64(word[:], value)
	if _, err := syscall.PtracePokeData(tid, address, word[:]); err != nil {
		return fmt.Errorf("faultinject: writing memory: %w", err)
	}
	return nil
}
