package admin

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/invariant"
)

// Each final response counts once under its class, also one that a front end gives without
// the dispatcher. Attempts count once they are sent, not when they are assigned. Only
// workers of the API's own source count as discovered.
func TestCounters(t *testing.T) {
	api := newTestAPI(t)
	api.runOnLoop(func() {
		dispatcher := api.dispatcher
		api.addScriptedWorkers()
		other := otherWorkers{scriptedWorkers{dispatcher}}
		dispatcher.UpdateWorkers(other, decision.ListSnapshot, []decision.Endpoint{{Name: "other", Kind: 5}})
		api.acceptScripted()
		cancelled := dispatcher.Accept(discardResponses{}, 10, dispatch.Request{ID: "hold-3", Class: 1})
		dispatcher.Cancel(cancelled)
		dispatcher.CountResponse(0, dispatch.Rejected)
	})
	_, body := api.call(t, calls[1].text)
	var got map[string]any
	if err := json.Unmarshal([]byte(body), &got); err != nil {
		t.Fatal(err)
	}
	want := `map[aborted:map[renewal:1 status-check:0] declined:map[renewal:0 status-check:2] discovered:3 ejected:0 ` +
		`forwards:7 outstanding:2 succeeded:map[renewal:1 status-check:1]]`
	if fmt.Sprint(got) != want {
		t.Errorf("counters %v,\n    want %v", got, want)
	}
}

// The counts of prevented and of violated invariants are reported by rule.
func TestInvariants(t *testing.T) {
	api := newTestAPI(t)
	api.runOnLoop(func() {
		api.dispatcher.Guard.MaySend(invariant.Send{Now: 2, Deadline: 1})
		api.dispatcher.Guard.CheckClosed(true, "a connection")
	})
	_, body := api.call(t, "GET /control/invariants HTTP/1.1\r\nHost: d\r\n\r\n")
	if want := `{"prevented":{"deadline":1},"violated":{"unanswered":1}}`; strings.TrimSpace(body) != want {
		t.Errorf("%q, not %q", body, want)
	}
}
