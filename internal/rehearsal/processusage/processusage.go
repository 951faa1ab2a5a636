// Package processusage reads from the kernel how much processor time and memory another process uses. It neither starts
// nor stops processes.
package processusage

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"

	"golang.org/x/sys/unix"
)

// cpuClockSched is the kernel's CPUCLOCK_SCHED. It selects the clock that counts the processor time of all threads of a
// process in nanoseconds.
const cpuClockSched = 2

// CPU returns the processor time that a process has used so far. It fails if there is no such process.
func CPU(pid int) (time.Duration, error) {
	// clock_getcpuclockid(3) computes the clock ID of another process in this way. /proc/PID/stat has the same time,
	// but only with a resolution of 10 ms.
	clock := int32(^pid<<3 | cpuClockSched)
	var used unix.Timespec
	if err := unix.ClockGettime(clock, &used); err != nil {
		return 0, fmt.Errorf("processor time of process %d: %w", pid, err)
	}
	return time.Duration(used.Nano()), nil
}

// Memory is the current and the peak resident memory of a process, in bytes. A value that the kernel does not report is
// 0.
type Memory struct {
	Resident     int64
	PeakResident int64 // maximum of Resident so far
	Anonymous    int64 // the part of Resident that is not of files
}

// ReadMemory returns the resident memory of a process. It fails if there is no such process.
func ReadMemory(pid int) (Memory, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return Memory{}, err
	}
	memory := Memory{
		Resident:     statusBytes(status, "VmRSS:"),
		PeakResident: statusBytes(status, "VmHWM:"),
		Anonymous:    statusBytes(status, "RssAnon:"),
	}
	return memory, nil
}

// statusBytes converts the value of a line of /proc/PID/status from kB to bytes. key is the beginning of the line with
// its colon. statusBytes returns 0 if there is no such line.
func statusBytes(status []byte, key string) int64 {
	_, rest, found := bytes.Cut(status, []byte("\n"+key))
	if !found {
		return 0
	}
	fields := bytes.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, _ := strconv.ParseInt(string(fields[0]), 10, 64)
	return kilobytes << 10
}
