// Package jobs is the state machine of durable jobs: when a job may be handed to a worker, what the worker's lease
// allows, and what happens to a job whose worker stops sending heartbeats.
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
// A lease gives one job to one worker until the lease expires; each heartbeat of the worker renews it. The fence of a
// lease is a number that is higher than that of all earlier leases. A worker's report names the fence of its lease. It
// is rejected with ErrLeaseVoid if that is not the job's newest fence, or if the job was never delivered under it;
// Machine.checkFence decides this for all reports. An idempotent job is retried when its lease expires. A
// non-idempotent job may run again only on proof that it did not run, or that running it again does no harm:
//
//   - a worker that HonorsFences starts a job only when Start has granted it, so a job that it has not asked to start
//     can be leased again: the new lease's fence makes the old one void;
//   - a worker that Deduplicates remembers the ids of the jobs that have run, so the job is ready again, but only for
//     workers that deduplicate;
//   - otherwise the job is InDoubt.
//
// # When requests are acknowledged
//
// A producer is told that its job is accepted, and a worker that its report is accepted or that it may start, only
// once the change is stored (the caller reports that by Stored). A job is delivered only once its lease is stored, so
// that Recover knows after a crash which worker may have run it. The changes from Accepted, Scheduled or Waiting to
// Ready follow from what is stored and are not stored themselves; Recover derives them again.
package jobs
