package decision

import (
	"fmt"
	"testing"
	"time"
)

// initialCeiling is the ceiling per worker that a dispatcher of testSettings starts with.
const initialCeiling = initialSlotsPerWorker / 2

// rig drives the machine of one dispatcher, event by event.
type rig struct {
	*Machine
	t       *testing.T
	actions []Action // returned for the last event
	next    uint64   // ID of the next request
}

// handle feeds an event and stores the actions.
func (r *rig) handle(now time.Duration, event Event) []Action {
	r.actions = r.Handle(now, event, nil)
	return r.actions
}

// arrive delivers a request of the class with a hint of one second of work, and returns its ID.
func (r *rig) arrive(class int) uint64 { return r.arriveWithKey(class, "") }

// arriveWithKey is like arrive, but the request has a key.
func (r *rig) arriveWithKey(class int, key string) uint64 {
	id := r.next
	r.next++
	r.handle(r.now, Event{
		Kind: RequestArrived, Request: id, Class: class, Key: key,
		Slots: 1, Work: time.Second, TimeLeft: 5 * time.Second,
	})
	return id
}

// offer delivers the request that the event describes, at the current time.
func (r *rig) offer(event Event) []Action {
	event.Kind = RequestArrived
	return r.handle(r.now, event)
}

// updateList delivers a delta of the endpoint list.
func (r *rig) updateList(entries ...Endpoint) []Action {
	return r.handle(r.now, Event{Kind: ListUpdated, ListKind: ListDelta, Endpoints: entries})
}

// sweepAt fires the sweep timer at the given time.
func (r *rig) sweepAt(now time.Duration) []Action {
	return r.handle(now, Event{Kind: TimerFired, Timer: sweepTimer})
}

// nextSweep lets a sweep interval pass and fires the sweep timer.
func (r *rig) nextSweep() []Action { return r.sweepAt(r.now + r.sweepInterval) }

// reportStart reports, at the current time, that the first attempt of a request has started.
func (r *rig) reportStart(id uint64) []Action {
	return r.handle(r.now, Event{Kind: AttemptStarted, Request: id, Worker: r.assignedTo(id)})
}

// endAttempt ends the attempt with that number; a completed attempt answers the request.
func (r *rig) endAttempt(id uint64, n int, outcome AttemptOutcome, after time.Duration) []Action {
	worker := r.requests[id].attempts[n].worker
	return r.handle(r.now+after, Event{
		Kind: AttemptEnded, Request: id, Attempt: n, Worker: worker.Name,
		Outcome: outcome, Answered: outcome == Completed,
	})
}

// assignedTo returns the name of the worker of a request's latest attempt, or "" if there is none.
func (r *rig) assignedTo(id uint64) string {
	request := r.requests[id]
	if request == nil || len(request.attempts) == 0 {
		return ""
	}
	return request.attempts[len(request.attempts)-1].worker.Name
}

// send delivers a request of the class and returns the name of the worker that it was sent to, if any.
func (r *rig) send(class int) string { return r.assignedTo(r.arrive(class)) }

// expectAllAt delivers requests one after another and fails with the message unless each goes to the worker.
func (r *rig) expectAllAt(worker, message string) {
	r.t.Helper()
	for range 10 {
		id := r.arrive(0)
		if r.assignedTo(id) != worker {
			r.t.Fatal(message)
		}
		r.endAttempt(id, 0, Completed, time.Second)
	}
}

// setCeilings sets both ceilings per ready worker, and fills the token bucket.
func (r *rig) setCeilings(perWorker, tokens float64) {
	r.ceilings.concurrencyPerWorker = perWorker
	r.bucket.ratePerWorker = perWorker
	r.bucket.tokens = tokens
}

// recentBids returns the recent mix as bids, and how many requests are in it.
func (r *rig) recentBids() (bids []bid, count float64) { return r.mix.bids(r.now, r.planningHorizon) }

// testSettings returns settings with a class of idempotent requests and a class of requests that must not run
// twice.
func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{
				PriorityWeight:   1,
				LateWeight:       0.5,
				LatencyObjective: 200 * time.Millisecond,
				ObjectiveStretch: 2,
				Deadline:         5 * time.Second,
			},
			{
				PriorityWeight:   3,
				LateWeight:       0.5,
				LatencyObjective: 200 * time.Millisecond,
				ObjectiveStretch: 2,
				Deadline:         5 * time.Second,
				Idempotency:      NonIdempotent,
			},
		},
		WeightByWork: true, Peers: 2, Tick: time.Millisecond,
		MaxAttempts: 3, Hedging: true, Cancellation: true,
		SlowStartFloor: 0.3, SlowStartDuration: 8 * time.Second,
		OverloadMultiple: 3, OverloadWindow: 2 * time.Second,
		MaxRetryAfter: 2 * time.Second, ConnectTimeout: 200 * time.Millisecond, ProgressInterval: time.Second,
		ListPollInterval: 10 * time.Second,
	}
}

// newRig starts a dispatcher with that many workers.
func newRig(t *testing.T, settings Settings, workers int) *rig {
	t.Helper()
	return newSeededRig(t, settings, workers, 1)
}

// newSeededRig is newRig with a given seed.
func newSeededRig(t *testing.T, settings Settings, workers int, seed uint64) *rig {
	t.Helper()
	machine, err := New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	rig := &rig{Machine: machine, t: t, next: 1}
	var list []Endpoint
	for i := range workers {
		list = append(list, Endpoint{Name: fmt.Sprintf("w%d", i), State: Running})
	}
	rig.handle(time.Hour, Event{Kind: ListUpdated, ListKind: ListCached, Endpoints: list})
	return rig
}

// findAction returns the first action of a kind, nil if there is none.
func findAction(actions []Action, kind ActionKind) *Action {
	for i := range actions {
		if actions[i].Kind == kind {
			return &actions[i]
		}
	}
	return nil
}
