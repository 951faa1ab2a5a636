package decision

import (
	"testing"
	"time"
)

// A machine whose wall clock is an hour off at the start of the process takes no
// fresh worker for a warm one, in either direction.
func TestSlowStartUnderAWrongClock(t *testing.T) {
	const hour, warm = time.Hour, 8 * time.Second
	for name, c := range map[string]struct {
		list  ListKind
		known time.Duration // told start of the worker in the first list; -1: it is not in it
		told  time.Duration // told start in the list at hand, whose time is now
		now   time.Duration
		cold  bool
	}{
		"a new one, the clock is ahead":            {ListDelta, -1, 2*hour - time.Second, 3 * hour, true},
		"a restarted one, the clock is ahead":      {ListDelta, hour, 2*hour - time.Second, 3 * hour, true},
		"a new one, the clock is behind":           {ListDelta, -1, 3 * hour, 2 * hour, true},
		"a new one, the clock is right":            {ListDelta, -1, 2*hour - time.Second, 2 * hour, true},
		"one known for long":                       {ListDelta, hour, hour, 3 * hour, false},
		"one of a whole list, started an hour ago": {ListSnapshot, -1, 2 * hour, 3 * hour, false},
		"a new one that started long ago":          {ListDelta, -1, hour, 4 * hour, false},
		"one that started before time was told":    {ListDelta, -1, 0, 3 * hour, false},
	} {
		t.Run(name, func(t *testing.T) {
			machine, err := New(Settings{Classes: []Class{{Deadline: time.Second}}, SlowStartFloor: 0.3, SlowStartDuration: warm, OverloadMultiple: 4, OverloadWindow: time.Second}, 1)
			if err != nil {
				t.Fatal(err)
			}
			first := []Endpoint{{Name: "other"}}
			if c.known >= 0 {
				first = append(first, Endpoint{Name: "w", StartedAt: c.known})
			}
			machine.Handle(c.now-hour/2, Event{Kind: ListUpdated, ListKind: ListSnapshot, Endpoints: first}, nil)
			list := Event{Kind: ListUpdated, ListKind: c.list, Endpoints: []Endpoint{{Name: "w", StartedAt: c.told}, {Name: "other"}}}
			machine.Handle(c.now, list, nil)
			if cold := machine.capacityFraction(machine.workers["w"]) < 1; cold != c.cold {
				t.Errorf("cold %v, not %v", cold, c.cold)
			}
			machine.Handle(c.now+time.Second, list, nil) // told again, it is no news
			if cold := machine.capacityFraction(machine.workers["w"]) < 1; cold != c.cold {
				t.Errorf("told again: cold %v, not %v", cold, c.cold)
			}
			machine.Handle(c.now+warm+time.Second, Event{Kind: TimerFired, Timer: sweepTimer}, nil)
			if c.now >= c.told && machine.capacityFraction(machine.workers["w"]) < 1 {
				t.Error("it does not become warm")
			}
		})
	}
}
