package jobs

import (
	"cmp"
	"slices"
)

// Get returns a job as it stands; false: it is not known.
func (m *Machine) Get(id string) (Job, bool) {
	entry := m.jobs[id]
	if entry == nil {
		return Job{}, false
	}
	return entry.Job, true
}

// IsStored reports whether a job is stored as it stands.
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

// Page lists up to maxResults jobs that match, of the maxScanned jobs at most that were accepted after the sequence
// number after. next is the sequence number to continue after; 0: there are no more.
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
