package faktory

import (
	"fmt"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
)

// The memory is bounded by number and by age, and never forgets jobs in progress.
func TestJidMemoryIsBounded(t *testing.T) {
	m := newJidMemory()
	m.begin("in-work", 0)
	done := dispatch.Response{Outcome: dispatch.Served, MayHaveRun: true}
	for i := range maxCompletedJids + 10 {
		id := fmt.Sprint(i)
		m.begin(id, time.Second)
		m.finish(id, done, decision.NonIdempotent, time.Second)
	}
	if len(m.entries) != maxCompletedJids+1 || m.status("9") != jidUnknown || m.status("10") != jidServed || m.status("in-work") != jidInProgress {
		t.Errorf("%d jids, statuses %v %v %v", len(m.entries), m.status("9"), m.status("10"), m.status("in-work"))
	}
	m.begin("new", time.Second+jidRetention)
	if len(m.entries) != 2 || len(m.completed) != 0 {
		t.Errorf("%d jids after their age", len(m.entries))
	}
}
