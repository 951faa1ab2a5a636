package decision

import (
	"slices"
	"time"
)

// request is a client's request. It is kept until it has its response and all its attempts have ended.
type request struct {
	id            uint64
	class         *Class
	slots         float64
	work          float64 // hinted run time in seconds, or without a hint the recent mean of its class
	classMeanWork float64 // recent mean run time of its class when it arrived, seconds
	value         float64 // what a response earns now
	cost          float64 // slots times work: slot-seconds
	holdTime      float64 // hinted run time in seconds; 0 without a hint, so that no slot price applies
	objective     time.Duration
	deadline      time.Duration
	keyQueue      *keyQueue     // queue of its key, if the request is serialized
	keyHash       uint64        // hash for finding the owners of its key; 0 if any worker will do
	notBefore     time.Duration // the next attempt waits until then
	attempts      []attempt
	outstanding   int  // attempts that have not ended
	queued        bool // it waits in the queue
	late          bool // it will probably miss its objective
	countedAsBad  bool // it was already counted as a bad outcome for the ceilings
	ended         bool // it has its response, or no longer needs one
}

// maxUnsentAttempts is how many attempts that were never sent are not counted toward a request's
// MaxAttempts. The limit keeps a request that cannot be sent to any worker from being tried at the whole
// fleet.
const maxUnsentAttempts = 5

// attemptsMade returns the number of attempts that count toward MaxAttempts: those that were sent, or may
// still be, and those that were never sent beyond maxUnsentAttempts.
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

// finish marks a request that needs no further decision, and cancels its outstanding attempts. A stream is
// not cancelled: it continues until its client disconnects.
func (m *Machine) finish(request *request) {
	request.ended = true
	for i := range request.attempts {
		if !request.attempts[i].ended && m.settings.Cancellation && !request.class.Streaming {
			m.emit(Action{Kind: CancelAttempt, Request: request.id, Attempt: i})
		}
	}
	m.dropIfOver(request)
}

// dropIfOver drops a request that is over: it has ended and has no outstanding attempt.
func (m *Machine) dropIfOver(request *request) {
	if !request.ended || request.outstanding > 0 {
		return
	}
	delete(m.requests, request.id)
	if request.keyQueue != nil {
		m.serializer.leave(request, m.now)
	}
}
