package decision

import (
	"testing"
	"time"
)

// With CacheMissCost, all dispatchers send the requests with a key to the same few workers, and to other
// workers only if those are full.
func TestAllDispatchersSendAKeyToItsOwners(t *testing.T) {
	settings := testSettings()
	settings.CacheMissCost = 0.15
	owners := map[string]bool{}
	var rig *rig
	keyed := func() string { return rig.assignedTo(rig.arriveWithKey(0, "k")) }
	for seed := range uint64(20) {
		rig = newSeededRig(t, settings, 50, seed)
		owners[keyed()] = true
	}
	if len(owners) > 2 {
		t.Fatalf("20 dispatchers send one key to %d workers, want 2 at most", len(owners))
	}
	for _, worker := range rig.ring.sorted {
		if owners[worker.Name] {
			worker.saturatedUntil = rig.now + time.Hour
		}
	}
	if w := keyed(); w == "" || owners[w] {
		t.Fatalf("sent to %q while the owners are full", w)
	}
}

// Without CacheMissCost, every dispatcher sends a rare key to the same eight workers. A frequent key would
// overload these, and is cached everywhere anyway. While a worker is ejected or many outcomes are bad, a rare
// key is sent to any worker, since the state of the workers then matters more than their caches.
func TestOnlyRareKeysHaveOwnersWhereAMissHasNoPrice(t *testing.T) {
	owners := map[string]bool{}
	frequent := map[string]bool{}
	faulty := map[string]bool{}
	faults := map[string]func(*rig){
		"an ejected worker": func(rig *rig) { rig.setFailureScore(rig.fleet[0], 1, reasonAttemptsFail) },
		"many bad outcomes": func(rig *rig) { rig.ceilings.badRatio = overloadBadRatio },
	}
	for seed := range uint64(60) {
		healthy := newSeededRig(t, testSettings(), 50, seed)
		owners[healthy.assignedTo(healthy.arriveWithKey(0, "k"))] = true
		for name, cause := range faults {
			rig := newSeededRig(t, testSettings(), 50, seed)
			cause(rig)
			faulty[name+rig.assignedTo(rig.arriveWithKey(0, "k"))] = true
		}
		for range 8 {
			healthy.now += 5 * time.Second
			id := healthy.arriveWithKey(0, "k")
			frequent[healthy.assignedTo(id)] = true
			healthy.endAttempt(id, 0, Completed, time.Second)
		}
	}
	if len(owners) > maxOwners || len(owners) < maxOwners/2 {
		t.Fatalf("60 dispatchers send a rare key to %d workers, want maxOwners/2 to maxOwners", len(owners))
	}
	if len(faulty) < 2*3*maxOwners {
		t.Fatalf("during a fault they send a rare key to %d workers", len(faulty)/2)
	}
	if len(frequent) < 3*maxOwners {
		t.Fatalf("they send a frequent key to %d workers", len(frequent))
	}
}
