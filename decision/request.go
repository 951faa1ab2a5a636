package decision

import (
	"slices"
	"time"
)

// request is a client's request, until it has its answer and all its attempts have ended.
type request struct {
	id            uint64
	class         *Class
	slots         float64
	work          float64 // hinted run time in seconds, else the recent mean of its class
	classMeanWork float64 // that mean when it arrived
	value         float64 // what an answer earns now
	cost          float64 // slots times work: slot-seconds
	holdTime      float64 // hinted run time in seconds; 0: no hint, the slot is not priced
	objective     time.Duration
	deadline      time.Duration
	keyQueue      *keyQueue     // of a serialized request
	keyHash       uint64        // places the request at its key's owners; 0: anywhere
	notBefore     time.Duration // the next attempt waits until then
	attempts      []attempt
	outstanding   int  // attempts that have not ended
	queued        bool // it waits in the queue
	late          bool // it can hardly meet its objective
	countedAsBad  bool // the ceilings were cut for it
	ended         bool // it has its answer, or needs none
}

// maxUnsentAttempts is how many attempts that never left do not count among a request's MaxAttempts, so that
// one for which no worker can be asked does not go round the whole fleet.
const maxUnsentAttempts = 5

// attemptsMade counts the attempts that have left, or still may: they count among MaxAttempts.
func (r *request) attemptsMade() int {
	unsent := 0
	for i := range r.attempts {
		if r.attempts[i].unsent {
			unsent++
		}
	}
	return len(r.attempts) - min(unsent, maxUnsentAttempts)
}

// mayHaveRun reports whether one of its attempts may have had an effect.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(attempt attempt) bool { return !attempt.neverRan })
}

// hasStarted reports whether an outstanding attempt is known to have started.
func (r *request) hasStarted() bool {
	return slices.ContainsFunc(r.attempts, func(attempt attempt) bool {
		return !attempt.ended && attempt.startedAt > 0
	})
}

// unstartedAttempt returns the only outstanding attempt if it is not known to have started, else nil.
func (r *request) unstartedAttempt() *attempt {
	if r.outstanding != 1 {
		return nil
	}
	for i := range r.attempts {
		attempt := &r.attempts[i]
		if !attempt.ended && attempt.startedAt == 0 {
			return attempt
		}
	}
	return nil
}

// finish marks a request that needs no further decision, and cancels its outstanding attempts. A stream runs
// on until its client disconnects.
func (m *Machine) finish(request *request) {
	request.ended = true
	for i := range request.attempts {
		if !request.attempts[i].ended && m.settings.Cancellation && !request.class.Streaming {
			m.emit(Action{Kind: CancelAttempt, Request: request.id, Attempt: i})
		}
	}
	m.forgetIfOver(request)
}

// forgetIfOver drops a request that has ended and has no outstanding attempt.
func (m *Machine) forgetIfOver(request *request) {
	if !request.ended || request.outstanding > 0 {
		return
	}
	delete(m.requests, request.id)
	if request.keyQueue != nil {
		m.serializer.leave(request, m.now)
	}
}
