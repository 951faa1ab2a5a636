package main

import (
	"bytes"
	"encoding/json"
	"math"
	"os"
	"testing"

	"github.com/anishathalye/porcupine"
)

// callKind is the operation of a call.
type callKind string

const (
	callPush  callKind = "push"
	callLease callKind = "lease"
	callStart callKind = "start"
	callAck   callKind = "ack"
)

// historyCall is one call of a client. Times are by the client's clock, in nanoseconds.
type historyCall struct {
	Client int
	Kind   callKind
	Jid    string
	Fence  uint64
	Began  int64
	Ended  int64 // 0 if the call was not answered
	OK     bool  // the call was granted
}

// answered reports whether the client has received the answer.
func (c historyCall) answered() bool { return c.Ended != 0 }

// readHistory reads the calls of a worker from its file, which has a line for the beginning of each call and another one
// for its end.
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
			continue // the worker was killed while it wrote the line
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
	fence                 uint64 // of the last lease; 0 if the job was never leased
}

// apply returns the state after a call has been granted, and whether the rules of leases
// allow granting it.
func (s leaseState) apply(guarantee string, call historyCall) (after leaseState, allowed bool) {
	after = s
	switch call.Kind {
	case callPush:
		after.pushed = true
		allowed = true
	case callLease:
		after.fence = call.Fence
		allowed = s.pushed && !s.done && call.Fence > s.fence && s.mayBeLeased(guarantee)
	case callStart:
		after.started = true
		allowed = call.Fence == s.fence && !s.done
	case callAck:
		after.done = true
		allowed = s.done || call.Fence == s.fence
	}
	return after, allowed
}

// mayBeLeased reports whether a job, which may have been leased before, may be leased to a
// worker with a guarantee.
func (s leaseState) mayBeLeased(guarantee string) bool {
	switch guarantee {
	case guaranteeIdempotent:
		return true
	case guaranteeFences:
		return !s.started
	default:
		return !s.started && s.fence == 0
	}
}

// next returns the states in which a job can be after a call; none if the call must not have
// been granted. A lease is recorded only if it was answered.
func (s leaseState) next(guarantee string, call historyCall) []any {
	after, allowed := s.apply(guarantee, call)
	switch {
	case call.answered() && call.OK && allowed:
		return []any{after}
	case call.answered() && call.OK:
		return nil
	case !call.answered() && allowed: // the dispatcher may or may not have handled the call
		return []any{s, after}
	}
	return []any{s}
}

// linearizable reports whether, by the rules of leases, a job's calls can have taken effect
// one after the other, each at a time between its beginning and its end.
func linearizable(guarantee string, calls []historyCall) bool {
	model := porcupine.NondeterministicModel{
		Init:  func() []any { return []any{leaseState{}} },
		Step:  func(state, input, _ any) []any { return state.(leaseState).next(guarantee, input.(historyCall)) },
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
