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
//   - ListUpdated delivers the endpoint list, complete or as a delta, or says that a call for it has failed.
//     WorkersSuspended and WorkersResumed take listed workers out of use for a while.
//   - RequestArrived offers a request. FirstByte and ClientDisconnected say that it needs no further
//     decision.
//   - AttemptSent, AttemptStarted, AttemptProgressed and AttemptEnded report on an attempt; HealthChecked
//     reports on a health check.
//   - TimerFired says that a timer set by SetTimer has expired.
//   - ReservedElsewhere comes from the process's predecessor or successor while one replaces the other.
//     SettingsChanged comes when the process is reconfigured.
//
// Actions that go out:
//
//   - Assign starts the next attempt of a request. Attempts of a request are numbered from 0 in the order
//     of their Assign actions; AttemptEnded names that number, also for an attempt that could not be sent.
//   - Reject and Fail are final responses. CancelAttempt cancels one attempt, which still ends with
//     AttemptEnded.
//   - SetTimer, CheckHealth, Subscribe and CloseIdle ask for what their names say; Log carries a message for
//     operators.
//
// # Time
//
// Times are durations since an epoch of the caller's choice. They must come from a monotonic clock and be
// greater than zero, since zero means "never" in several fields; Endpoint.StartedAt is on the same scale. If
// an event's time is before that of an earlier event, the earlier event's time is used. All intervals are
// derived from Settings: the planning horizon is a quarter of the longest deadline, and the sweep runs at
// intervals of half the shortest latency objective.
//
// # Guarantees
//
//   - Each admitted request has one final outcome: Reject, Fail, FirstByte, a completed attempt, or the
//     disconnect of its client. Reject and Fail come at least two ticks before the deadline, provided that
//     timers fire on time.
//   - Reject promises that a repeat by the client is safe. If a repeat could have an effect a second time,
//     the response is Fail.
//   - A NonIdempotent request is never sent again after an attempt that may have run; a Deduplicated one
//     only to a worker that discards the repeat, and within the DedupWindow.
//   - A worker gets no Assign while, according to the events so far, it is draining, removed or suspended,
//     or if the class may not run on its kind or in its zone.
//   - Attempts beyond MaxAttempts or the retry budget are not made. Without Hedging, a request has at most
//     one outstanding attempt.
//   - Serialized requests with one key run one at a time, in the order of their arrival.
//   - What is sent to a worker in slow start stays within this dispatcher's share of the budget that
//     Settings define.
//   - The cost of handling an event does not grow with the size of the fleet, except for a complete list and
//     for the first use of a key after one.
//
// # Where to begin
//
// Read Settings, Event and Action, then the fields of Machine, which name the state that each decision
// keeps, and Machine.Handle. Then follow one request: admission.go, routing.go, attempt.go. Each decision
// has its own file:
//
//   - admission.go: whether a request is admitted, and when a waiting one is assigned; queue.go: the order
//     in which requests wait.
//   - ceilings.go: how much may be in flight, and how much work may be sent, learned from outcomes.
//   - pricing.go: what value a request must have while capacity is scarce, computed from the recent mix
//     (mix.go).
//   - quota.go: which requests are beyond their tenant's quota.
//   - routing.go: which worker gets a request, with ring.go for the owners of a key.
//   - slowstart.go: how much work a recently started worker gets.
//   - outlier.go: which workers are ejected; saturation.go: which are full; zone.go: which zones are
//     unreachable.
//   - connection.go: which idle connections may be dead and are closed before use.
//   - retry.go: whether a further attempt is allowed, and which final answer the request gets if not;
//     hedge.go: when a request with an outstanding attempt gets a second one.
//   - serialization.go: which of the requests with one key runs next.
//   - sweep.go: decisions that depend on the passing of time alone; timer.go: the timers.
//   - endpoints.go: what an endpoint list changes, and when to subscribe to it; lists.go: the lists to draw
//     workers from.
//
// The state of requests, attempts and workers, and what is learned about them, is in request.go, attempt.go,
// worker.go, estimates.go, load.go and decay.go.
package decision
