package discovery

import (
	"testing"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// If there are many dispatchers, the initial list is published at once, before discovery has answered. Its workers must
// be suspended until then. Guards against attempts that are assigned to them and then ended at the check before sending:
// the list is unknown even before it is published, so publishing it does not change the state of its freshness.
func TestInitialListWithManyDispatchersIsSuspended(t *testing.T) {
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
