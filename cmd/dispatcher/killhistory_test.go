package main

import (
	"bytes"
	"encoding/json"
	"math"
	"os"
	"testing"

	"github.com/anishathalye/porcupine"
)

// callKind is what a call asks for.
type callKind string

const (
	callPush  callKind = "push"
	callLease callKind = "lease"
	callStart callKind = "start"
	callAck   callKind = "ack"
)

// historyCall is one call of a client, by the client's clock in nanoseconds.
type historyCall struct {
	Client int
	Kind   callKind
	Jid    string
	Fence  uint64
	Began  int64
	Ended  int64 // 0: it was not answered
	OK     bool
}

// answered reports whether the client has the answer.
func (c historyCall) answered() bool { return c.Ended != 0 }

// readHistory reads a worker's calls: each is written as it begins, and once more as it ends.
func readHistory(t *testing.T, name string) (calls []historyCall) {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	lastByClient := map[int]int{} // indexes of calls
	for line := range bytes.Lines(text) {
		var call historyCall
		if json.Unmarshal(line, &call) != nil {
			continue // cut off by a kill
		}
		last, found := lastByClient[call.Client]
		endsLast := found && !calls[last].answered() && call.answered() && calls[last].Began == call.Began
		if endsLast {
			calls[last] = call
			continue
		}
		lastByClient[call.Client] = len(calls)
		calls = append(calls, call)
	}
	return calls
}

// leaseState is the model's state of a job.
type leaseState struct {
	pushed, started, done bool
	fence                 uint64 // of the last lease; 0: it was not leased
}

// apply returns the state after a call that is granted, and whether the rules of leases
// allow to grant it.
func (s leaseState) apply(promise string, call historyCall) (after leaseState, allowed bool) {
	after = s
	switch call.Kind {
	case callPush:
		after.pushed = true
		allowed = true
	case callLease:
		after.fence = call.Fence
		allowed = s.pushed && !s.done && call.Fence > s.fence && s.mayBeLeased(promise)
	case callStart:
		after.started = true
		allowed = call.Fence == s.fence && !s.done
	case callAck:
		after.done = true
		allowed = s.done || call.Fence == s.fence
	}
	return after, allowed
}

// mayBeLeased reports whether a job may be leased to a worker with a promise, though it
// may have been leased before.
func (s leaseState) mayBeLeased(promise string) bool {
	switch promise {
	case promiseIdempotent:
		return true
	case promiseFences:
		return !s.started
	default:
		return !s.started && s.fence == 0
	}
}

// next returns the states in which a job can be after a call. Of leases only those that
// were answered are recorded.
func (s leaseState) next(promise string, call historyCall) []any {
	after, allowed := s.apply(promise, call)
	switch {
	case call.answered() && call.OK && allowed:
		return []any{after}
	case call.answered() && call.OK:
		return nil
	case !call.answered() && allowed: // it may have been handled or not
		return []any{s, after}
	}
	return []any{s}
}

// linearizable reports whether a job's calls can have happened one after the other, each
// between its beginning and its end, by the rules of leases.
func linearizable(promise string, calls []historyCall) bool {
	model := porcupine.NondeterministicModel{
		Init:  func() []any { return []any{leaseState{}} },
		Step:  func(state, input, _ any) []any { return state.(leaseState).next(promise, input.(historyCall)) },
		Equal: func(a, b any) bool { return a == b },
	}
	var operations []porcupine.Operation
	for _, call := range calls {
		ended := int64(math.MaxInt64)
		if call.answered() {
			ended = call.Ended
		}
		operations = append(operations, porcupine.Operation{ClientId: 0, Input: call, Call: call.Began, Output: call, Return: ended})
	}
	return porcupine.CheckOperations(model.ToModel(), operations)
}
