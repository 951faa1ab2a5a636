package dispatch

import (
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/eventloop"
)

// A snapshot from one source does not change the workers of another source.
func TestSnapshotLeavesOtherSourcesAlone(t *testing.T) {
	d := newTestDispatcher(t, eventloop.New(), decision.Settings{Classes: []decision.Class{{Deadline: time.Second}}})
	a, b := &recordingClient{}, &recordingClient{}
	d.UpdateWorkers(a, decision.ListSnapshot, []decision.Endpoint{{Name: "a1"}, {Name: "a2"}})
	d.UpdateWorkers(b, decision.ListDelta, []decision.Endpoint{{Name: "b1"}, {Name: "b2", State: decision.Draining}})
	d.UpdateWorkers(a, decision.ListSnapshot, []decision.Endpoint{{Name: "a2"}})
	if len(d.workers.listed) != 3 || d.workers.listed["b1"].source != b || d.ReadyWorkers() != 2 {
		t.Fatalf("listed %v, %d ready; want a2, b1 and b2, 2 ready", d.workers.listed, d.ReadyWorkers())
	}
	d.UpdateWorkers(b, decision.ListDelta, []decision.Endpoint{{Name: "b1", State: decision.Removed}})
	if len(d.workers.listed) != 2 || d.ReadyWorkers() != 1 {
		t.Fatalf("listed %v, %d ready; want a2 and b2, 1 ready", d.workers.listed, d.ReadyWorkers())
	}
}

// The number of ready workers, which each update adjusts, equals the number of running workers in the list.
func TestReadyWorkersMatchesList(t *testing.T) {
	d := newTestDispatcher(t, eventloop.New(), decision.Settings{Classes: []decision.Class{{Deadline: time.Second}}})
	one, other := &recordingClient{}, &recordingClient{}
	endpoint := func(name string, state decision.WorkerState) decision.Endpoint {
		return decision.Endpoint{Name: name, State: state}
	}
	list := func(endpoints ...decision.Endpoint) []decision.Endpoint { return endpoints }
	const running, draining, removed = decision.Running, decision.Draining, decision.Removed
	for i, step := range []struct {
		source    *recordingClient
		kind      decision.ListKind
		endpoints []decision.Endpoint
		want      int
	}{
		{one, decision.ListCached, list(endpoint("a", running), endpoint("b", draining), endpoint("a", running)), 1},
		{other, decision.ListSnapshot, list(endpoint("c", running), endpoint("d", running)), 3},
		{one, decision.ListDelta, list(endpoint("b", running), endpoint("a", draining), endpoint("e", removed)), 3},
		{one, decision.ListDelta, list(endpoint("b", removed), endpoint("b", removed), endpoint("a", draining)), 2},
		{other, decision.ListSnapshot, list(endpoint("d", running)), 1},
		{one, decision.ListFailed, nil, 1},
		{other, decision.ListSnapshot, nil, 0},
	} {
		d.UpdateWorkers(step.source, step.kind, step.endpoints)
		counted := 0
		for _, listed := range d.workers.listed {
			if listed.endpoint.State == running {
				counted++
			}
		}
		if d.ReadyWorkers() != step.want || counted != step.want {
			t.Errorf("step %d: %d workers are ready, %d counted, want %d", i, d.ReadyWorkers(), counted, step.want)
		}
	}
}
