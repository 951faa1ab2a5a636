package dispatch

import "time"

// Outcome is the kind of a final response.
type Outcome uint8

// The outcomes of a request.
const (
	Served   Outcome = iota // a worker has completed it
	Rejected                // not admitted: no attempt of it has run, and the client may retry
	Failed                  // not completed, with no promise about its attempts
)

// String returns the outcome as it is written in traces.
func (o Outcome) String() string { return [...]string{"served", "rejected", "failed"}[o] }

// Response is the final response to a request.
type Response struct {
	Outcome    Outcome
	Body       []byte        // from the worker; valid during the call only
	RetryAfter time.Duration // of a rejection: how long the client should wait before it retries; 0: not said
	MayHaveRun bool          // some attempt of the request may have had an effect
}
