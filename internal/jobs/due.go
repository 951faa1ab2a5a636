package jobs

import (
	"container/heap"
	"time"
)

// dueEntry is a time at which a job may be due.
type dueEntry struct {
	at time.Duration
	id string
}

// dueHeap is a min-heap of due times; it implements heap.Interface.
type dueHeap []dueEntry

func (h dueHeap) Len() int { return len(h) }

func (h dueHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].id < h[j].id
}

func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *dueHeap) Push(x any) { *h = append(*h, x.(dueEntry)) }

func (h *dueHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// scheduleDue makes Tick check a job at the given time.
func (m *Machine) scheduleDue(id string, at time.Duration) { heap.Push(&m.dueQueue, dueEntry{at, id}) }

// NextDue returns the time at which Tick must be called next, or false if nothing is due until another call changes the
// machine.
func (m *Machine) NextDue() (at time.Duration, ok bool) {
	if len(m.dueQueue) == 0 {
		return 0, false
	}
	first := m.dueQueue[0]
	entry := m.jobs[first.id]
	if entry != nil && entry.State.IsHeld() {
		return max(first.at, entry.DueAt), true // the lease may have been renewed since the heap entry was made
	}
	return first.at, true
}

// Tick processes every job that is due: scheduled jobs, retries, expired leases, and jobs whose retention is over.
func (m *Machine) Tick(now time.Duration) []Effect {
	var postponed []dueEntry
	for len(m.dueQueue) > 0 && m.dueQueue[0].at <= now {
		due := heap.Pop(&m.dueQueue).(dueEntry)
		entry := m.jobs[due.id]
		switch {
		case entry == nil || entry.State == Accepted || entry.State == Ready || entry.State == InDoubt:
			// Outdated: jobs in these states have no due time.
		case entry.DueAt > now: // the lease was renewed, or the job has another due time by now
			postponed = append(postponed, dueEntry{entry.DueAt, due.id})
		case entry.State == Leased && entry.beingStored(): // the store has not confirmed or rejected the lease yet
			postponed = append(postponed, dueEntry{now + m.leaseDuration(entry), due.id})
		default:
			m.actOnDue(now, entry)
		}
	}
	for _, due := range postponed {
		m.scheduleDue(due.id, due.at)
	}
	return m.takeEffects()
}

// actOnDue acts on one job that is due.
func (m *Machine) actOnDue(now time.Duration, entry *jobEntry) {
	switch entry.State {
	case Scheduled, Waiting:
		m.setState(entry, Ready) // this change is not stored: Recover derives it
	case Leased, Started:
		m.expireLease(now, entry)
	case Done, Dead, Discarded:
		m.deleteExpired(now, entry)
	}
}

// deleteExpired deletes a job whose retention is over. While its last change is not stored it tries again later.
func (m *Machine) deleteExpired(now time.Duration, entry *jobEntry) {
	if entry.beingStored() {
		m.scheduleDue(entry.ID, now+m.config.LeaseDuration)
		return
	}
	m.remove(entry)
	m.emit(Effect{Kind: DeleteJob, Job: entry.Job})
}
