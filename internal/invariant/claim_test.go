package invariant

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a log that grows without limit or loses the newest claims.
func TestClaimLogKeepsTheLatest(t *testing.T) {
	var log ClaimLog
	const added = maxClaims + 10
	for i := range added {
		log.Add(Claim{At: time.Duration(i), Request: fmt.Sprint("r", i%2), Attempt: i})
	}
	found := log.ForRequest("r1")
	if len(found) != maxClaims/2 {
		t.Fatalf("%d claims of one of two requests, want %d", len(found), maxClaims/2)
	}
	for i, claim := range found {
		if want := added - maxClaims + 1 + 2*i; claim.Attempt != want {
			t.Fatalf("claim %d is of attempt %d, want %d", i, claim.Attempt, want)
		}
	}
	if len(log.ForRequest("r2")) > 0 {
		t.Error("claims were found for a request without claims")
	}
}

// Guards against believing a claim that an attempt was never sent after a report that it was sent or started.
func TestCheckNeverSentCountsContradictions(t *testing.T) {
	var guard Guard
	for reported, want := range map[ReportedProgress]bool{NothingReported: true, SentReported: false, StartReported: false} {
		if got := guard.CheckNeverSentClaim(reported, "attempt"); got != want {
			t.Errorf("after %v: believed %v, want %v", reported, got, want)
		}
	}
	if got := guard.Violated()["contradiction"]; got != 2 {
		t.Errorf("%d violations, want 2", got)
	}
}
