package replay

import "github.com/HdrHistogram/hdrhistogram-go"

// Outcome is what became of an entry.
type Outcome uint8

// The outcomes.
const (
	Served Outcome = iota
	Rejected
	Failed
	Lost   // no final answer before the client's timeout
	Unsent // no connection could be opened
)

// Tally counts the entries of a class.
type Tally struct {
	Sent             int `json:"sent"`
	Served           int `json:"served"`
	Rejected         int `json:"refused"`
	Failed           int `json:"failed"`
	Lost             int `json:"lost"`          // no final answer before the client's timeout
	DuplicateAnswers int `json:"twice"`         // more than one answer
	Withheld         int `json:"withheld"`      // must not be retried, and the workers were not verified
	Unsent           int `json:"unsent"`        // no connection could be opened
	WithinObjective  int `json:"within_wanted"` // served within the class's latency objective
	Retried          int `json:"resent"`        // sent again on a new connection, as the reused one was closing

	// Latency of the served entries, from the recorded time and from the actual send.
	Intended Quantiles `json:"latency_us"`
	Actual   Quantiles `json:"latency_from_send_us"`

	intended, actual *hdrhistogram.Histogram
}

// Quantiles of a histogram, in microseconds.
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

// newHistogram makes a histogram of microseconds up to an hour.
func newHistogram() *hdrhistogram.Histogram {
	const (
		hour              = 3_600_000_000
		significantDigits = 3
	)
	return hdrhistogram.New(1, hour, significantDigits)
}

// Second counts the entries of one second of the run.
type Second struct {
	Recorded int   `json:"recorded"` // arrivals in the recording, without those withheld
	Replayed int   `json:"replayed"` // sent
	Served   int   `json:"served"`   // by the time of the answer
	Rejected int   `json:"refused"`
	Failed   int   `json:"failed"`
	Lost     int   `json:"lost"`
	P99Us    int64 `json:"p99_us"` // latency of the served entries that were due in it

	latency []int64 // µs
}

// Result is the result of a replay.
type Result struct {
	Classes      map[string]*Tally `json:"classes"`
	Fidelity     Fidelity          `json:"fidelity"`
	Seconds      []*Second         `json:"seconds"`
	Rejections   map[string]int    `json:"refusals"` // by class and reason
	Failures     map[string]int    `json:"failures"` // by class and reason, losses included
	StrayAnswers int               `json:"stray"`    // answers to no request at all
	IDsHash      string            `json:"booked"`   // of the set of ids that were sent
	SpanSeconds  float64           `json:"span_s"`

	ServedIDs []string `json:"-"`
}

// Violated reports whether a rule was violated: each entry that is sent has one final answer
// before its timeout.
func (r *Result) Violated() bool {
	for _, tally := range r.Classes {
		if tally.Lost > 0 || tally.DuplicateAnswers > 0 {
			return true
		}
	}
	return r.StrayAnswers > 0
}

// Sum adds up a count of all classes.
func (r *Result) Sum(count func(*Tally) int) (sum int) {
	for _, tally := range r.Classes {
		sum += count(tally)
	}
	return sum
}
