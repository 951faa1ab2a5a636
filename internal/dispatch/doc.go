// Package dispatch carries requests from the front ends to the workers. It stands between them and the decision
// machine, which alone decides whether a request is admitted, which worker gets it and when it is retried.
//
// # Who owns what
//
//   - A [FrontEnd] speaks a client protocol. It hands each request in with [Dispatcher.Accept] and gets exactly one
//     [Response] for it, unless it called [Dispatcher.Cancel] first.
//   - A [WorkerClient] speaks a worker protocol. It starts the attempts that it is given and reports the end of each
//     once, with [Dispatcher.AttemptEnded]. It is usually also the source of an endpoint list, which it passes on with
//     [Dispatcher.UpdateWorkers].
//   - The [Dispatcher] owns the open requests and attempts, the lists of workers, the counters and the machine. It turns
//     what front ends and worker clients report into events of the machine and carries out the actions that the machine
//     returns. It enforces what must hold whatever the machine decides: one response for each request, none later than
//     its deadline, and no attempt that a rule of package invariant forbids.
//
// # The way of a request
//
//  1. [Dispatcher.Accept] gives it a handle and a deadline and feeds its arrival to the machine.
//  2. The machine rejects it, queues it or assigns it to a worker. An assigned attempt passes the guard, gets its lease if
//     the request has a [Leaser], and goes to [WorkerClient.Start].
//  3. The worker client reports on the attempt: [Dispatcher.AttemptSent], [Dispatcher.AttemptStarted],
//     [Dispatcher.AttemptProgressed], and once [Dispatcher.AttemptEnded]. The machine may then assign a retry, or a hedge
//     while the attempt runs, as far as the class allows.
//  4. [FrontEnd.Respond] gets the final response: of the first attempt that completed, of a leased one that failed and may
//     have run, or of the machine, which rejects the request or gives it up, or at the deadline. Attempts that have not
//     been delivered are stopped then, others as far as the settings allow; the request is removed with the last.
//
// The client may end it sooner, see [Dispatcher.Cancel] and [ClientWatcher].
//
// # Concurrency
//
// All state belongs to one goroutine, that of the [eventloop.Loop]. Every method of Dispatcher, and every method that
// it calls on front ends and worker clients, runs there. Calls may nest: a worker client may report the end of an
// attempt from within Start. Events that arise while the machine is at work are queued and handled in their order.
//
// The package knows no protocol, socket or file.
package dispatch
