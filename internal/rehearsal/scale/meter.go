package scale

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"

	"golang.org/x/sys/unix"
)

// usage is what a process has used so far.
type usage struct {
	cpu          time.Duration
	resident     int64 // bytes
	peakResident int64
}

// readUsage reads the usage of a process from the system.
func readUsage(pid int) (used usage, err error) {
	// The processor-time clock of another process, as clock_getcpuclockid(3) computes it; /proc/PID/stat has the same
	// value with a resolution of 10 ms.
	const cpuClockSched = 2
	var cpu unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|cpuClockSched), &cpu); err != nil {
		return used, fmt.Errorf("processor time of %d: %w", pid, err)
	}
	used.cpu = time.Duration(cpu.Nano())
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return used, err
	}
	used.resident = statusBytes(status, "VmRSS:")
	used.peakResident = statusBytes(status, "VmHWM:")
	return used, nil
}

// statusBytes returns a line of /proc/PID/status that is in kB, in bytes.
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

// sample is one reading of all meters. All counts rise from the start of the run.
type sample struct {
	at            time.Time
	cpu           map[string]time.Duration // by process
	residentBytes map[string]int64
	peakResident  map[string]int64
	clientBytes   map[string]int64 // by client of the links
	sentBytes     map[string]int64 // by control machine
	connections   map[string]int64 // by control machine
}

// meter follows processes by name. The processor time of a restarted process continues that of the earlier one.
type meter struct {
	pids       map[string]int
	earlierCPU map[string]time.Duration // processor time of earlier processes
	latestCPU  map[string]time.Duration // of the present process
}

func newMeter() *meter {
	return &meter{pids: map[string]int{}, earlierCPU: map[string]time.Duration{}, latestCPU: map[string]time.Duration{}}
}

// follow meters a process from now on.
func (m *meter) follow(name string, pid int) {
	m.unfollow(name)
	m.pids[name] = pid
}

// unfollow stops metering a process. It must be called before the process ends.
func (m *meter) unfollow(name string) {
	if pid, followed := m.pids[name]; followed {
		if used, err := readUsage(pid); err == nil {
			m.latestCPU[name] = used.cpu
		}
		delete(m.pids, name)
	}
	m.earlierCPU[name] += m.latestCPU[name]
	delete(m.latestCPU, name)
}

// read reads the usage of all processes into a sample.
func (m *meter) read() sample {
	taken := sample{
		at:            time.Now(),
		cpu:           map[string]time.Duration{},
		residentBytes: map[string]int64{},
		peakResident:  map[string]int64{},
	}
	for name, pid := range m.pids {
		used, err := readUsage(pid)
		if err != nil {
			continue // it has just ended
		}
		m.latestCPU[name] = used.cpu
		taken.residentBytes[name] = used.resident
		taken.peakResident[name] = used.peakResident
	}
	for name := range m.earlierCPU {
		taken.cpu[name] = m.earlierCPU[name] + m.latestCPU[name]
	}
	return taken
}

// resident returns the memory of all processes in a sample.
func (s *sample) resident() (sum int64) {
	for _, bytes := range s.residentBytes {
		sum += bytes
	}
	return sum
}
