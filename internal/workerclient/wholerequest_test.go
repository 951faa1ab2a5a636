package workerclient

import (
	"testing"

	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// Guards against a claim that nothing was sent where the whole request was: the guard would not believe it, but no test
// failed.
func TestResetBehindTheWholeRequestClaimsNothing(t *testing.T) {
	rig := testkit.NewRig(t)
	worker := testkit.Listen(t)
	startSoleWorkerClient(t, rig, worker.Addr(), reuseAtOnce)
	responses := post(rig, testkit.Renewal, "id000001")
	conn := worker.Accept()
	conn.ParseRequest()
	conn.Reset()
	checkOutcome(t, "reset behind the whole request", responses, dispatch.Failed)
	rig.Do(func() {
		if violated := rig.Dispatcher.Guard.Violated(); len(violated) > 0 {
			t.Errorf("violated %v, want nothing", violated)
		}
	})
}
