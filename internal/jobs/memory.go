package jobs

import "errors"

// entryMemory is about how much memory a job takes up beside its payload, its result and its id, in bytes: its entry, and
// its places in the indexes of the machine and of its callers.
const entryMemory = 1024

// ErrMemoryFull rejects a push while the jobs that are kept take up all the memory that is allowed for them. The producer
// may push the job again later.
var ErrMemoryFull = errors.New("the memory for durable jobs is used up")

// Memory is about how many bytes a job takes up in memory.
func (j *Job) Memory() int { return entryMemory + len(j.ID) + len(j.Payload) + len(j.Result) }

// Memory is about how many bytes all jobs take up.
func (m *Machine) Memory() int { return m.memory }

// SetMemoryLimit sets how many bytes the jobs may take up before new ones are rejected with ErrMemoryFull; 0 means no
// limit. Jobs that are already there stay, also above the limit.
func (m *Machine) SetMemoryLimit(limit int) { m.config.MemoryLimit = limit }

// exceedsMemory reports whether another job does not fit into the memory limit.
func (m *Machine) exceedsMemory(job *Job) bool {
	return m.config.MemoryLimit > 0 && m.memory+job.Memory() > m.config.MemoryLimit
}

// countMemory updates the memory that a job counts with.
func (m *Machine) countMemory(entry *jobEntry) {
	m.memory += entry.Memory() - entry.countedMemory
	entry.countedMemory = entry.Memory()
}

// dropPayload removes the payload of a job that will not run again.
func (e *jobEntry) dropPayload() {
	e.Payload = nil
	e.PayloadOnDisk = false
}

// SetPayload sets the payload of a job whose payload is in the store only.
func (m *Machine) SetPayload(id string, payload []byte) {
	entry := m.jobs[id]
	if entry == nil || !entry.PayloadOnDisk {
		return
	}
	entry.Payload = payload
	entry.PayloadOnDisk = false
	m.countMemory(entry)
}
