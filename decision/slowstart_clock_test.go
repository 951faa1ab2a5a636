package decision

import (
	"testing"
	"time"
)

// clockCase is one worker in a list that a dispatcher gets while its wall clock may be wrong.
type clockCase struct {
	list      ListKind
	knownAs   time.Duration // its start by the first list; -1: it is not in it
	startedAt time.Duration // its start by the second list
	now       time.Duration // when the second list comes
	inSlow    bool          // it counts as in slow start then
}

// A machine whose wall clock is an hour off at the start of the process takes no new worker for a warm one,
// in either direction.
func TestSlowStartUnderAWrongClock(t *testing.T) {
	const hour = time.Hour
	for name, test := range map[string]clockCase{
		"a new one, clock ahead":             {ListDelta, -1, 2*hour - time.Second, 3 * hour, true},
		"a restarted one, clock ahead":       {ListDelta, hour, 2*hour - time.Second, 3 * hour, true},
		"a new one, clock behind":            {ListDelta, -1, 3 * hour, 2 * hour, true},
		"a new one, clock right":             {ListDelta, -1, 2*hour - time.Second, 2 * hour, true},
		"one known for long":                 {ListDelta, hour, hour, 3 * hour, false},
		"of a snapshot, started an hour ago": {ListSnapshot, -1, 2 * hour, 3 * hour, false},
		"a new one that started long ago":    {ListDelta, -1, hour, 4 * hour, false},
		"one that started before time began": {ListDelta, -1, 0, 3 * hour, false},
	} {
		t.Run(name, test.run)
	}
}

func (c clockCase) run(t *testing.T) {
	const slowStart = 8 * time.Second
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
	if got := inSlowStart(); got != c.inSlow {
		t.Errorf("in slow start %v, not %v", got, c.inSlow)
	}
	machine.Handle(c.now+time.Second, second, nil) // listed again, its start is no news
	if got := inSlowStart(); got != c.inSlow {
		t.Errorf("listed again: in slow start %v, not %v", got, c.inSlow)
	}
	machine.Handle(c.now+slowStart+time.Second, Event{Kind: TimerFired, Timer: sweepTimer}, nil)
	if c.now >= c.startedAt && inSlowStart() {
		t.Error("it does not become warm")
	}
}
