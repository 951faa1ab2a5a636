package dispatch

// ClassCounts counts the final responses to requests of one class, including those that front ends gave by themselves.
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

// Counts are the numbers of requests accepted since the start, by what became of them, and of their attempts.
type Counts struct {
	ClassCounts // of all classes, without the responses that front ends gave by themselves

	Accepted  uint64
	Cancelled uint64
	Attempts  uint64 // assigned to a worker
	Sent      uint64 // attempts whose last byte was sent, as far as their worker clients report it
}

// requestCounters count the requests of a Dispatcher.
type requestCounters struct {
	total      Counts
	byClass    []ClassCounts
	unanswered int // accepted, and neither answered nor cancelled
}

func newRequestCounters(classes int) requestCounters {
	return requestCounters{byClass: make([]ClassCounts, classes)}
}

// Unanswered returns the number of accepted requests that have no final response yet.
func (d *Dispatcher) Unanswered() int { return d.counters.unanswered }

// Counts returns what became of the requests accepted since the start.
func (d *Dispatcher) Counts() Counts { return d.counters.total }

// ClassCounts returns the final responses to requests of a class.
func (d *Dispatcher) ClassCounts(class int) ClassCounts { return d.counters.byClass[class] }

// CountResponse counts a final response that a front end gave without handing the request in.
func (d *Dispatcher) CountResponse(class int, outcome Outcome) {
	d.counters.byClass[class].add(outcome)
}

// countOutcome counts the final response to an accepted request.
func (d *Dispatcher) countOutcome(class int, outcome Outcome) {
	d.CountResponse(class, outcome)
	d.counters.total.add(outcome)
}
