package workerclient

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/httpfront"
	"hollyyoke.example/hollyyoke/internal/testkit"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// An attempt for which no descriptor is free, since there are idle connections to another worker, is sent once those
// are closed: a shortage of this process says nothing of the worker, and must not end the attempt.
func TestAttemptWaitsForADescriptor(t *testing.T) {
	const descriptors = 64
	rig := testkit.NewRig(t).WithSubscription(t, 1, 10*time.Second)
	rig.LimitDescriptors(t, descriptors)
	rig.Do(func() {
		front := httpfront.New(rig.Dispatcher, rig.Engine, 64<<20, func() bool { return true })
		if _, err := front.Listen("127.0.0.1:0", transport.AcceptedShare(descriptors)); err != nil {
			t.Error(err)
		}
	})
	other, own := testkit.NewScriptedWorker(t), testkit.NewScriptedWorker(t)
	maxDials := descriptors - 24 - transport.AcceptedShare(descriptors) // for connections that we open
	other.SetScripts(slices.Repeat([]string{testkit.LoadResponse}, maxDials)...)
	own.SetScripts(testkit.ChunkedResponse(testkit.DoneLine))
	var client *Client
	rig.Do(func() {
		client = newWorkerClient(rig, "")
		if err := client.registry.LoadInitial(fmt.Appendf(nil, `{"hosts":[{"host":"other","dial":%q,"health":"draining"},{"host":"own","dial":%q,"health":"ready"}]}`,
			other.Addr(), own.Addr())); err != nil {
			t.Error(err)
		}
		for range maxDials {
			client.CheckHealth("other")
		}
	})
	testkit.Until(t, "all connections are idle", func() (full bool) {
		rig.Do(func() { full = len(client.idle[client.registry.Worker("other")]) == maxDials })
		return full
	})
	if n := rig.FillDescriptors(t, own.Addr()); n != 0 {
		t.Fatalf("%d descriptors were free", n)
	}
	if v := awaitOutcome(t, acceptRequest(rig, 1, "id000001")); v != dispatch.Served {
		t.Errorf("the request ended as %v", v)
	}
}
