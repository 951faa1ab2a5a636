package dispatch

import "time"

// Attempt is an attempt of a request as it is handed to a WorkerClient.
type Attempt struct {
	Handle      uint64 // identifies the attempt in all later calls
	Worker      string
	Request     *Request
	Deadline    time.Duration // clock time by which the final response must leave
	RetryBy     time.Duration // the value of Dispatcher.RetryBy when the attempt starts
	RetryUnsafe bool          // the request could run twice if the response to another request were taken for its own
	Number      int           // number of earlier attempts of the request
	Fence       uint64        // fencing token of the attempt's lease; 0 if it has no lease
}

// WorkerClient sends attempts to workers. It reports the end of each attempt once, with Dispatcher.AttemptEnded, unless
// Cancel is called before.
type WorkerClient interface {
	// Start begins an attempt. It may report the end of the attempt before it returns.
	Start(attempt Attempt)
	// Cancel abandons an attempt, and reports whether it is certain that the attempt never ran.
	Cancel(handle uint64) (neverRan bool)
	// CloseIdle closes the idle connections to a worker.
	CloseIdle(worker string)
	// CheckHealth starts a health check, whose result goes to Dispatcher.HealthChecked.
	CheckHealth(worker string)
	// Subscribe requests all later changes of the endpoint list.
	Subscribe()
}

// Refresher is implemented by a WorkerClient whose endpoint list can become too old to be used. Refresh is called
// before each event that can lead to an attempt. It suspends and resumes workers according to the present age of the
// list.
type Refresher interface {
	Refresh()
}
