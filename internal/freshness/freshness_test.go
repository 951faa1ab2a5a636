package freshness

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	second      = time.Second
	millisecond = time.Millisecond
)

// event records something in the Tracker; it is nil in steps in which only time passes.
type event func(t *Tracker, now time.Duration)

func confirmed(t *Tracker, now time.Duration)          { t.Confirmed(now) }
func sourceUnreachable(t *Tracker, now time.Duration)  { t.Failed(now, SourceUnreachable) }
func incompleteResponse(t *Tracker, now time.Duration) { t.Failed(now, IncompleteResponse) }
func stalled(t *Tracker, now time.Duration)            { t.Stalled(now) }

// step is one step of a scenario: an event at a time, and the expected State right after it.
type step struct {
	at    time.Duration
	event event
	want  State
}

// stateScenarios begin with a list that was confirmed at time 0, where workers have no health checks.
var stateScenarios = map[string][]step{
	"confirmed in time": {
		{5 * second, confirmed, Current},
		{10 * second, nil, Current},
		{10900 * millisecond, nil, Unknown},
	},
	"no messages and no failed calls": {
		{5800 * millisecond, nil, Current},
		{6 * second, nil, Unknown},
	},
	"incomplete responses do not extend the bound": {
		{3 * second, incompleteResponse, Current},
		{5800 * millisecond, incompleteResponse, Current},
		{6 * second, nil, Unknown},
		{7 * second, confirmed, Current},
	},
	"an outage": {
		{2 * second, sourceUnreachable, Current},
		{5 * second, sourceUnreachable, Current},
		{6 * second, nil, Unconfirmed},
		{9 * second, sourceUnreachable, Unconfirmed},
		{16 * second, nil, Unconfirmed},
		{17 * second, nil, Unknown},
	},
	"an outage that ends with an incomplete response": {
		{5 * second, sourceUnreachable, Current},
		{7 * second, incompleteResponse, Unknown},
	},
	"an incomplete response, then an outage": {
		{5 * second, incompleteResponse, Current},
		{7 * second, sourceUnreachable, Unconfirmed},
	},
	"a message read right after a stall confirms nothing": {
		{10 * second, stalled, Unknown},
		{10*second + millisecond, confirmed, Unknown},
		{11 * second, confirmed, Current},
	},
	"a short stall": {
		{2 * second, confirmed, Current},
		{3 * second, stalled, Current},
		{3*second + millisecond, confirmed, Current},
		{8 * second, nil, Unknown},
	},
}

// Checks the State after sequences of confirmations, failed calls and stalls.
func TestState(t *testing.T) {
	for name, steps := range stateScenarios {
		t.Run(name, func(t *testing.T) {
			var tracker Tracker
			tracker.Start(-startupWait)
			tracker.Confirmed(0)
			for i, step := range steps {
				if step.event != nil {
					step.event(&tracker, step.at)
				}
				if got := tracker.State(step.at); got != step.want {
					t.Errorf("step %d, at %v: %v, want %v", i, step.at, got, step.want)
				}
			}
		})
	}
}

// The initial list of a process is Unknown until its source has confirmed it. If the source does not respond, the list
// becomes Unconfirmed: after startupWait if a call failed to reach the source, otherwise after maxStartupWait.
func TestStartBeginsUnknown(t *testing.T) {
	const start = 100 * second
	var confirmed, refused, silent Tracker
	for _, tracker := range []*Tracker{&confirmed, &refused, &silent} {
		tracker.Start(start)
		if got := tracker.State(start); got != Unknown {
			t.Errorf("at the start: %v, want %v", got, Unknown)
		}
	}
	confirmed.Confirmed(start + second)
	refused.Failed(start+second, SourceUnreachable)
	for after, want := range map[time.Duration][3]State{
		2 * second: {Current, Unknown, Unknown},
		5 * second: {Current, Unconfirmed, Unknown},
		8 * second: {Unknown, Unconfirmed, Unconfirmed},
	} {
		at := start + after
		got := [3]State{confirmed.State(at), refused.State(at), silent.State(at)}
		if got != want {
			t.Errorf("%v after the start: %v, want %v", after, got, want)
		}
	}
}

// If workers have health checks, a list that was confirmed once never becomes Unknown.
func TestHealthChecksKeepListUsable(t *testing.T) {
	tracker := Tracker{CanCheckHealth: true}
	tracker.Start(0)
	tracker.Confirmed(second)
	tracker.Failed(5*second, IncompleteResponse)
	if got := tracker.State(8 * second); got != Unconfirmed {
		t.Errorf("%v, want %v", got, Unconfirmed)
	}
}

// A list that another process hands over keeps its age.
func TestHandedOver(t *testing.T) {
	var tracker Tracker
	tracker.Start(100 * second)
	tracker.HandedOver(100*second, 7*second)
	if got := tracker.State(100 * second); got != Unknown {
		t.Errorf("a list that was already stale: %v, want %v", got, Unknown)
	}
	tracker.HandedOver(101*second, 2*second)
	before := tracker.State(104 * second)
	after := tracker.State(105 * second)
	if before != Current || after != Unknown {
		t.Errorf("a list confirmed 2 s before: %v, then %v; want %v, then %v", before, after, Current, Unknown)
	}
}

// For any sequence of failed calls and stalls, the list is never Current beyond the bound.
func TestNoFailureExtendsTheBound(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		var tracker Tracker
		tracker.Start(-startupWait)
		tracker.Confirmed(0)
		for now := time.Duration(0); now < 20*second; now += time.Duration(random.IntN(int(second))) {
			switch random.IntN(3) {
			case 0:
				tracker.Failed(now, Failure(random.IntN(2)))
			case 1:
				tracker.Stalled(now)
			}
			if tracker.State(now) == Current && now >= NotificationBound {
				t.Fatalf("seed %d: current at %v, though the list was last confirmed at 0", seed, now)
			}
		}
	}
}

// After Invalidate, health checks of the worker prove nothing until the list is confirmed again.
func TestHealthEvidence(t *testing.T) {
	var tracker Tracker
	tracker.Confirmed(0)
	var untouched, invalidated HealthEvidence
	invalidated.Invalidate(&tracker)
	if !untouched.Valid(&tracker) || invalidated.Valid(&tracker) {
		t.Errorf("the zero value is valid: %v, want true; after Invalidate: %v, want false",
			untouched.Valid(&tracker), invalidated.Valid(&tracker))
	}
	tracker.Confirmed(31 * second)
	if !invalidated.Valid(&tracker) {
		t.Error("not valid, though the list was confirmed again")
	}
}

func ExampleTracker() {
	var list Tracker
	list.Start(-time.Minute)
	list.Confirmed(0)
	list.Failed(3*time.Second, IncompleteResponse)
	fmt.Println(list.State(5*time.Second), list.State(6*time.Second))
	list.Failed(7*time.Second, SourceUnreachable)
	fmt.Println(list.State(8 * time.Second))
	// Output:
	// current unknown
	// unconfirmed
}
