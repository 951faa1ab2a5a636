package dispatch

import "time"

// Attempt is one attempt of a request, as a WorkerClient sees it.
type Attempt struct {
	Handle      uint64 // names the attempt in all later calls
	Worker      string
	Request     *Request
	Deadline    time.Duration // clock time by which the final response leaves
	RetryBy     time.Duration // see Dispatcher.RetryBy, at its start
	RetryUnsafe bool          // it could run twice if the response to another request were taken for its own
	Number      int           // of attempts of the request before this one
	Fence       uint64        // fencing token of its lease; 0: it has none
}

// WorkerClient takes attempts to workers. It reports the end of each attempt once, with Dispatcher.AttemptEnded, unless
// Cancel came first.
type WorkerClient interface {
	// Start begins an attempt. It may report the end of it before it returns.
	Start(attempt Attempt)
	// Cancel gives an attempt up, and reports whether it is certain that the attempt never ran.
	Cancel(handle uint64) (neverRan bool)
	// CloseIdle closes the idle connections to a worker.
	CloseIdle(worker string)
	// CheckHealth starts a health check, whose result goes to Dispatcher.HealthChecked.
	CheckHealth(worker string)
	// Subscribe asks for all later changes of the endpoint list.
	Subscribe()
}

// Refresher is implemented by a WorkerClient whose endpoint list may have become too old to act on. Refresh is called
// before each event that can lead to an attempt; it suspends and resumes workers by the age of the list at that moment.
type Refresher interface {
	Refresh()
}
