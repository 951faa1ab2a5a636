package jobs

import (
	"cmp"
	"slices"
)

// Get returns the current state of a job, or false if there is no such job.
func (m *Machine) Get(id string) (Job, bool) {
	entry := m.jobs[id]
	if entry == nil {
		return Job{}, false
	}
	return entry.Job, true
}

// IsStored reports whether the latest version of a job is stored.
func (m *Machine) IsStored(id string) bool {
	entry := m.jobs[id]
	return entry != nil && entry.storedVersion == entry.Version
}

// Ready lists the ids of jobs that may be leased, sorted.
func (m *Machine) Ready() (ids []string) {
	for id, entry := range m.jobs {
		if entry.State == Ready {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Each calls visit with every job, in the order in which they were accepted.
func (m *Machine) Each(visit func(Job)) {
	for _, entry := range m.inOrder {
		if m.jobs[entry.ID] == entry {
			visit(entry.Job)
		}
	}
}

// Page lists jobs that match, in the order in which they were accepted, starting after the sequence number after. It
// returns at most maxResults jobs and looks at no more than maxScanned. next is the sequence number to continue after,
// or 0 if there are no more jobs.
func (m *Machine) Page(after uint64, maxResults, maxScanned int, match func(Job) bool) (list []Job, next uint64) {
	compare := func(entry *jobEntry, sequence uint64) int { return cmp.Compare(entry.Sequence, sequence) }
	start, _ := slices.BinarySearchFunc(m.inOrder, after+1, compare)
	for scanned, entry := range m.inOrder[start:] {
		if scanned == maxScanned || len(list) == maxResults {
			return list, next
		}
		next = entry.Sequence
		if m.jobs[entry.ID] == entry && match(entry.Job) {
			list = append(list, entry.Job)
		}
	}
	return list, 0
}

// Counts is the number of jobs by state; states without jobs are left out.
func (m *Machine) Counts() map[State]int {
	counts := map[State]int{}
	for state, n := range m.counts {
		if n > 0 {
			counts[State(state)] = n
		}
	}
	return counts
}

// ReadyCount is the number of jobs of a class that are Ready.
func (m *Machine) ReadyCount(class string) int { return m.readyByClass[class] }

// Len is the number of jobs.
func (m *Machine) Len() int { return len(m.jobs) }
