package workerclient

import (
	"fmt"
	"strings"
	"testing"

	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/goldentest"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// Compares the requests that a worker receives: attempts with and without a target, one with an idempotency key, and a
// health check.
func TestGoldenRequests(t *testing.T) {
	const doneAndClose = testkit.StatusLineOK + "Connection: close\r\n\r\n" + testkit.DoneText
	rig := testkit.NewRig(t)
	worker := testkit.Listen(t)
	var client *Client
	rig.Do(func() {
		client = newWorkerClient(t, rig, listedWorker{Name: soleWorker, Address: worker.Addr(), Zone: "here", Health: "ready"})
	})
	var text strings.Builder
	for i, request := range []dispatch.Request{
		{Class: testkit.Renewal, Target: "/renewal/a/k?q=1", Key: "k", Body: []byte("body\r\n")},
		{Class: testkit.StatusCheck, Target: "/status-check", IdempotencyKey: "key-1"},
		{Class: testkit.Renewal, Key: "a b/ü%", Body: []byte("{}")},
		{Class: testkit.StatusCheck},
	} {
		request.ID = fmt.Sprintf("id%06d", i)
		request.Work = testWork
		responses := rig.Accept(request)
		conn := worker.Accept()
		text.WriteString(conn.ReadRequest(len(request.Body)) + "\n---\n")
		conn.Write(testkit.WithID(doneAndClose, request.ID))
		conn.Close()
		response := testkit.Receive(t, responses)
		if response.Outcome != dispatch.Served || string(response.Body) != "made" {
			t.Errorf("request %d: %v %q", i, response.Outcome, response.Body)
		}
	}
	rig.Do(func() { client.CheckHealth(soleWorker) })
	text.WriteString(worker.Accept().ReadRequest(0))
	goldentest.CompareHTTP(t, "toworkers.golden", text.String())
}
