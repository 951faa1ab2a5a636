package scale

import (
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/processusage"
)

// sample holds the usage of all processes and links at one time. Processor time and bytes are totals since the start of the
// run.
type sample struct {
	takenAt       time.Time
	sharedTime    time.Duration            // takenAt by sharedNow
	cpu           map[string]time.Duration // by process
	residentBytes map[string]int64         // by process
	peakResident  map[string]int64         // by process
	clientBytes   map[string]int64         // bytes sent and received, by client of the links
	sentBytes     map[string]int64         // by control machine
	connections   map[string]int64         // open connections, by control machine
}

// meter measures the usage of processes, by name. The processor time of a restarted process is added to that of the earlier
// processes of the same name.
type meter struct {
	pids       map[string]int
	earlierCPU map[string]time.Duration // processor time of earlier processes of the same name
	latestCPU  map[string]time.Duration // processor time of the present process, as last read
}

func newMeter() *meter {
	return &meter{pids: map[string]int{}, earlierCPU: map[string]time.Duration{}, latestCPU: map[string]time.Duration{}}
}

// addProcess starts to measure a process. An earlier process of the same name is no longer measured.
func (m *meter) addProcess(name string, pid int) {
	m.removeProcess(name)
	m.pids[name] = pid
}

// removeProcess stops measuring a process. It must be called before the process exits, because it reads the processor time
// for the last time.
func (m *meter) removeProcess(name string) {
	if pid, found := m.pids[name]; found {
		if cpu, err := processusage.CPU(pid); err == nil {
			m.latestCPU[name] = cpu
		}
		delete(m.pids, name)
	}
	m.earlierCPU[name] += m.latestCPU[name]
	delete(m.latestCPU, name)
}

// read returns a sample with the usage of all processes.
func (m *meter) read() sample {
	taken := sample{
		takenAt:       time.Now(),
		sharedTime:    sharedNow(),
		cpu:           map[string]time.Duration{},
		residentBytes: map[string]int64{},
		peakResident:  map[string]int64{},
	}
	for name, pid := range m.pids {
		cpu, cpuErr := processusage.CPU(pid)
		memory, memoryErr := processusage.ReadMemory(pid)
		if cpuErr != nil || memoryErr != nil {
			continue // the process has just exited
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

// resident returns the resident memory of all processes together, in bytes.
func (s *sample) resident() (sum int64) {
	for _, bytes := range s.residentBytes {
		sum += bytes
	}
	return sum
}
