package dispatch

// ClassCounts counts the final responses to requests of one class, including those that front ends gave without handing
// the request to the Dispatcher.
type ClassCounts struct{ Served, Rejected, Failed uint64 }

func (c *ClassCounts) add(outcome Outcome) {
	switch outcome {
	case Served:
		c.Served++
	case Rejected:
		c.Rejected++
	default:
		c.Failed++
	}
}

// Counts contains the number of requests accepted since the start, their results, and the number of their attempts.
type Counts struct {
	ClassCounts // of accepted requests of all classes

	Accepted  uint64
	Cancelled uint64
	Attempts  uint64 // attempts assigned to a worker, except those that were skipped
	Sent      uint64 // attempts whose last byte was sent, as reported by the worker clients
}

// requestCounters counts the requests of a Dispatcher.
type requestCounters struct {
	total      Counts
	byClass    []ClassCounts
	unanswered int // requests accepted, but neither answered nor cancelled
}

func newRequestCounters(classes int) requestCounters {
	return requestCounters{byClass: make([]ClassCounts, classes)}
}

// Unanswered returns the number of accepted requests that were neither answered nor cancelled yet.
func (d *Dispatcher) Unanswered() int { return d.counters.unanswered }

// Counts returns the counts of the requests accepted since the start and of their attempts.
func (d *Dispatcher) Counts() Counts { return d.counters.total }

// ClassCounts returns the counts of the final responses to requests of a class.
func (d *Dispatcher) ClassCounts(class int) ClassCounts { return d.counters.byClass[class] }

// CountResponse counts a final response to a request of a class. Front ends call it for a response that they gave
// without handing the request to the Dispatcher.
func (d *Dispatcher) CountResponse(class int, outcome Outcome) {
	d.counters.byClass[class].add(outcome)
}

// countOutcome counts the final response to an accepted request.
func (d *Dispatcher) countOutcome(class int, outcome Outcome) {
	d.CountResponse(class, outcome)
	d.counters.total.add(outcome)
}
