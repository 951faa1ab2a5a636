package decision

import (
	"testing"
	"time"
)

// clockCase is one worker in a list that a dispatcher receives while its wall clock may be wrong.
type clockCase struct {
	list          ListKind
	knownAs       time.Duration // its start time by the first list; -1: it is not in that list
	startedAt     time.Duration // its start time by the second list
	now           time.Duration // when the second list arrives
	wantSlowStart bool          // whether it must count as in slow start after the second list
}

// A dispatcher whose wall clock is an hour ahead or behind at the start of the process must not treat a newly
// started worker as warm.
func TestSlowStartUnderAWrongClock(t *testing.T) {
	const hour = time.Hour
	for name, test := range map[string]clockCase{
		"new worker, clock ahead":              {ListDelta, -1, 2*hour - time.Second, 3 * hour, true},
		"restarted worker, clock ahead":        {ListDelta, hour, 2*hour - time.Second, 3 * hour, true},
		"new worker, clock behind":             {ListDelta, -1, 3 * hour, 2 * hour, true},
		"new worker, clock right":              {ListDelta, -1, 2*hour - time.Second, 2 * hour, true},
		"worker known for long":                {ListDelta, hour, hour, 3 * hour, false},
		"in a snapshot, started an hour ago":   {ListSnapshot, -1, 2 * hour, 3 * hour, false},
		"new worker that started long ago":     {ListDelta, -1, hour, 4 * hour, false},
		"new worker with a start time of zero": {ListDelta, -1, 0, 3 * hour, false},
	} {
		t.Run(name, test.run)
	}
}

// newSlowStartMachine returns a machine whose workers warm up in the given time.
func newSlowStartMachine(t *testing.T, slowStart time.Duration) *Machine {
	t.Helper()
	machine, err := New(Settings{
		Classes:           []Class{{Deadline: time.Second}},
		SlowStartFloor:    0.3,
		SlowStartDuration: slowStart,
		OverloadMultiple:  4,
		OverloadWindow:    time.Second,
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	return machine
}

func (c clockCase) run(t *testing.T) {
	const slowStart = 8 * time.Second
	machine := newSlowStartMachine(t, slowStart)
	first := []Endpoint{{Name: "other"}}
	if c.knownAs >= 0 {
		first = append(first, Endpoint{Name: "w", StartedAt: c.knownAs})
	}
	machine.Handle(
		c.now-time.Hour/2,
		Event{Kind: ListUpdated, ListKind: ListSnapshot, Endpoints: first},
		nil,
	)
	second := Event{
		Kind:      ListUpdated,
		ListKind:  c.list,
		Endpoints: []Endpoint{{Name: "w", StartedAt: c.startedAt}, {Name: "other"}},
	}
	inSlowStart := func() bool { return machine.capacityFraction(machine.workers["w"]) < 1 }
	machine.Handle(c.now, second, nil)
	if got := inSlowStart(); got != c.wantSlowStart {
		t.Errorf("in slow start %v, want %v", got, c.wantSlowStart)
	}
	machine.Handle(c.now+time.Second, second, nil) // listed again with the same start time
	if got := inSlowStart(); got != c.wantSlowStart {
		t.Errorf("listed again: in slow start %v, want %v", got, c.wantSlowStart)
	}
	machine.Handle(c.now+slowStart+time.Second, Event{Kind: TimerFired, Timer: sweepTimer}, nil)
	if c.now >= c.startedAt && inSlowStart() {
		t.Error("the worker is still in slow start after SlowStartDuration")
	}
}

// Guards against a worker that stays in slow start for an hour: if the dispatcher's clock is behind, each
// worker that starts has a start time in the future.
func TestWorkerFromTheFutureWarmsUp(t *testing.T) {
	const slowStart = 8 * time.Second
	for _, kind := range []ListKind{ListSnapshot, ListDelta} {
		machine := newSlowStartMachine(t, slowStart)
		now := 2 * time.Hour
		endpoints := []Endpoint{{Name: "w", StartedAt: now + time.Hour}}
		list := Event{Kind: ListUpdated, ListKind: kind, Endpoints: endpoints}
		machine.Handle(now, list, nil)
		if machine.capacityFraction(machine.workers["w"]) == 1 {
			t.Errorf("list kind %v: a worker that has just started counts as warm", kind)
		}
		now += slowStart + time.Second
		machine.Handle(now, list, nil) // listed again with the same start time
		if machine.capacityFraction(machine.workers["w"]) < 1 {
			t.Errorf("list kind %v: the worker is still in slow start after SlowStartDuration", kind)
		}
	}
}
