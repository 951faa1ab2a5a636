package soak

import (
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/processusage"
)

// memoryInterval is the time between two readings of the dispatchers' memory.
const memoryInterval = 100 * time.Millisecond

// memoryPeak is the maximum of a dispatcher's anonymous resident memory, in bytes.
type memoryPeak struct{ bytes atomic.Int64 }

// record records a reading.
func (p *memoryPeak) record(bytes int64) {
	if bytes > p.bytes.Load() {
		p.bytes.Store(bytes)
	}
}

// violations describes the violation if the memory limit of the dispatchers was exceeded.
func (p *memoryPeak) violations(name string) []string {
	if p.bytes.Load() <= daemonMemoryMB<<20 {
		return nil
	}
	return []string{fmt.Sprintf("%s: %s had %d MB of memory, its limit is %d", ruleMemory, name, p.bytes.Load()>>20, daemonMemoryMB)}
}

// measureMemory reads the memory of the current process of each dispatcher until stop is closed.
func (r *run) measureMemory(stop <-chan struct{}) {
	measured := slices.Concat(r.daemons, r.replaced)
	for _, queue := range r.queues {
		measured = append(measured, queue.daemon)
	}
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryInterval):
		}
		for _, daemon := range measured {
			memory, err := processusage.ReadMemory(daemon.currentProcess().pid)
			if err == nil { // else the process has just ended
				daemon.memory.record(memory.Anonymous)
			}
		}
	}
}
