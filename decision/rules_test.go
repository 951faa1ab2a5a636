package decision

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// For any behaviour of clients, workers and discovery, each action keeps the rules that simulation.check
// states, each request gets its response, and no state is held once all requests and attempts have ended.
func TestRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			sim.step()
		}
		sim.advance(6 * time.Second) // past every deadline
		for _, request := range sim.requests {
			if !request.answered {
				t.Fatalf("no response: %+v", request)
			}
		}
		if n := len(sim.machine.requests) + len(sim.machine.queue.waiting); n != 0 {
			t.Fatalf("%d requests held after all have ended", n)
		}
		sim.advance(sim.settings.KeyCooldown + 2*sim.settings.Tick)
		if n := len(sim.machine.serializer.queues) + len(sim.machine.serializer.coolingDown); n != 0 {
			t.Fatalf("%d keys held after all have ended and cooled down", n)
		}
		if slots := sim.machine.ceilings.inFlight; slots != 0 {
			t.Fatalf("%v slots in flight after all have ended", slots)
		}
	})
}

// check fails the test if an action breaks a rule; otherwise it records the action.
func (s *simulation) check(action Action) {
	request := s.requests[action.Request]
	switch action.Kind {
	case Assign:
		s.checkAssign(request, action)
	case Reject, Fail:
		if request == nil || request.answered {
			s.t.Fatalf("a second response, or one for an unknown request: %+v", action)
		}
		if action.Delay < 0 {
			s.t.Fatalf("negative delay: %+v", action)
		}
		if action.Kind == Reject && !request.rejectable() {
			s.t.Fatalf("rejected though it may have run: %+v", request)
		}
		request.answered = true
	case CancelAttempt:
		if !s.settings.Cancellation || request == nil || action.Attempt >= len(request.attempts) {
			s.t.Fatalf("a cancellation that is not allowed or names no attempt: %+v", action)
		}
		request.attempts[action.Attempt].cancelled = true
	case SetTimer:
		if action.Delay < 0 {
			s.t.Fatalf("timer in the past: %+v", action)
		}
		s.timers = append(s.timers, simTimer{s.now + action.Delay, action.Timer})
	case Subscribe:
		if s.subscribed || !s.settings.ListBySubscription {
			s.t.Fatal("subscribed twice, or though the list comes without a subscription")
		}
		s.subscribed = true
	case CheckHealth:
		s.t.Fatal("a health check though health checks are not allowed")
	}
}

// rejectable reports whether the request may be rejected: a rejected request may be repeated by the client.
func (r *simRequest) rejectable() bool {
	for _, attempt := range r.attempts {
		mayRepeat := r.class.Idempotency == Idempotent ||
			r.class.Idempotency == Deduplicated && r.class.DedupScope == DedupEverywhere
		if !attempt.neverRan && !mayRepeat {
			return false
		}
	}
	return true
}

// checkAssign fails the test if an attempt breaks a rule; otherwise it records the attempt.
func (s *simulation) checkAssign(request *simRequest, action Action) {
	if request == nil || request.answered {
		s.t.Fatalf("an attempt for a request that is answered or unknown: %+v", action)
	}
	endpoint, ok := s.listed[action.Worker]
	if !ok || endpoint.State != Running {
		s.t.Fatalf("an attempt at a worker that is draining or removed: %+v %+v", action, endpoint)
	}
	if request.class.Kinds != nil && request.class.Kinds[0] != endpoint.Kind ||
		request.class.Zones != nil && request.class.Zones[0] != endpoint.Zone {
		s.t.Fatalf("an attempt at a worker that may not run the class: %+v", action)
	}
	s.checkSerialization(request)
	if len(request.attempts) > 0 {
		s.retries = append(s.retries, s.now)
		s.checkRetryBudget()
	}
	if len(request.attempts) >= s.settings.MaxAttempts {
		s.t.Fatalf("too many attempts: %+v", action)
	}
	for _, attempt := range request.attempts {
		if !attempt.done && !s.settings.Hedging {
			s.t.Fatalf("a second outstanding attempt without hedging: %+v", action)
		}
		s.checkRepeat(request, attempt, endpoint)
	}
	request.attempts = append(request.attempts, simAttempt{worker: endpoint, at: s.now})
}

// checkRetryBudget checks the number of attempts beyond a request's first in the latest window against the
// number of requests that arrived in it.
func (s *simulation) checkRetryBudget() {
	window := s.settings.RetryBudgetWindow
	if window <= 0 {
		return
	}
	retries := 0
	arrivals := 0
	for _, at := range s.retries {
		if s.now-at <= window {
			retries++
		}
	}
	for _, at := range s.arrivals {
		if s.now-at < window {
			arrivals++
		}
	}
	if float64(retries) > s.settings.RetryBudgetFloor+s.settings.RetryBudgetRatio*float64(arrivals) {
		s.t.Fatalf("%d retries for %d requests", retries, arrivals)
	}
}

// checkRepeat checks that an attempt at a worker cannot repeat an effect of an earlier attempt.
func (s *simulation) checkRepeat(request *simRequest, earlier simAttempt, worker Endpoint) {
	class := request.class
	if earlier.neverRan || class.Idempotency == Idempotent {
		return
	}
	sameZone := earlier.worker.Zone == worker.Zone
	sameCell := sameZone && earlier.worker.Cell == worker.Cell
	discarded := class.DedupScope == DedupEverywhere ||
		class.DedupScope == DedupWithinZone && sameZone ||
		class.DedupScope == DedupWithinCell && sameCell
	if class.Idempotency == NonIdempotent || !discarded || s.now-earlier.at >= class.DedupWindow {
		s.t.Fatalf("an effect may happen twice: %+v", request)
	}
}

// checkSerialization checks the order of requests with the same key: all earlier requests of the key are
// over, and so is its cooldown.
func (s *simulation) checkSerialization(request *simRequest) {
	if request.key == "" || !request.class.Serialized {
		return
	}
	for _, id := range s.arrivalOrder {
		earlier := s.requests[id]
		if earlier == request {
			break
		}
		if !earlier.class.Serialized || earlier.key != request.key {
			continue
		}
		if !earlier.answered ||
			slices.ContainsFunc(earlier.attempts, func(attempt simAttempt) bool { return !attempt.done }) {
			s.t.Fatalf("sent before an earlier request with its key is over: %+v, %+v", request, earlier)
		}
	}
	if len(request.attempts) == 0 && s.now < s.cooldownUntil[request.key] {
		s.t.Fatalf("the key's cooldown is not over: %+v", request)
	}
}

// responseSlack is how long after its deadline a request may still be answered.
const responseSlack = 8 * time.Millisecond
