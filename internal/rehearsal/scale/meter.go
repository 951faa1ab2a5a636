package scale

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"

	"golang.org/x/sys/unix"
)

// This file owns metering: once a second it reads from outside what each process
// has used, and what the links have carried.

// usage is what a process has used so far.
type usage struct {
	cpu      time.Duration
	resident int64 // bytes
	peak     int64
}

// readUsage asks the system about a process.
func readUsage(pid int) (u usage, err error) {
	// The processor-time clock of another process, as clock_getcpuclockid(3)
	// makes it: /proc/PID/stat tells the same in steps of 10 ms.
	const cpuClockSched = 2
	var spent unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|cpuClockSched), &spent); err != nil {
		return u, fmt.Errorf("processor time of %d: %w", pid, err)
	}
	u.cpu = time.Duration(spent.Nano())
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, err
	}
	u.resident, u.peak = statusKB(status, "VmRSS:"), statusKB(status, "VmHWM:")
	return u, nil
}

// statusKB reads a line of /proc/PID/status that counts kB, in bytes.
func statusKB(status []byte, key string) int64 {
	_, rest, ok := bytes.Cut(status, []byte("\n"+key))
	if !ok {
		return 0
	}
	fields := bytes.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.ParseInt(string(fields[0]), 10, 64)
	return kb << 10
}

// sample is one reading of everything. All counts go up from the run's start.
type sample struct {
	at    time.Time
	cpu   map[string]time.Duration // by process
	rss   map[string]int64
	peak  map[string]int64
	bytes map[string]int64 // by client of the links
	sent  map[string]int64 // bytes that a control machine has sent, by its name
	open  map[string]int64 // connections that it has
}

// meter follows processes by name. One that is started anew under its name goes
// on where the former one ended.
type meter struct {
	pids   map[string]int
	before map[string]time.Duration // processor time of former processes
	latest map[string]time.Duration // of the present one
}

func newMeter() *meter {
	return &meter{pids: map[string]int{}, before: map[string]time.Duration{}, latest: map[string]time.Duration{}}
}

// follow meters a process from now on.
func (m *meter) follow(name string, pid int) {
	m.leave(name)
	m.pids[name] = pid
}

// leave ends that. It must come before the process is ended.
func (m *meter) leave(name string) {
	if pid, ok := m.pids[name]; ok {
		if u, err := readUsage(pid); err == nil {
			m.latest[name] = u.cpu
		}
		delete(m.pids, name)
	}
	m.before[name] += m.latest[name]
	delete(m.latest, name)
}

// read reads all processes into a sample.
func (m *meter) read() sample {
	s := sample{at: time.Now(), cpu: map[string]time.Duration{}, rss: map[string]int64{}, peak: map[string]int64{}}
	for name, pid := range m.pids {
		u, err := readUsage(pid)
		if err != nil {
			continue // it has just ended
		}
		m.latest[name] = u.cpu
		s.rss[name], s.peak[name] = u.resident, u.peak
	}
	for name := range m.before {
		s.cpu[name] = m.before[name] + m.latest[name]
	}
	return s
}

// resident is the memory of all processes in a sample.
func (s *sample) resident() (sum int64) {
	for _, bytes := range s.rss {
		sum += bytes
	}
	return sum
}
