package scale

import (
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/processusage"
)

// sample is one reading of all meters. All counts rise from the start of the run.
type sample struct {
	takenAt       time.Time
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
		if cpu, err := processusage.CPU(pid); err == nil {
			m.latestCPU[name] = cpu
		}
		delete(m.pids, name)
	}
	m.earlierCPU[name] += m.latestCPU[name]
	delete(m.latestCPU, name)
}

// read reads the usage of all processes into a sample.
func (m *meter) read() sample {
	taken := sample{
		takenAt:       time.Now(),
		cpu:           map[string]time.Duration{},
		residentBytes: map[string]int64{},
		peakResident:  map[string]int64{},
	}
	for name, pid := range m.pids {
		cpu, cpuErr := processusage.CPU(pid)
		memory, memoryErr := processusage.ReadMemory(pid)
		if cpuErr != nil || memoryErr != nil {
			continue // it has just ended
		}
		m.latestCPU[name] = cpu
		taken.residentBytes[name] = memory.Resident
		taken.peakResident[name] = memory.PeakResident
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
