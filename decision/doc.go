// Package decision decides for one dispatcher that pushes requests to workers: which requests to admit,
// which worker gets each, when to retry or hedge, and when to reject.
//
// Machine is a pure state machine. It does no I/O, reads no clock, starts no goroutine and takes its random
// numbers from the seed given to New: the same settings, seed and events give the same actions. One Machine
// is not safe for concurrent use; its caller serializes the calls of Handle.
//
// # Protocol
//
// The caller feeds every Event with the time at which it happened, and carries out the returned Actions in
// their order before it feeds the next event:
//
//	machine, err := decision.New(settings, seed)
//	for event := range events {
//		actions = machine.Handle(now(), event, actions[:0])
//		for _, action := range actions {
//			perform(action)
//		}
//	}
//
// Events that come in:
//
//   - ListUpdated brings the endpoint list, complete or as a delta, or says that a call for it has failed.
//     WorkersSuspended and WorkersResumed take listed workers out of use for a while.
//   - RequestArrived offers a request. FirstByte and ClientDisconnected say that it needs no decision any
//     more.
//   - AttemptStarted, AttemptProgressed and AttemptEnded report on an attempt; HealthChecked on a health
//     check.
//   - TimerFired hands back a timer that SetTimer has asked for.
//   - ReservedElsewhere and SettingsChanged come from the process itself, while it is replaced or
//     reconfigured.
//
// Actions that go out:
//
//   - Assign starts the next attempt of a request. Attempts of a request are numbered from 0 in the order
//     of their Assign actions; AttemptEnded names that number, also for an attempt that could not be sent.
//   - Reject and Fail are final answers. CancelAttempt calls off one attempt, which still ends with
//     AttemptEnded.
//   - SetTimer, CheckHealth, Subscribe and CloseIdle ask for what their names say; Log is text for
//     operators.
//
// # Time
//
// Times are durations since an epoch of the caller's choice. They must come from a clock that is not
// stepped, and lie above zero, since zero means "never" in several fields; Endpoint.StartedAt is on the
// same scale. A time before that of an earlier event counts as that event's time. All intervals are derived
// from Settings: the planning horizon is a quarter of the longest deadline, the sweep runs each half of the
// shortest latency objective.
//
// # Guarantees
//
//   - Each admitted request has one final outcome: Reject, Fail, FirstByte, a completed attempt, or its
//     client has gone. Reject and Fail come before the deadline, by two ticks, provided that timers fire in
//     time.
//   - Reject promises that a repeat by the client is safe. Where an attempt may have had an effect, Fail is
//     the answer.
//   - A NonIdempotent request is never sent again after an attempt that may have run; a Deduplicated one
//     only to a worker that discards the repeat, and within the DedupWindow.
//   - No worker gets an Assign that is draining, removed or suspended by what events have said, or whose kind
//     or zone is not open to the class.
//   - Attempts beyond MaxAttempts or the retry budget are not made, nor a second attempt at a time without
//     Hedging.
//   - Serialized requests with one key run one at a time, in the order of their arrival.
//   - What is sent to a worker in slow start stays within this dispatcher's part of the budget that
//     Settings give.
//   - The work for an event does not grow with the fleet, but for a complete list and a key's first use
//     after one.
//
// # Where to begin
//
// Read Settings, Event and Action, then the fields of Machine, which name the state that each decision keeps,
// and Machine.Handle. Then follow one request: admission.go, routing.go, attempt.go. Each decision has its
// file:
//
//   - admission.go: whether a request is taken, and when a waiting one is placed; queue.go: the order in
//     which they wait.
//   - ceilings.go: how much may be in flight, and how much work may be sent, learned from outcomes.
//   - pricing.go: what value a request must have while capacity is scarce, solved from the recent mix
//     (mix.go).
//   - quota.go: which requests are beyond their tenant's quota.
//   - routing.go: which worker gets a request, with ring.go for the owners of a key.
//   - slowstart.go: how much a worker gets that has just started.
//   - outlier.go: which workers are ejected; saturation.go: which are full; zone.go: which zones are
//     unreachable.
//   - connection.go: which idle connections are not to be trusted.
//   - retry.go: whether a further attempt is allowed, and what its client gets if not; hedge.go: when an
//     outstanding attempt gets a second one beside it.
//   - serialization.go: whose turn it is among requests with one key.
//   - sweep.go: what the passing of time decides; timer.go: which timers there are.
//   - endpoints.go: what an endpoint list changes, and when to subscribe to it; lists.go: the lists to draw
//     workers from.
//
// State and what is learned are in request.go, attempt.go, worker.go, estimates.go, load.go and decay.go.
package decision
