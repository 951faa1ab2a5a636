package dispatch

import (
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/eventloop"
)

// The IDs of the latest requests stay known after the requests have ended; the number of known IDs is bounded.
func TestRecentIDsAreBounded(t *testing.T) {
	d := newTestDispatcher(t, eventloop.New(), decision.Settings{Classes: []decision.Class{{Deadline: time.Second}}})
	id := func(i int) string { return string(rune('a'+i%20)) + time.Duration(i).String() }
	const requests = 2 * maxRecentIDs
	for i := range requests {
		acceptAndEnd(t, d, i, id(i))
	}
	const last = requests - 1
	const oldestKnown = last - maxRecentIDs + 1
	if !d.IsKnownID(id(last)) || !d.IsKnownID(id(oldestKnown)) || d.IsKnownID(id(oldestKnown-1)) || d.IsKnownID("other") {
		t.Error("the known IDs are not those of the latest requests")
	}
	if len(d.ids.open) != 0 || len(d.ids.recent) != maxRecentIDs {
		t.Errorf("%d IDs open and %d recent are remembered, want 0 and %d", len(d.ids.open), len(d.ids.recent), maxRecentIDs)
	}
}

// acceptAndEnd submits a request and cancels it, unless it is answered at once.
func acceptAndEnd(t *testing.T, d *Dispatcher, number int, id string) {
	t.Helper()
	responses := 0
	cancelled := false
	frontEnd := respondFunc(func(response Response) {
		responses++
		if responses > 1 || cancelled || response.MayHaveRun {
			t.Fatalf("request %d: response %d, cancelled: %v, may have run: %v",
				number, responses, cancelled, response.MayHaveRun)
		}
	})
	handle := d.Accept(frontEnd, uint64(number), Request{ID: id})
	if !d.IsKnownID(id) {
		t.Fatalf("request %d is open, but its ID is unknown", number)
	}
	if responses == 0 {
		cancelled = true
		d.Cancel(handle)
	}
}
