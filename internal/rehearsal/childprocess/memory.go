package childprocess

import "hollyyoke.example/hollyyoke/internal/rehearsal/processusage"

const bytesPerKiB = 1 << 10

// ResidentKiB returns the resident memory of a process in KiB, or 0 if it cannot be read, for example because the process
// has ended.
func ResidentKiB(pid int) int64 {
	memory, err := processusage.ReadMemory(pid)
	if err != nil {
		return 0
	}
	return memory.Resident / bytesPerKiB
}
