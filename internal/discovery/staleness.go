package discovery

import (
	"fmt"
	"time"

	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/freshness"
)

// listFreshness determines how far requests may be sent by the endpoint list at present. The list, whether its source is
// the discovery watch or a membership server, is
//
//   - current until shortly before freshness.NotificationBound has passed since the source last confirmed it. Requests
//     are sent to all listed workers.
//   - unconfirmed after that, in three cases: the last call, a short while ago, has failed to reach the source; workers
//     have health checks and the source has confirmed a list since the start; or the source has not answered for long
//     after the start. A request is sent only after a recent health check of the worker has passed. A worker that failed
//     a health check, or to which no connection could be established, is suspended until the source confirms the list
//     again.
//   - unknown otherwise. All workers are suspended. They are resumed when the list is current or unconfirmed again.
//
// A suspended worker stays in the list, and the dispatcher sends it nothing. currentState lists the cases in which
// the list does not become stale, and in which unconfirmed counts as current. Package freshness defines the rules in
// detail.
type listFreshness struct {
	tracker   freshness.Tracker  // when the source confirmed the list, and how calls to it have ended since
	state     freshness.State    // the result of the last Refresh, by which workers are suspended
	timer     eventloop.Deadline // fires when the state may change because time has passed
	wasUsable bool               // a published list has been current or unconfirmed at some time since the start
}

// Refresh evaluates how fresh the list is now, and suspends or resumes workers if that has changed.
func (r *Registry) Refresh() {
	state := r.currentState()
	if !r.initial.withheld() && state != freshness.Unknown {
		r.freshness.wasUsable = true
	}
	if state == r.freshness.state {
		return
	}
	r.freshness.state = state
	age := r.dispatcher.Loop.Now() - r.freshness.tracker.ConfirmedAt()
	r.dispatcher.Log(fmt.Sprintf("the endpoint list is %v, the last contact with discovery was %v ago",
		state, age.Round(time.Millisecond)))
	if state == freshness.Unknown {
		r.suspendAll()
		return
	}
	r.resumeIf(func(worker *Worker) bool {
		return state == freshness.Current || worker.evidence.Valid(&r.freshness.tracker)
	})
}

// refreshAndSchedule refreshes now, and schedules another refresh for when the list may next become stale.
func (r *Registry) refreshAndSchedule() {
	r.Refresh()
	next := r.freshness.tracker.NextChange(r.dispatcher.Loop.Now())
	if next > 0 {
		r.dispatcher.Loop.Set(&r.freshness.timer, next)
	}
}

// currentState returns how far the list can be relied on now. A list does not become stale if there is no source, or
// before it is published. If health checks are off, an unconfirmed list counts as current, since the workers cannot be
// checked.
func (r *Registry) currentState() freshness.State {
	hasSource := r.follower != nil || r.watch.address != ""
	if !hasSource || r.initial.withheld() {
		return freshness.Current
	}
	state := r.freshness.tracker.State(r.dispatcher.Loop.Now())
	if state == freshness.Unconfirmed && !r.dispatcher.Settings.HealthChecks {
		return freshness.Current
	}
	return state
}

// sourceConfirmed records that the source has confirmed the list: a complete line of the discovery watch has been
// applied, or the membership server in use has accepted a watch or sent a line of it.
func (r *Registry) sourceConfirmed() {
	r.freshness.tracker.Confirmed(r.dispatcher.Loop.Now())
	r.refreshAndSchedule()
	r.suspendNewlyListed()
}

// suspendNewlyListed suspends workers that have just been listed while the list is unknown. Refresh does not do so if
// the list was unknown before, since it acts only when the state changes.
func (r *Registry) suspendNewlyListed() {
	if r.freshness.state == freshness.Unknown {
		r.suspendAll()
	}
}
