package decision

import "slices"

// This file owns the suspension of workers: their carrier cannot tell for now
// whether they may still be sent to.

// setSuspended suspends workers, or resumes them. What is out at them goes on.
func (m *Machine) setSuspended(entries []Endpoint, suspended bool) {
	for _, e := range entries {
		w := m.workers[e.Name]
		if w == nil || w.suspended == suspended {
			continue
		}
		w.suspended = suspended
		if suspended {
			m.suspendedCount++
		} else {
			m.suspendedCount--
		}
	}
}

// allSuspended tells whether no worker that runs may be sent to.
func (m *Machine) allSuspended() bool {
	return m.suspendedCount > 0 && !slices.ContainsFunc(m.fleet, func(w *worker) bool { return w.State == Running && !w.suspended })
}
