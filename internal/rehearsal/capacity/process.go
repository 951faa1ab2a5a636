package capacity

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"

	"golang.org/x/sys/unix"
)

// Process is a running process that is metered from outside, by the system's accounts.
type Process struct{ PID int }

// schedulerClock is the kernel's CPUCLOCK_SCHED, in nanoseconds over all threads.
const schedulerClock = 2

// CPU returns the processor time that the process has used so far.
func (p Process) CPU() (time.Duration, error) {
	clock := int32(^p.PID<<3 | schedulerClock) // as clock_getcpuclockid(3) makes it
	var spent unix.Timespec
	if err := unix.ClockGettime(clock, &spent); err != nil {
		return 0, fmt.Errorf("processor time of process %d: %w", p.PID, err)
	}
	return time.Duration(spent.Nano()), nil
}

// PeakResident returns the largest resident memory that the process has had, in bytes.
func (p Process) PeakResident() (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID))
	if err != nil {
		return 0, err
	}
	const key = "VmHWM:"
	for line := range bytes.Lines(text) {
		if !bytes.HasPrefix(line, []byte(key)) {
			continue
		}
		fields := bytes.Fields(line[len(key):])
		kilobytes, err := strconv.ParseFloat(string(fields[0]), 64)
		return kilobytes * 1024, err
	}
	return 0, fmt.Errorf("process %d: no peak of resident memory", p.PID)
}
