package hollyyoke

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// What a warm worker has taken is counted as the time its jobs ran, not as the guess that stood for them: cold
// workers' budgets are shares of it, and 20 to 30 dispatchers that have just started all begin with the guess.
func TestColdBudgetsFollowWhatJobsTook(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		aim := time.Duration(rapid.IntRange(500, 3000).Draw(t, "aim in ms")) * time.Millisecond
		run := time.Duration(rapid.IntRange(5, 200).Draw(t, "run in ms")) * time.Millisecond
		jobs := rapid.IntRange(3, 40).Draw(t, "jobs")
		d, err := New(Settings{
			Classes: []Class{{Worth: 1, Aim: aim, Deadline: 4 * aim}}, Peers: rapid.IntRange(20, 30).Draw(t, "peers"),
			ColdFrom: 0.3, WarmAfter: 8 * time.Second, FallMultiple: 4, FallWindow: time.Second, TellsStart: true, MaxAttempts: 1,
		}, 1)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Hour
		d.Handle(now, Event{Kind: WorkerList, List: ListComplete, Entries: []Entry{{Worker: "warm"}}}, nil)
		for i := range jobs {
			id := uint64(i + 1)
			assigned := false
			for _, a := range d.Handle(now, Event{Kind: Arrival, Request: id, Left: 4 * aim}, nil) {
				assigned = assigned || a.Kind == Assign
			}
			if !assigned {
				t.Fatalf("job %d was not assigned", i)
			}
			d.Handle(now, Event{Kind: Started, Request: id, Worker: "warm"}, nil)
			now += run
			d.Handle(now, Event{Kind: Response, Request: id, Worker: "warm", Outcome: Completed, Settled: true}, nil)
		}
		d.sharesAt = 0 // look anew
		if took := (time.Duration(jobs) * run).Seconds() / d.horizon.Seconds(); d.warmShare(0) > took*1.001 {
			t.Errorf("%d jobs of %v count as %.3f of a slot, and took %.3f", jobs, run, d.warmShare(0), took)
		}
	})
}
