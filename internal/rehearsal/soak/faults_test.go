package soak

import (
	"slices"
	"testing"
	"time"
)

// The same seed gives the same faults, and each kind occurs within some seeds.
func TestScheduleFollowsSeed(t *testing.T) {
	config := Config{Duration: time.Minute}
	config.setDefaults()
	seen := map[faultKind]bool{}
	for seed := range uint64(10) {
		faults := schedule(seed, config)
		if !slices.Equal(faults, schedule(seed, config)) {
			t.Fatalf("seed %d gives two schedules", seed)
		}
		for _, scheduled := range faults {
			seen[scheduled.kind] = true
			if scheduled.start >= config.Duration || scheduled.duration > maxDuration[scheduled.kind] {
				t.Errorf("seed %d: %v at %v for %v", seed, scheduled.kind, scheduled.start, scheduled.duration)
			}
		}
	}
	if len(seen) != int(faultKinds) {
		t.Errorf("only %d kinds of %d occur", len(seen), faultKinds)
	}
}
