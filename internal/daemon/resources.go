package daemon

import (
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"

	"hollyyoke.example/hollyyoke/internal/admin"
	"hollyyoke.example/hollyyoke/internal/handover"
)

const (
	bytesPerMB = 1 << 20

	// bufferShare and heapShare are the fractions of the memory limit for buffers, which
	// are outside the Go heap, and for the heap. The rest is left to the runtime.
	bufferShare = 0.3
	heapShare   = 0.6 - bufferShare

	// jobShare is the fraction of the memory limit for durable jobs, which are on the heap
	// and come on top of heapShare.
	jobShare = 0.2

	defaultBufferMemory = 64 * bytesPerMB // if memory is not limited

	defaultDescriptors = 1024    // if the system sets no limit
	maxDescriptorLimit = 1 << 20 // a system limit of this or more counts as no limit

	// adminDescriptors are reserved for the admin API: its calls and its listener.
	adminDescriptors = admin.MaxCalls + 1
)

// descriptors returns how many file descriptors all processes of the dispatcher may have
// open together: the smaller of the configured limit and the system's limit.
func (c *config) descriptors() int {
	descriptors := defaultDescriptors
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil && limit.Cur < maxDescriptorLimit {
		descriptors = int(limit.Cur)
	}
	if c.Limits.Sockets >= 1 {
		descriptors = min(descriptors, int(c.Limits.Sockets))
	}
	return descriptors
}

// connectionDescriptors returns how many of the descriptors are for connections to
// clients and workers: all but those reserved for the admin API.
func (c *config) connectionDescriptors() int {
	if c.Admin == "" {
		return c.descriptors()
	}
	return c.descriptors() - adminDescriptors
}

// hasMemoryLimit reports whether the configuration limits memory.
func (c *config) hasMemoryLimit() bool { return c.Limits.MemoryMB >= 1 }

// memory returns the memory limit in bytes for all processes of the dispatcher together.
func (c *config) memory() int64 { return int64(c.Limits.MemoryMB * bytesPerMB) }

// bufferMemory returns how many bytes buffers may take up.
func (c *config) bufferMemory() int {
	if !c.hasMemoryLimit() {
		return defaultBufferMemory
	}
	return int(c.Limits.MemoryMB * bufferShare * bytesPerMB)
}

// limitHeap sets the Go runtime's memory limit to the heap's share, and returns the memory
// that parsing the command line and the files has taken to the system.
func (c *config) limitHeap() {
	if c.hasMemoryLimit() {
		debug.SetMemoryLimit(int64(c.Limits.MemoryMB * heapShare * bytesPerMB))
	}
	debug.FreeOSMemory()
}

// useLimits limits this process to a number of descriptors and bytes of memory, while a
// peer process uses the rest.
func (p *process) useLimits(descriptors int, memory int64) {
	p.limitsInUse = handover.Limits{Descriptors: descriptors, Memory: memory}
	reserved := p.config.descriptors() - p.config.connectionDescriptors()
	p.engine.Resize(descriptors - reserved)
	if p.gate != nil {
		p.gate.SetShare(float64(descriptors) / float64(p.config.descriptors()))
	}
	if !p.config.hasMemoryLimit() {
		return
	}
	debug.SetMemoryLimit(int64(float64(memory) * p.heapShare()))
	if jobs := p.frontEnds.faktory.DurableJobs(); jobs != nil {
		jobs.SetMemoryLimit(jobMemory(memory))
	}
	buffers := int(float64(memory) * bufferShare)
	p.frontEnds.faktory.SetBufferLimit(buffers)
	if p.frontEnds.http != nil {
		p.frontEnds.http.SetMemoryLimit(buffers)
	}
}

// heapShare returns the fraction of the memory limit for the heap.
func (p *process) heapShare() float64 {
	if p.frontEnds.faktory.DurableJobs() == nil {
		return heapShare
	}
	return heapShare + jobShare
}

// jobMemory returns how many bytes of a memory limit durable jobs may take up.
func jobMemory(memory int64) int { return int(float64(memory) * jobShare) }

// useAllLimits allows this process all descriptors and memory of the dispatcher.
func (p *process) useAllLimits() { p.useLimits(p.config.descriptors(), p.config.memory()) }

// resourceUsage returns how many descriptors the process has open and how many bytes of
// its memory are resident, as /proc reports them. A value that cannot be read is 0.
func resourceUsage() (descriptors int, resident int64) {
	if list, err := os.ReadDir("/proc/self/fd"); err == nil {
		descriptors = len(list)
	}
	if text, err := os.ReadFile("/proc/self/statm"); err == nil {
		if fields := strings.Fields(string(text)); len(fields) > 1 { // size, resident, ... in pages
			pages, _ := strconv.ParseInt(fields[1], 10, 64)
			resident = pages * int64(os.Getpagesize())
		}
	}
	return descriptors, resident
}
