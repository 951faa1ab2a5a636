//go:build linux && (amd64 || arm64)

package faultinject

import (
	"encoding/binary"
	"fmt"
	"syscall"
)

// wordBytes is the size of a machine word on amd64 and arm64.
const wordBytes = 8

// peek reads one word of a stopped thread's memory.
func peek(tid int, addr uintptr) (uint64, error) {
	var word [wordBytes]byte
	if _, err := syscall.PtracePeekData(tid, addr, word[:]); err != nil {
		return 0, fmt.Errorf("faultinject: reading memory: %w", err)
	}
	return binary.LittleEndian.Uint64(word[:]), nil
}

// poke writes one word to a stopped thread's memory.
func poke(tid int, addr uintptr, value uint64) error {
	var word [wordBytes]byte
	binary.LittleEndian.PutUint64(word[:], value)
	if _, err := syscall.PtracePokeData(tid, addr, word[:]); err != nil {
		return fmt.Errorf("faultinject: writing memory: %w", err)
	}
	return nil
}
