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

// dueHeap is a heap of due times, the earliest first; it implements heap.Interface.
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

// scheduleDue has Tick look at a job at a time.
func (m *Machine) scheduleDue(id string, at time.Duration) { heap.Push(&m.dueQueue, dueEntry{at, id}) }

// NextDue is when Tick must be called next; false: not before another call changes the machine.
func (m *Machine) NextDue() (at time.Duration, ok bool) {
	if len(m.dueQueue) == 0 {
		return 0, false
	}
	first := m.dueQueue[0]
	entry := m.jobs[first.id]
	if entry != nil && entry.State.IsHeld() {
		return max(first.at, entry.DueAt), true // the lease has been renewed since
	}
	return first.at, true
}

// Tick acts on all that is due: scheduled jobs, retries, leases that have expired, and retentions that are over.
func (m *Machine) Tick(now time.Duration) []Effect {
	var postponed []dueEntry
	for len(m.dueQueue) > 0 && m.dueQueue[0].at <= now {
		due := heap.Pop(&m.dueQueue).(dueEntry)
		entry := m.jobs[due.id]
		switch {
		case entry == nil || entry.State == Accepted || entry.State == Ready || entry.State == InDoubt:
			// Outdated: jobs in these states wait for no time.
		case entry.DueAt > now: // renewed, or scheduled for something else
			postponed = append(postponed, dueEntry{entry.DueAt, due.id})
		case entry.State == Leased && entry.beingStored(): // it is not known yet whether the lease is stored
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
		m.setState(entry, Ready) // not stored: Recover derives it
	case Leased, Started:
		m.expireLease(now, entry)
	case Done, Dead, Discarded:
		m.deleteExpired(now, entry)
	}
}

// deleteExpired deletes a job whose retention is over, or waits until its last change is stored.
func (m *Machine) deleteExpired(now time.Duration, entry *jobEntry) {
	if entry.beingStored() {
		m.scheduleDue(entry.ID, now+m.config.LeaseDuration)
		return
	}
	m.remove(entry)
	m.emit(Effect{Kind: DeleteJob, Job: entry.Job})
}
