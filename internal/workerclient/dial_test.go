package workerclient

import (
	"slices"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/testkit"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// An attempt for which no descriptor is free, since there are idle connections to another worker, is sent once those
// are closed: a shortage of this process says nothing of the worker, and must not end the attempt.
func TestAttemptWaitsForADescriptor(t *testing.T) {
	const (
		descriptors    = 64
		ownDescriptors = 24 // of them that neither clients nor workers get
	)
	maxDials := descriptors - ownDescriptors - transport.AcceptedShare(descriptors)
	rig := testkit.NewRig(t).WithSubscription(t, 1, 10*time.Second)
	rig.LimitDescriptors(t, descriptors)
	startFrontEnd(t, rig, transport.AcceptedShare(descriptors))
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
