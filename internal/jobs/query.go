package jobs

import (
	"cmp"
	"slices"
)

// Get returns a job as it stands; false: it is not known.
func (m *Machine) Get(id string) (Job, bool) {
	e := m.jobs[id]
	if e == nil {
		return Job{}, false
	}
	return e.Job, true
}

// IsStored tells whether a job is stored as it stands.
func (m *Machine) IsStored(id string) bool {
	e := m.jobs[id]
	return e != nil && e.storedVersion == e.Version
}

// Ready lists the ids of jobs that may be leased, sorted.
func (m *Machine) Ready() (ids []string) {
	for id, e := range m.jobs {
		if e.State == Ready {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Each calls visit with every job, in the order in which they were accepted.
func (m *Machine) Each(visit func(Job)) {
	for _, e := range m.inOrder {
		if m.jobs[e.ID] == e {
			visit(e.Job)
		}
	}
}

// Page lists up to maxResults jobs that match, of the maxScanned jobs at most that were accepted after the sequence
// number after. next is the sequence number to continue after; 0: there are no more.
func (m *Machine) Page(after uint64, maxResults, maxScanned int, match func(Job) bool) (list []Job, next uint64) {
	compare := func(e *entry, sequence uint64) int { return cmp.Compare(e.Sequence, sequence) }
	start, _ := slices.BinarySearchFunc(m.inOrder, after+1, compare)
	for scanned, e := range m.inOrder[start:] {
		if scanned == maxScanned || len(list) == maxResults {
			return list, next
		}
		next = e.Sequence
		if m.jobs[e.ID] == e && match(e.Job) {
			list = append(list, e.Job)
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

// Len is the number of jobs.
func (m *Machine) Len() int { return len(m.jobs) }
