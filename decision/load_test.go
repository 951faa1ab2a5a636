package decision

import (
	"testing"
)

// What other dispatchers have outstanding at a worker delays a request there as much as own attempts do.
func TestOthersOutstandingCounts(t *testing.T) {
	rig := newRig(t, testSettings(), 2)
	rig.ceilings.concurrencyPerWorker = 100
	rig.handle(
		rig.now,
		Event{Kind: HealthChecked, Worker: "w0", Load: LoadReport{Outstanding: 5, HasOutstanding: true}},
	)
	for range 3 {
		if rig.send(0) != "w1" {
			t.Fatal("a worker with five requests of others was taken before an idle one")
		}
	}
}

// Load-adjusted weights are the only source for the load of other dispatchers at workers that this one has
// not used lately.
func TestLoadAdjustedWeightsCountAsOthersLoad(t *testing.T) {
	settings := testSettings()
	settings.LoadAdjustedWeights = true
	rig := newRig(t, settings, 2)
	rig.updateList(
		Endpoint{Name: "w0", Weight: 2}, // it holds two requests a core, and did so at the start
		Endpoint{Name: "w1", Weight: 6},
	)
	rig.expectAllAt("w1", "sent to the worker that others load")
}

// A reported backlog is others' load too.
func TestReportedBacklogCounts(t *testing.T) {
	rig := newRig(t, testSettings(), 2)
	rig.handle(
		rig.now,
		Event{Kind: HealthChecked, Worker: "w0", Load: LoadReport{Backlog: 3, HasBacklog: true}},
	)
	rig.expectAllAt("w1", "sent to the worker with a backlog")
}
