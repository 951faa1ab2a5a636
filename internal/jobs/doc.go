// Package jobs is the state machine of durable jobs: when a job may be handed to a worker, what the worker's lease
// allows, and what becomes of a job whose worker falls silent.
//
// # Machine and caller
//
// Each method of Machine takes the present time and an event, changes the state, and returns the effects that the
// caller must carry out in order: write a job to the store, answer a producer or a worker, deliver a job. The package
// does no I/O, starts no goroutine and reads no clock. Which worker gets a job is the caller's decision (Assign).
//
// # States
//
//	Accepted  -> Scheduled | Ready            once it is stored
//	Scheduled -> Ready                        at its time
//	Ready     -> Leased                       Assign
//	Leased    -> Started                      the worker asks to start it
//	Leased, Started -> Done                   Ack
//	Leased, Started -> Waiting | Ready | Dead | Discarded    Fail
//	Leased, Started -> Waiting | Ready | Dead | Discarded | InDoubt    the lease expires
//	Waiting   -> Ready                        after its backoff
//	InDoubt   -> Done | Ready                 Resolve, or a late report of the worker
//	Scheduled, Ready, Waiting, Dead -> Discarded | Dead | Ready    Move
//
// Done, Dead and Discarded jobs are deleted after a retention period, and with them the memory of their ids. A job in
// doubt stays until an operator resolves it.
//
// # Leases and fences
//
// A lease gives one job to one worker until its expiry, which heartbeats move on. Its fence is a number that is
// higher than that of all earlier leases; a report under another fence than the newest one, or about a job that no
// worker has or had in its hands, is rejected with ErrLeaseVoid (Machine.standing decides that for all reports). An
// idempotent job is retried when its lease expires. A non-idempotent job may run again only on proof that it did not
// run, or that running it again does no harm:
//
//   - a worker that HonorsFences starts a job only when Start has granted it, so a job that it has not asked for can be
//     leased again: the next fence voids the first;
//   - a worker that Deduplicates remembers the ids of what has been run, so the job is ready again, for such workers
//     only;
//   - otherwise the job is InDoubt.
//
// # What is acknowledged when
//
// A producer is notified that its job is accepted, and a worker that its report counts or that it may start, only
// once the change is stored (the caller reports that by Stored). A job is delivered only once its lease is stored: a
// crash must find out who may have run it. The changes from Accepted or Scheduled or Waiting to Ready follow from
// what is stored and are not stored themselves; Recover derives them again.
package jobs
