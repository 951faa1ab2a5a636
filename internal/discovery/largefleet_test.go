package discovery

import (
	"testing"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// In a large fleet the list of the configuration is published at once, before discovery was heard. Its workers must get
// nothing until then. They were not suspended: the list had counted as unknown before it was published, so that nothing
// seemed to have changed; attempts were assigned to them and ended, not sent, at the guard.
func TestInitialListOfALargeFleetIsSuspended(t *testing.T) {
	calls := testkit.Listen(t)
	rig := testkit.NewRig(t, func(settings *decision.Settings) {
		settings.ListBySubscription = true
		settings.Peers = 100
	})
	registry := followDiscovery(t, rig, calls.Addr())
	suspended := func(name string) (is, listed bool) {
		rig.Do(func() {
			worker := registry.Worker(name)
			listed = worker != nil
			is = listed && worker.suspended
		})
		return is, listed
	}
	if is, listed := suspended("old"); !listed || !is {
		t.Errorf("before discovery was heard: listed %v, suspended %v", listed, is)
	}
	rig.Do(func() { registry.Subscribe() })
	call := calls.Accept()
	call.ParseRequest()
	call.Write(testkit.WatchHead + testkit.Chunk(laterSnapshot+"\n"))
	testkit.Until(t, "the list of discovery is in force", func() bool {
		is, listed := suspended("new")
		return listed && !is
	})
}
