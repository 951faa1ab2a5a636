package workerclient

import (
	"slices"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/testkit"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// Checks that an attempt is sent if no descriptor is free for its connection because idle connections to another worker
// use them. The client must close those and retry the dial: a lack of descriptors in this process does not mean that
// the worker is unreachable, and must not end the attempt.
func TestAttemptWaitsForADescriptor(t *testing.T) {
	const (
		descriptors    = 64
		ownDescriptors = 24 // those of the descriptors that are used neither for clients nor for workers
	)
	maxDials := descriptors - ownDescriptors - transport.AcceptedDescriptors(descriptors)
	rig := testkit.NewRig(t).WithSubscription(t, 1, 10*time.Second)
	rig.LimitDescriptors(t, descriptors)
	startFrontEnd(t, rig, transport.AcceptedDescriptors(descriptors))
	otherWorker := testkit.NewScriptedWorker(t)
	otherWorker.SetScripts(slices.Repeat([]string{testkit.LoadResponse}, maxDials)...)
	worker := testkit.NewScriptedWorker(t)
	worker.SetScripts(testkit.ChunkedResponse(testkit.DoneLine))
	var client *Client
	rig.Do(func() {
		client = newWorkerClient(t, rig,
			listedWorker{Name: "other", Address: otherWorker.Addr(), Health: "draining"},
			listedWorker{Name: "own", Address: worker.Addr(), Health: "ready"},
		)
		for range maxDials {
			client.CheckHealth("other")
		}
	})
	testkit.Until(t, "all connections are idle", func() bool { return idleConnections(rig, client, "other") == maxDials })
	if free := rig.FillDescriptors(t, worker.Addr()); free != 0 {
		t.Fatalf("%d descriptors were free", free)
	}
	checkOutcome(t, "the request", post(rig, testkit.Renewal, "id000001"), dispatch.Served)
}
