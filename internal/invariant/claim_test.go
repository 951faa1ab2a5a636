package invariant

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a record that grows without end or loses the newest claims.
func TestClaimLogKeepsTheLatest(t *testing.T) {
	var log ClaimLog
	const added = maxClaims + 10
	for i := range added {
		log.Add(Claim{At: time.Duration(i), Request: fmt.Sprint("r", i%2), Attempt: i})
	}
	found := log.Of("r1")
	if len(found) != maxClaims/2 {
		t.Fatalf("%d claims of one of two requests, want %d", len(found), maxClaims/2)
	}
	for i, claim := range found {
		if want := added - maxClaims + 1 + 2*i; claim.Attempt != want {
			t.Fatalf("claim %d is of attempt %d, want %d", i, claim.Attempt, want)
		}
	}
	if len(log.Of("r2")) > 0 {
		t.Error("claims of a request that made none")
	}
}

// Guards against a claim of 'never sent' that is believed after a report to the contrary.
func TestCheckNeverSentCountsContradictions(t *testing.T) {
	var guard Guard
	for reported, want := range map[Reported]bool{NothingReported: true, SentReported: false, StartReported: false} {
		if got := guard.CheckNeverSent(reported, "attempt"); got != want {
			t.Errorf("after %v: believed %v, want %v", reported, got, want)
		}
	}
	if got := guard.Violated()["contradiction"]; got != 2 {
		t.Errorf("%d violations, want 2", got)
	}
}
