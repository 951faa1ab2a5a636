package decision

import (
	"testing"
	"time"
)

// Where a cache miss has a price, all dispatchers send a key to the same few workers, and elsewhere when
// those are full.
func TestKeysHaveOwners(t *testing.T) {
	settings := testSettings()
	settings.CacheMissCost = 0.15
	homes := map[string]bool{}
	var rig *rig
	keyed := func() string { return rig.assignedTo(rig.arriveWithKey(0, "k")) }
	for seed := range uint64(20) {
		rig = newSeededRig(t, settings, 50, seed)
		homes[keyed()] = true
	}
	if len(homes) > 2 {
		t.Fatalf("20 dispatchers send one key to %d workers", len(homes))
	}
	for _, worker := range rig.ring {
		if homes[worker.Name] {
			worker.saturatedUntil = rig.now + time.Hour
		}
	}
	if w := keyed(); w == "" || homes[w] {
		t.Fatalf("sent to %q while the homes are full", w)
	}
}

// A worker caches what few keys name. Where a miss has no price, rare keys go to the same eight workers
// from every dispatcher; a frequent one would overrun those, and is cached everywhere.
func TestRareKeysHaveOwnersWithoutAPrice(t *testing.T) {
	homes, often, trouble := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for seed := range uint64(60) {
		r := newSeededRig(t, testSettings(), 50, seed)
		homes[r.assignedTo(r.arriveWithKey(0, "k"))] = true
		for name, wrong := range map[string]func(*rig){
			"a suspect":         func(rig *rig) { rig.setFailureScore(rig.fleet[0], 1, attemptsFail) },
			"many bad outcomes": func(rig *rig) { rig.badRatio = overloadBadRatio },
		} { // then what is known of workers counts for more than what they keep
			rig := newSeededRig(t, testSettings(), 50, seed)
			wrong(rig)
			trouble[name+rig.assignedTo(rig.arriveWithKey(0, "k"))] = true
		}
		for range 8 {
			r.now += 5 * time.Second
			id := r.arriveWithKey(0, "k")
			often[r.assignedTo(id)] = true
			r.endAttempt(id, 0, Completed, time.Second)
		}
	}
	if len(homes) > maxOwners || len(homes) < maxOwners/2 {
		t.Fatalf("60 dispatchers send a rare key to %d workers", len(homes))
	}
	if len(trouble) < 2*3*maxOwners {
		t.Fatalf("in trouble they send a rare key to %d workers", len(trouble)/2)
	}
	if len(often) < 3*maxOwners {
		t.Fatalf("they send one that they meet all the time to %d", len(often))
	}
}
