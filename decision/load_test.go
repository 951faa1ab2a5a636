package decision

import (
	"testing"
)

// Requests that other dispatchers have outstanding at a worker count as load, like the dispatcher's own
// attempts.
func TestOthersOutstandingCounts(t *testing.T) {
	rig := newRig(t, testSettings(), 2)
	rig.ceilings.concurrencyPerWorker = 100
	rig.handle(
		rig.now,
		Event{Kind: HealthChecked, Worker: "w0", Load: LoadReport{Outstanding: 5, HasOutstanding: true}},
	)
	for range 3 {
		if rig.send(0) != "w1" {
			t.Fatal("a worker with five requests of other dispatchers was chosen instead of an idle one")
		}
	}
}

// For workers that this dispatcher has not used recently, load-adjusted weights are its only information
// about the load from other dispatchers.
func TestLoadAdjustedWeightsCountAsOthersLoad(t *testing.T) {
	settings := testSettings()
	settings.LoadAdjustedWeights = true
	rig := newRig(t, settings, 2)
	rig.updateList(
		Endpoint{Name: "w0", Weight: 2}, // size / (1 + 2): two requests per core
		Endpoint{Name: "w1", Weight: 6},
	)
	rig.expectAllAt("w1", "sent to the worker that other dispatchers have loaded")
}

// A reported backlog counts as load of other dispatchers.
func TestReportedBacklogCounts(t *testing.T) {
	rig := newRig(t, testSettings(), 2)
	rig.handle(
		rig.now,
		Event{Kind: HealthChecked, Worker: "w0", Load: LoadReport{Backlog: 3, HasBacklog: true}},
	)
	rig.expectAllAt("w1", "sent to the worker with a backlog")
}
