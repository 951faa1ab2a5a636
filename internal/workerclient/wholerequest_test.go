package workerclient

import (
	"testing"

	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// Guards against a claim that an attempt was never sent, made after the whole request was sent. The invariant guard
// would not accept the claim, but no other test failed when it was made.
func TestResetAfterWholeRequestMakesNoNeverSentClaim(t *testing.T) {
	rig := testkit.NewRig(t)
	worker := testkit.Listen(t)
	startSoleWorkerClient(t, rig, worker.Addr(), noReuseDelay)
	responses := post(rig, testkit.Renewal, "id000001")
	conn := worker.Accept()
	conn.ParseRequest()
	conn.Reset()
	checkOutcome(t, "reset after the whole request", responses, dispatch.Failed)
	rig.Do(func() {
		if violated := rig.Dispatcher.Guard.Violated(); len(violated) > 0 {
			t.Errorf("violated %v, want none", violated)
		}
	})
}
