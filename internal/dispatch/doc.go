// Package dispatch carries requests from the front ends to the workers. It connects both to the decision machine, which
// alone decides whether a request is admitted, which worker gets it and when it is retried.
//
// # Responsibilities
//
//   - A [FrontEnd] implements a client protocol. It submits each request with [Dispatcher.Accept] and gets exactly one
//     [Response] for it, unless it calls [Dispatcher.Cancel] before.
//   - A [WorkerClient] implements a worker protocol. It starts the attempts that it is given and reports the end of each
//     once, with [Dispatcher.AttemptEnded]. It is usually also the source of an endpoint list, which it passes on with
//     [Dispatcher.UpdateWorkers].
//   - The [Dispatcher] owns the open requests and attempts, the lists of workers, the counters and the machine. It turns
//     the reports of front ends and worker clients into events for the machine, and carries out the actions that the
//     machine returns. It enforces what must hold whatever the machine decides: each request gets one response, no later
//     than its deadline, and no attempt starts that a rule of package invariant forbids.
//
// # Life of a request
//
//  1. [Dispatcher.Accept] gives it a handle and a deadline and reports its arrival to the machine.
//  2. The machine rejects it, queues it or assigns it to a worker. The guard checks the assigned attempt. If the
//     request has a [Leaser], the attempt waits for its lease. Then it goes to [WorkerClient.Start].
//  3. The worker client reports on the attempt with [Dispatcher.AttemptSent], [Dispatcher.AttemptStarted],
//     [Dispatcher.AttemptProgressed] and, once, [Dispatcher.AttemptEnded]. As far as the class allows it, the machine
//     may assign a hedge while the attempt runs, or a retry after its end.
//  4. [FrontEnd.Respond] gets the final response as soon as an attempt has completed, a leased attempt that may have run
//     has failed, the machine rejects or fails the request, or the deadline is reached. Attempts that have not been
//     delivered are then stopped, others as far as the settings allow it. The request is removed when its last attempt
//     has ended.
//
// The client can end the request before; see [Dispatcher.Cancel] and [ClientWatcher].
//
// # Concurrency
//
// All state belongs to one goroutine, that of the [eventloop.Loop]. Every method of Dispatcher, and every method that
// it calls on front ends and worker clients, runs there. Calls may nest: a worker client may report the end of an
// attempt from within Start. Events that arise while the machine's actions are carried out are queued and handled in
// the order in which they arose.
//
// The package is independent of protocols, sockets and files.
package dispatch
