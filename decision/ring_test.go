package decision

import (
	"testing"
	"time"
)

// Where a cache miss has a price, all dispatchers send a key to the same few workers, and elsewhere when
// those are full.
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
		t.Fatalf("20 dispatchers send one key to %d workers", len(owners))
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

// Where a cache miss has no price, rare keys go to the same eight workers from every dispatcher. A frequent
// key would overload these, and is cached everywhere. During a fault, what is known of workers counts for
// more than their caches.
func TestOnlyRareKeysHaveOwnersWhereAMissHasNoPrice(t *testing.T) {
	owners := map[string]bool{}
	frequent := map[string]bool{}
	faulty := map[string]bool{}
	faults := map[string]func(*rig){
		"an ejected worker": func(rig *rig) { rig.setFailureScore(rig.fleet[0], 1, attemptsFail) },
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
		t.Fatalf("60 dispatchers send a rare key to %d workers", len(owners))
	}
	if len(faulty) < 2*3*maxOwners {
		t.Fatalf("during a fault they send a rare key to %d workers", len(faulty)/2)
	}
	if len(frequent) < 3*maxOwners {
		t.Fatalf("they send a frequent key to %d workers", len(frequent))
	}
}
