package workerclient

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/goldentest"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// The requests that a worker gets: attempts with and without a target, with an idempotency key, and a health check.
func TestGoldenRequests(t *testing.T) {
	rig := testkit.NewRig(t)
	addr, accept := testkit.ListenOnLoopback(t)
	var client *Client
	rig.Do(func() {
		client = newWorkerClient(rig, "")
		if err := client.registry.LoadInitial(fmt.Appendf(nil, `{"hosts":[{"host":"s","dial":%q,"site":"here","health":"ready"}]}`, addr)); err != nil {
			t.Error(err)
		}
	})
	var text strings.Builder
	for i, request := range []dispatch.Request{
		{Class: 1, Target: "/renewal/a/k?q=1", Key: "k", Body: []byte("body\r\n")},
		{Class: 0, Target: "/status-check", IdempotencyKey: "key-1"},
		{Class: 1, Key: "a b/ü%", Body: []byte("{}")},
		{Class: 0},
	} {
		request.ID, request.Work = fmt.Sprintf("id%06d", i), 1e6
		got := make(testkit.Responses, 1)
		rig.Do(func() { rig.Dispatcher.Accept(got, 0, request) })
		conn := accept()
		text.WriteString(conn.ReadRequest(len(request.Body)) + "\n---\n")
		io.WriteString(conn.Conn, strings.ReplaceAll(testkit.StatusLineOK+"Connection: close\r\n\r\n"+testkit.DoneText, "IDENTITY", request.ID))
		conn.Conn.Close()
		select {
		case a := <-got:
			if a.Outcome != dispatch.Served || string(a.Body) != "made" {
				t.Errorf("request %d: %v %q", i, a.Outcome, a.Body)
			}
		case <-time.After(testkit.Patience):
			t.Fatal("no response")
		}
	}
	rig.Do(func() { client.CheckHealth("s") })
	text.WriteString(accept().ReadRequest(0))
	goldentest.CompareHTTP(t, "toworkers.golden", text.String())
}
