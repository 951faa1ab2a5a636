package main

import (
	"bytes"
	"encoding/json"
	"math"
	"os"
	"testing"

	"github.com/anishathalye/porcupine"
)

// historyCall is one call of a client, by the client's clock in nanoseconds.
type historyCall struct {
	Client int
	Kind   string // push, lease, start, ack
	Jid    string
	Fence  uint64
	Began  int64
	Ended  int64 // 0: it was not answered
	OK     bool
}

// readHistory reads a worker's calls: each is written as it begins, and once more as it ends.
func readHistory(t *testing.T, name string) (list []historyCall) {
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	open := map[int]int{} // by client: the index of its call without an end
	for line := range bytes.Lines(text) {
		var k historyCall
		if json.Unmarshal(line, &k) != nil {
			continue // cut off by a kill
		}
		if at, is := open[k.Client]; is && list[at].Ended == 0 && k.Ended != 0 && list[at].Began == k.Began {
			list[at] = k
			continue
		}
		open[k.Client] = len(list)
		list = append(list, k)
	}
	return list
}

// leaseState is the model's state of a job.
type leaseState struct {
	pushed, started, done bool
	fence                 uint64
}

// linearizable reports whether a job's calls can have happened one after the other, each
// between its beginning and its end, by the rules of leases.
func linearizable(promise string, calls []historyCall) bool {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{leaseState{}} },
		Step: func(state, input, output any) []any {
			b, k := state.(leaseState), input.(historyCall)
			after := b
			may := true
			switch k.Kind {
			case "push":
				after.pushed = true
			case "lease": // only leases that were answered are recorded
				may = b.pushed && !b.done && k.Fence > b.fence && (promise == promiseIdempotent || !b.started && (promise != "" || b.fence == 0))
				after.fence = k.Fence
			case "start":
				may = k.Fence == b.fence && !b.done
				after.started = true
			case "ack":
				may = b.done || k.Fence == b.fence
				after.done = true
			}
			switch {
			case k.Ended != 0 && k.OK && may:
				return []any{after}
			case k.Ended != 0 && k.OK:
				return nil
			case k.Ended == 0 && may: // it may have been handled or not
				return []any{b, after}
			}
			return []any{b}
		},
		Equal: func(a, b any) bool { return a == b },
	}
	var operations []porcupine.Operation
	for _, k := range calls {
		ended := k.Ended
		if ended == 0 {
			ended = math.MaxInt64
		}
		operations = append(operations, porcupine.Operation{ClientId: 0, Input: k, Call: k.Began, Output: k, Return: ended})
	}
	return porcupine.CheckOperations(model.ToModel(), operations)
}
