package dispatch

import "hollyyoke.example/hollyyoke/decision"

// Leaser leases a durable job to the workers that its attempts go to. Such a request ends with its first attempt that
// may have run; whether the job is retried after that is the business of its front end.
type Leaser interface {
	// Acquire asks for a lease of the job for a worker. It calls done once, before or after it returns, with the fencing
	// token of the lease, or 0 if the lease is refused; done reports false if the lease is not wanted any more.
	Acquire(job *Request, worker string, done func(fence uint64) (wanted bool))
	// Ended reports how the attempt under a fencing token ended. result is the response body of a completed attempt.
	Ended(job *Request, fence uint64, outcome decision.AttemptOutcome, neverRan bool, result []byte)
}
