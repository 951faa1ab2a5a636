package discovery

import (
	"testing"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// In a large fleet the list of the configuration is published at once, before discovery has answered. Its workers must
// be suspended until then. They were not: the list counted as unknown before it was published, so that publishing it was
// no change of freshness. Attempts were assigned to the workers, and then ended at the check before sending.
func TestInitialListOfALargeFleetIsSuspended(t *testing.T) {
	calls := testkit.Listen(t)
	rig := testkit.NewRig(t, func(settings *decision.Settings) {
		settings.ListBySubscription = true
		settings.Peers = 100
	})
	registry := followDiscovery(t, rig, calls.Addr())
	workerState := func(name string) (suspended, listed bool) {
		rig.Do(func() {
			worker := registry.Worker(name)
			listed = worker != nil
			suspended = listed && worker.suspended
		})
		return suspended, listed
	}
	if suspended, listed := workerState("old"); !listed || !suspended {
		t.Errorf("before discovery has answered: listed %v, suspended %v", listed, suspended)
	}
	rig.Do(func() { registry.Subscribe() })
	call := calls.Accept()
	call.ParseRequest()
	call.Write(testkit.WatchHead + testkit.Chunk(laterSnapshot+"\n"))
	testkit.Until(t, "the list of discovery is in force", func() bool {
		suspended, listed := workerState("new")
		return listed && !suspended
	})
}
