package faktory

import (
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
)

// Guards against a deduplicated job that runs twice: a retry that has waited for its worker's next FETCH is handed out
// after the dedup window, when workers no longer recognize it as a duplicate.
func TestRetryIsNotHandedOutAfterDedupWindow(t *testing.T) {
	const window = 400 * time.Millisecond
	address, _ := openFrontEnd(t, serverConfig, func(settings *decision.Settings) {
		settings.Classes = append(settings.Classes, decision.Class{
			Name:             "transfer",
			PriorityWeight:   4,
			LateWeight:       1,
			LatencyObjective: 4 * time.Second,
			Deadline:         5 * time.Second,
			Idempotency:      decision.Deduplicated,
			DedupWindow:      window,
		})
	})
	first := dialWorker(t, address, "w1")
	answer := pushAsync(t, address, pushCommand("job-00001", "transfer", ""))
	first.expectFetch("transfer", "job-00001")
	time.Sleep(100 * time.Millisecond)
	if got := first.do(`FAIL {"jid":"job-00001"}`); got != "+OK" {
		t.Fatal(got)
	}
	time.Sleep(2 * window)
	if raw := first.do("FETCH transfer"); jidOf(raw) == "job-00001" {
		t.Errorf("%q was handed out again %v after its first attempt", raw, 2*window)
	}
	if got := awaitAnswer(t, answer); got == "+OK" {
		t.Errorf("%q, though it was never served", got)
	}
}
