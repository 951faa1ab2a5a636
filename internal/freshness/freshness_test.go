package freshness

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const s = time.Second

func TestKnowledge(t *testing.T) {
	type step struct {
		at    time.Duration
		event string // "", "heard", "not reached", "broken off", "stalled"
		want  Knowledge
	}
	for name, steps := range map[string][]step{
		"heard in time": {{5 * s, "heard", Current}, {10 * s, "", Current}, {10900 * time.Millisecond, "", Unknown}},
		"silence":       {{5800 * time.Millisecond, "", Current}, {6 * s, "", Unknown}},
		"two calls that break off move nothing": {
			{3 * s, "broken off", Current}, {5800 * time.Millisecond, "broken off", Current}, {6 * s, "", Unknown}, {7 * s, "heard", Current}},
		"an outage": {{2 * s, "not reached", Current}, {5 * s, "not reached", Current}, {6 * s, "", Unconfirmed},
			{9 * s, "not reached", Unconfirmed}, {16 * s, "", Unconfirmed}, {17 * s, "", Unknown}},
		"an outage whose end brings half an answer": {{5 * s, "not reached", Current}, {7 * s, "broken off", Unknown}},
		"a broken answer, then an outage":           {{5 * s, "broken off", Current}, {7 * s, "not reached", Unconfirmed}},
		"what is read right after a stall may be old": {
			{10 * s, "stalled", Unknown}, {10*s + time.Millisecond, "heard", Unknown}, {11 * s, "heard", Current}},
		"a short stall": {{2 * s, "heard", Current}, {3 * s, "stalled", Current}, {3*s + time.Millisecond, "heard", Current}, {8 * s, "", Unknown}},
	} {
		t.Run(name, func(t *testing.T) {
			var tracker Tracker
			tracker.Start(-startHold)
			tracker.Confirmed(0)
			for i, step := range steps {
				switch step.event {
				case "heard":
					tracker.Confirmed(step.at)
				case "not reached":
					tracker.Failed(step.at, NotReached)
				case "broken off":
					tracker.Failed(step.at, BrokenOff)
				case "stalled":
					tracker.Stalled(step.at)
				}
				if got := tracker.Knowledge(step.at); got != step.want {
					t.Errorf("step %d, %v %s: %v, not %v", i, step.at, step.event, got, step.want)
				}
			}
		})
	}
}

// The list that a process starts with is of no use before its source was heard; if
// nobody answers there, it is, after a while.
func TestStart(t *testing.T) {
	var heard, refused, silent Tracker
	for _, tracker := range []*Tracker{&heard, &refused, &silent} {
		tracker.Start(100 * s)
		if k := tracker.Knowledge(100 * s); k != Unknown {
			t.Errorf("at the start: %v", k)
		}
	}
	heard.Confirmed(101 * s)
	refused.Failed(101*s, NotReached)
	for at, want := range map[time.Duration][3]Knowledge{
		102 * s: {Current, Unknown, Unknown}, 105 * s: {Current, Unconfirmed, Unknown}, 108 * s: {Unknown, Unconfirmed, Unconfirmed},
	} {
		if got := [3]Knowledge{heard.Knowledge(at), refused.Knowledge(at), silent.Knowledge(at)}; got != want {
			t.Errorf("%v after the start: %v, not %v", at-100*s, got, want)
		}
	}
}

// Where workers can be asked, a list that was heard once is never of no use.
func TestAsking(t *testing.T) {
	tracker := Tracker{CanCheckHealth: true}
	tracker.Start(0)
	tracker.Confirmed(s)
	tracker.Failed(5*s, BrokenOff)
	if k := tracker.Knowledge(8 * s); k != Unconfirmed {
		t.Errorf("%v", k)
	}
}

func TestRelayed(t *testing.T) {
	var tracker Tracker
	tracker.Start(100 * s)
	tracker.HandedOver(100*s, 7*s)
	if k := tracker.Knowledge(100 * s); k != Unknown {
		t.Errorf("by a list that was old already: %v", k)
	}
	tracker.HandedOver(101*s, 2*s)
	if a, b := tracker.Knowledge(104*s), tracker.Knowledge(105*s); a != Current || b != Unknown {
		t.Errorf("by a list heard 2 s before: %v, then %v", a, b)
	}
}

// Whatever calls end in vain, in any order, the list is never current beyond the bound.
func TestNoFailureMovesTheBound(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		var tracker Tracker
		tracker.Start(-startHold)
		tracker.Confirmed(0)
		for now := time.Duration(0); now < 20*s; now += time.Duration(random.IntN(int(s))) {
			switch random.IntN(3) {
			case 0:
				tracker.Failed(now, Failure(random.IntN(2)))
			case 1:
				tracker.Stalled(now)
			}
			if k := tracker.Knowledge(now); k == Current && now >= NotificationBound {
				t.Fatalf("seed %d: current at %v, though nothing was heard since the start", seed, now)
			}
		}
	}
}

func TestProof(t *testing.T) {
	var tracker Tracker
	tracker.Confirmed(0)
	var asked, denied Proof
	if denied.Denied(&tracker); !asked.Holds(&tracker) || denied.Holds(&tracker) {
		t.Errorf("a worker that said nothing against itself: %v; one that denied itself: %v", asked.Holds(&tracker), denied.Holds(&tracker))
	}
	if tracker.Confirmed(31 * s); !denied.Holds(&tracker) {
		t.Error("not asked, though the list was heard since")
	}
}

func ExampleTracker() {
	var list Tracker
	list.Start(-time.Minute)
	list.Confirmed(0)
	list.Failed(3*time.Second, BrokenOff)
	fmt.Println(list.Knowledge(5*time.Second), list.Knowledge(6*time.Second))
	list.Failed(7*time.Second, NotReached)
	fmt.Println(list.Knowledge(8 * time.Second))
	// Output:
	// current unknown
	// unconfirmed
}
