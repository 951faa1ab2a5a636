package dispatch

import "hollyyoke.example/hollyyoke/decision"

// Leaser leases a durable job to the workers to which its attempts are assigned. The request of such a job ends with
// the first attempt that may have run: the dispatcher does not retry it, and its front end decides whether the job is
// retried.
type Leaser interface {
	// Acquire asks for a lease of the job for a worker. It calls done exactly once, before or after it returns, with
	// the fencing token of the lease, or with 0 if the lease is refused. done reports whether the lease is still
	// wanted.
	Acquire(job *Request, worker string, done func(fence uint64) (wanted bool))
	// Started reports that the worker has begun to run the attempt with this fencing token.
	Started(job *Request, fence uint64)
	// Ended reports how the attempt with this fencing token ended. result is the response body of a completed attempt.
	Ended(job *Request, fence uint64, outcome decision.AttemptOutcome, neverRan bool, result []byte)
}
