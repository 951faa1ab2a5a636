package faktory

import (
	"fmt"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
)

// The number and the age of completed jids in the memory are bounded. Jobs in
// progress are never removed from it.
func TestJidMemoryIsBounded(t *testing.T) {
	jids := newJidMemory()
	jids.begin("in-work", 0)
	done := dispatch.Response{Outcome: dispatch.Served, MayHaveRun: true}
	for i := range maxCompletedJids + 10 {
		id := fmt.Sprint(i)
		jids.begin(id, time.Second)
		jids.finish(id, done, decision.NonIdempotent, time.Second)
	}
	if len(jids.entries) != maxCompletedJids+1 {
		t.Errorf("%d jids, want %d", len(jids.entries), maxCompletedJids+1)
	}
	for id, want := range map[string]jidStatus{"9": jidUnknown, "10": jidServed, "in-work": jidInProgress} {
		if got := jids.status(id); got != want {
			t.Errorf("the status of %s is %v, want %v", id, got, want)
		}
	}
	jids.begin("new", time.Second+jidRetention)
	if len(jids.entries) != 2 || len(jids.completed) != 0 {
		t.Errorf("%d jids, %d completed after their age, want 2 and 0", len(jids.entries), len(jids.completed))
	}
}
