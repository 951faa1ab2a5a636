package dispatch

// Counts are the numbers of requests accepted since the start, by what became of them, and of their attempts.
type Counts struct {
	Accepted, Served, Rejected, Failed, Cancelled uint64

	Attempts uint64 // assigned to a worker
	Sent     uint64 // attempts whose last byte was sent, as far as their worker clients report it
}

// ClassCounts counts the final responses to requests of one class, including those that front ends gave by themselves.
type ClassCounts struct{ Served, Rejected, Failed uint64 }

// Unanswered returns the number of accepted requests that have no final response yet.
func (d *Dispatcher) Unanswered() int { return d.unanswered }

// Counts returns what became of the requests accepted since the start.
func (d *Dispatcher) Counts() Counts { return d.counts }

// ClassCounts returns the final responses to requests of a class.
func (d *Dispatcher) ClassCounts(class int) ClassCounts { return d.classCounts[class] }

// CountResponse counts a final response that a front end gave without handing the request in.
func (d *Dispatcher) CountResponse(class int, outcome Outcome) {
	counts := &d.classCounts[class]
	switch outcome {
	case Served:
		counts.Served++
	case Rejected:
		counts.Rejected++
	default:
		counts.Failed++
	}
}

// countOutcome counts the final response to an accepted request.
func (d *Dispatcher) countOutcome(class int, outcome Outcome) {
	d.CountResponse(class, outcome)
	switch outcome {
	case Served:
		d.counts.Served++
	case Rejected:
		d.counts.Rejected++
	default:
		d.counts.Failed++
	}
}
