package workerclient

import (
	"strings"
	"testing"

	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// Checks that a health check without a response times out, also on a new connection, and that the connection of a
// health check with a response is reused for an attempt.
func TestHealthChecks(t *testing.T) {
	rig := testkit.NewRig(t)
	worker := testkit.NewScriptedWorker(t)
	silentWorker := testkit.Listen(t)
	var client *Client
	rig.Do(func() {
		client = newWorkerClient(t, rig,
			listedWorker{Name: soleWorker, Address: worker.Addr(), Health: "ready"},
			listedWorker{Name: "silent", Address: silentWorker.Addr(), Health: "draining"},
		)
		client.reuseDelay = noReuseDelay
		client.CheckHealth("silent")
		client.CheckHealth("unlisted")
	})
	text, err := silentWorker.Accept().ReadRest()
	if err != nil || !strings.HasPrefix(text, "GET /load HTTP/1.1\r\n") {
		t.Errorf("the health check is %q, %v", text, err)
	}

	worker.SetScripts(testkit.LoadResponse, testkit.ChunkedResponse(testkit.DoneLine))
	rig.Do(func() { client.CheckHealth(soleWorker) })
	testkit.Until(t, "the health check's connection is idle", func() bool {
		return idleConnections(rig, client, soleWorker) == 1
	})
	request := newRequest(rig, testkit.Renewal, "id000001")
	request.Body = nil
	checkOutcome(t, "after the health check", rig.Accept(request), dispatch.Served)
	if accepted := worker.ConnectionsAccepted(); accepted != 1 {
		t.Errorf("%d connections were opened, want 1", accepted)
	}
}
