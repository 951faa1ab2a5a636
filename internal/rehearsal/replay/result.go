package replay

import "github.com/HdrHistogram/hdrhistogram-go"

// Outcome is the outcome of the request of an entry.
type Outcome uint8

// The outcomes.
const (
	Served Outcome = iota
	Rejected
	Failed
	Lost   // no readable final answer before the client's timeout or the end of the connection
	Unsent // no connection could be opened
)

// Tally counts the requests of a class by their outcomes.
type Tally struct {
	Sent             int `json:"sent"`
	Served           int `json:"served"`
	Rejected         int `json:"refused"`
	Failed           int `json:"failed"`
	Lost             int `json:"lost"`          // no readable final answer before the timeout or the end of the connection
	DuplicateAnswers int `json:"twice"`         // further answers to requests that were answered
	Withheld         int `json:"withheld"`      // must not be retried, and the workers were not verified to be stand-ins
	Unsent           int `json:"unsent"`        // no connection could be opened
	WithinObjective  int `json:"within_wanted"` // served within the class's latency objective, or without one
	Retried          int `json:"resent"`        // sent again on a new connection, because the reused one ended before an answer

	// Latency of the served requests, from when they were due and from when they were written.
	Intended         Quantiles `json:"latency_us"`
	LatencyFromWrite Quantiles `json:"latency_from_send_us"`

	latencyFromDue, latencyFromWrite *hdrhistogram.Histogram
}

// Quantiles holds quantiles of a histogram, in microseconds.
type Quantiles struct {
	P50  int64 `json:"p50"`
	P90  int64 `json:"p90"`
	P99  int64 `json:"p99"`
	P999 int64 `json:"p999"`
	Max  int64 `json:"max"`
}

func quantiles(histogram *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		P50:  histogram.ValueAtQuantile(50),
		P90:  histogram.ValueAtQuantile(90),
		P99:  histogram.ValueAtQuantile(99),
		P999: histogram.ValueAtQuantile(99.9),
		Max:  histogram.Max(),
	}
}

// newHistogram creates a histogram of durations of up to an hour, in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	const (
		hour              = 3_600_000_000
		significantDigits = 3
	)
	return hdrhistogram.New(1, hour, significantDigits)
}

// Second counts the events of one second since the start of the replay.
type Second struct {
	Recorded int   `json:"recorded"` // entries that were due in it, without those withheld
	Replayed int   `json:"replayed"` // entries whose sending began in it
	Served   int   `json:"served"`   // outcomes are counted in the second in which they occur
	Rejected int   `json:"refused"`
	Failed   int   `json:"failed"`
	Lost     int   `json:"lost"`
	P99Us    int64 `json:"p99_us"` // 99th percentile of the latency of the served requests that were due in it

	latencies []int64 // of the served requests that were due in it, µs
}

// Result is the result of a replay.
type Result struct {
	Classes      map[string]*Tally `json:"classes"`
	Fidelity     Fidelity          `json:"fidelity"`
	Seconds      []*Second         `json:"seconds"`
	Rejections   map[string]int    `json:"refusals"` // number by class and reason
	Failures     map[string]int    `json:"failures"` // number of failed, lost and unsent requests by class and reason
	StrayAnswers int               `json:"stray"`    // answers that belong to no request
	IDsHash      string            `json:"booked"`   // hash of the set of the ids that were sent
	SpanSeconds  float64           `json:"span_s"`   // number of Seconds

	ServedIDs []string `json:"-"` // in the order of the answers
}

// Violated reports whether the rule was violated that each request that is sent gets exactly one final
// answer before its timeout, and that there are no other answers.
func (r *Result) Violated() bool {
	for _, tally := range r.Classes {
		if tally.Lost > 0 || tally.DuplicateAnswers > 0 {
			return true
		}
	}
	return r.StrayAnswers > 0
}

// Sum returns the sum of a count over all classes.
func (r *Result) Sum(count func(*Tally) int) (sum int) {
	for _, tally := range r.Classes {
		sum += count(tally)
	}
	return sum
}
