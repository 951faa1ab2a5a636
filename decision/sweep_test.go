package decision

import (
	"testing"
	"time"
)

// While many outcomes are bad, a request that will probably be late would delay others in its worker's queue
// for a fraction of its weight. It is cancelled before it starts and rejected, and a client's retry that
// comes too late is rejected. A request that has started, or must not run twice, continues. While few
// outcomes are bad, all continue.
func TestLateRequestIsCancelledUnderOverload(t *testing.T) {
	for name, test := range map[string]struct {
		class                 int
		badRatio              float64
		highFrom              int // sweep from which badRatio is in effect; 0 before
		started, wantRejected bool
	}{
		"overloaded":                 {0, 0.4, 0, false, true},
		"not overloaded":             {0, 0.1, 0, false, false},
		"overloaded once it is late": {0, 0.4, 16, false, true},
		"started":                    {0, 0.4, 0, true, false},
		"not idempotent":             {1, 0.4, 0, false, false},
	} {
		settings := testSettings()
		settings.StartNotices = true
		rig := newRig(t, settings, 4)
		id := rig.arrive(test.class)
		if test.started {
			rig.reportStart(id)
		}
		rejected := false
		cancelled := false
		for sweep := range 20 {
			rig.ceilings.badRatio = 0
			if sweep >= test.highFrom {
				rig.ceilings.badRatio = test.badRatio
			}
			if sweep == 16 && test.highFrom > 0 && !rig.requests[id].late {
				t.Fatal("the request is not late after 16 sweeps")
			}
			rig.nextSweep()
			rejected = rejected || findAction(rig.actions, Reject) != nil
			cancelled = cancelled || findAction(rig.actions, CancelAttempt) != nil
		}
		if rejected != test.wantRejected || cancelled != test.wantRejected {
			t.Errorf("%s: rejected %v, cancelled %v, want %v", name, rejected, cancelled, test.wantRejected)
		}
		rig.ceilings.badRatio = test.badRatio
		const fullTime = 5 * time.Second
		rig.estimates.maxTimeLeft[0] = fullTime
		rig.offer(Event{Request: 1 << 40, Class: 0, Work: 100 * time.Millisecond, TimeLeft: fullTime / 2})
		if again := findAction(rig.actions, Reject) != nil; again != (test.badRatio > overloadBadRatio) {
			t.Errorf("%s: a client's retry that comes too late: rejected %v", name, again)
		}
	}
}

func TestWaitingRequestIsRejectedBeforeItsObjectiveWhenScarce(t *testing.T) {
	rig := newRig(t, testSettings(), 1)
	rig.fleet[0].saturatedUntil = rig.now + time.Hour
	id := rig.arrive(0)
	objective := rig.requests[id].objective
	rig.prices.work = 0.1
	rig.nextPricingAt = rig.now + time.Hour
	for rig.requests[id] != nil && rig.now < objective+time.Second {
		rig.nextSweep()
	}
	action := findAction(rig.actions, Reject)
	if action == nil || rig.now >= objective ||
		action.Delay <= 0 || action.Delay > rig.settings.MaxRetryAfter {
		t.Fatalf("at %v, with the objective %v: %v", rig.now, objective, rig.actions)
	}
}

// If the ceiling is exhausted while prices are zero, late requests must not stay in the queue, where they
// would make new requests late.
func TestLateRequestIsRejectedAtFullCeiling(t *testing.T) {
	rig := newRig(t, testSettings(), 2)
	rig.ceilings.concurrencyPerWorker = (2 - concurrencyHeadroom) / 2
	rig.arrive(0)
	rig.arrive(0)
	waits := rig.requests[rig.arrive(0)]
	if !waits.queued || rig.prices.work+rig.prices.slot > 0 {
		t.Fatal("the third request does not wait, or a price is not zero")
	}
	rig.sweepAt(waits.objective - seconds(waits.work))
	if !waits.ended || findAction(rig.actions, Reject) == nil {
		t.Fatal("a request that will probably be late still waits, though the ceiling is exhausted")
	}
}

// A request that earns nothing once it is late is rejected when its objective passes.
func TestRequestWithoutLateValueIsRejectedAtItsObjective(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].LateWeight = 0
	rig := newRig(t, settings, 1)
	rig.fleet[0].saturatedUntil = rig.now + time.Hour
	id := rig.arrive(0)
	objective := rig.requests[id].objective
	for findAction(rig.actions, Reject) == nil {
		rig.nextSweep()
		if rig.now > objective {
			t.Fatal("still waiting after its objective")
		}
	}
	if action := findAction(rig.actions, Reject); action.Request != id || action.Delay <= 0 {
		t.Fatalf("a rejection of another request, or without a delay: %+v", action)
	}
}

// A request that waits in a worker's queue, can no longer be in time and earns nothing late is cancelled, so
// that workers' queues do not fill with such requests.
func TestAttemptWithoutLateValueIsCancelledBeforeItsStart(t *testing.T) {
	for class, answer := range []ActionKind{Reject, Fail} {
		for _, started := range []bool{false, true} {
			rig := newRig(t, settingsWithoutHints(), 1)
			id := rig.arrive(class) // runs for 1 s; the latency objective is 1 s + 2 * 1 s
			if rig.assignedTo(id) == "" {
				t.Fatal("not sent")
			}
			if started {
				rig.reportStart(id)
			}
			var actions []Action
			sweepUntil := func(end time.Duration) {
				for rig.now < end {
					actions = append(actions, rig.nextSweep()...)
				}
			}
			sweepUntil(time.Hour + time.Second)
			if findAction(actions, CancelAttempt) != nil || findAction(actions, answer) != nil {
				t.Fatalf("class %d is cancelled while it can be in time: %v", class, actions)
			}
			sweepUntil(time.Hour + 3*time.Second)
			cancelled := findAction(actions, CancelAttempt) != nil && findAction(actions, answer) != nil
			if cancelled == started {
				t.Fatalf("class %d, started %v, cancelled %v: %v", class, started, cancelled, actions)
			}
		}
	}
}

// settingsWithoutHints returns settings for clients that send no hints, with classes whose late responses
// earn nothing.
func settingsWithoutHints() Settings {
	settings := testSettings()
	settings.StartNotices = true
	for i := range settings.Classes {
		settings.Classes[i].LateWeight = 0
		settings.Classes[i].LatencyObjective = time.Second
	}
	return settings
}

// Guards against a request that an idle worker could take and that waits until its deadline: with an
// objective beyond the deadline, the sweep that marks it late came after the deadline.
func TestRequestIsSweptBeforeItsDeadline(t *testing.T) {
	settings := testSettings()
	for i := range settings.Classes {
		settings.Classes[i].Deadline = 2 * time.Second
		settings.Classes[i].LatencyObjective = 4 * time.Second
	}
	machine, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	deadline := settings.Classes[0].Deadline
	if machine.sweepInterval >= deadline-2*settings.Tick {
		t.Errorf("a sweep each %v, with a deadline of %v", machine.sweepInterval, deadline)
	}
}
