package soak

import (
	"slices"
	"testing"
	"time"
)

// The same seed gives the same schedule, and each kind of fault occurs in the schedules of a few seeds.
func TestScheduleFollowsSeed(t *testing.T) {
	config := Config{Duration: time.Minute}
	config.setDefaults()
	seen := map[faultKind]bool{}
	for seed := range uint64(10) {
		faults := scheduleFaults(seed, config)
		if !slices.Equal(faults, scheduleFaults(seed, config)) {
			t.Fatalf("seed %d gives two different schedules", seed)
		}
		for _, scheduled := range faults {
			seen[scheduled.kind] = true
			if scheduled.start >= config.Duration || scheduled.duration > maxDuration[scheduled.kind] {
				t.Errorf("seed %d: fault %v at %v for %v is out of range", seed, scheduled.kind, scheduled.start, scheduled.duration)
			}
		}
	}
	if len(seen) != int(faultKinds) {
		t.Errorf("only %d kinds of %d occur", len(seen), faultKinds)
	}
}
