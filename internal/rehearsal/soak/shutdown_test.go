package soak

import (
	"testing"
	"time"
)

// The SIGKILL after a SIGTERM excuses a missing answer only if the request arrived within 0.7 s after SIGTERM and its
// client still waited. Excusing more would hide requests that a dispatcher takes and never answers.
func TestKillAfterTermExcusesOnlyEarlyRequestsInTheirTime(t *testing.T) {
	terminatedAt := time.Now()
	ended := shutdown{terminatedAt: terminatedAt, killedAt: terminatedAt.Add(killAfterTerm)}
	for _, test := range []struct {
		name    string
		sent    time.Duration // after SIGTERM
		timeout time.Duration
		want    bool
	}{
		{"before SIGTERM, its time lasts beyond the kill", -100 * time.Millisecond, 4 * time.Second, true},
		{"soon after SIGTERM, its time lasts beyond the kill", 690 * time.Millisecond, 4 * time.Second, true},
		{"soon after SIGTERM, its time was over", 690 * time.Millisecond, 3 * time.Second, false},
		{"late after SIGTERM", 710 * time.Millisecond, 4 * time.Second, false},
	} {
		sent := request{sentAt: terminatedAt.Add(test.sent), timeout: test.timeout}
		if got := ended.excuses(&sent); got != test.want {
			t.Errorf("%s: excused %v, want %v", test.name, got, test.want)
		}
	}
	if want := 3700 * time.Millisecond; killAfterTerm != want {
		t.Errorf("the kill comes %v after SIGTERM, want %v", killAfterTerm, want)
	}
}
