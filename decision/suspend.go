package decision

import "slices"

// This file owns the suspension of workers: their carrier cannot tell for now
// whether they may still be sent to.

// suspend suspends workers, or resumes them. What is out at them goes on.
func (d *Machine) suspend(entries []Endpoint, suspended bool) {
	for _, e := range entries {
		w := d.workers[e.Name]
		if w == nil || w.suspended == suspended {
			continue
		}
		w.suspended = suspended
		if suspended {
			d.suspended++
		} else {
			d.suspended--
		}
	}
}

// allSuspended tells whether no worker that runs may be sent to.
func (d *Machine) allSuspended() bool {
	return d.suspended > 0 && !slices.ContainsFunc(d.fleet, func(w *worker) bool { return w.State == Running && !w.suspended })
}
