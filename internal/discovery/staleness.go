package discovery

import (
	"fmt"
	"time"

	"hollyyoke.example/hollyyoke/internal/freshness"
)

// Refresh evaluates how fresh the list is now, and suspends or resumes workers where that has changed.
func (r *Registry) Refresh() {
	knowledge := r.currentKnowledge()
	if r.initialEntries == nil && knowledge != freshness.Unknown {
		r.usable = true
	}
	if knowledge == r.knowledge {
		return
	}
	r.knowledge = knowledge
	lastContact := r.dispatcher.Loop.Now() - r.tracker.LastContact()
	r.dispatcher.Log(fmt.Sprintf("the endpoint list is %v, the last contact with discovery was %v ago",
		knowledge, lastContact.Round(time.Millisecond)))
	if knowledge == freshness.Unknown {
		r.suspendAll()
		return
	}
	r.resumeIf(func(worker *Worker) bool {
		return knowledge == freshness.Current || worker.evidence.Holds(&r.tracker)
	})
}

// refreshAndSchedule refreshes now and again when the list may next become stale by itself.
func (r *Registry) refreshAndSchedule() {
	r.Refresh()
	next := r.tracker.NextChange(r.dispatcher.Loop.Now())
	if next > 0 {
		r.dispatcher.Loop.Set(&r.freshnessTimer, next)
	}
}

// currentKnowledge returns what the list is good for now. A list does not become stale where membership servers are
// followed, where there is no source, and before it is published. Where health checks are off, an unconfirmed list
// counts as current, since workers cannot be asked.
func (r *Registry) currentKnowledge() freshness.Knowledge {
	if r.follower != nil || r.watch.address == "" || r.initialEntries != nil {
		return freshness.Current
	}
	knowledge := r.tracker.Knowledge(r.dispatcher.Loop.Now())
	if knowledge == freshness.Unconfirmed && !r.dispatcher.Settings.HealthChecks {
		return freshness.Current
	}
	return knowledge
}

// sourceConfirmed records that a complete line of the discovery watch has been applied.
func (r *Registry) sourceConfirmed() {
	r.tracker.Confirmed(r.dispatcher.Loop.Now())
	r.refreshAndSchedule()
	if r.knowledge == freshness.Unknown { // workers listed just now are not suspended yet
		r.suspendAll()
	}
}
