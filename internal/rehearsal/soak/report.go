package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Report is the result of a soak.
type Report struct {
	Seed             uint64
	Requests         int            // requests that were sent
	Answered         int            // requests with a final answer in time
	Served           int            // answered requests with status 200
	Excuses          map[excuse]int // by cause, requests without an answer in time that violate no rule
	CrossedClose     int            // requests that arrived as their connection was closed, and were sent once more
	Attempts         int            // attempts that arrived at workers
	Incomplete       int            // attempts that broke off before a worker had received them completely
	Pushed           int            // jobs that were pushed to durable queues
	Accepted         int            // pushed jobs that were answered with +OK
	Keyed            int            // requests with an idempotency key, to a durable queue whose process is replaced
	KeyedRefused     int            // of these, those that were rejected each time, and must not be stored
	Runs             int            // runs of jobs from durable queues, including jobs whose producer left before the reply
	Replacements     int            // processes that were replaced by successors
	Faults           int            // scheduled faults
	MaxTimerLateness time.Duration  // largest measured lateness of this process's timers
	MeanInFlight     float64        // mean number of attempts that workers handled when a fault was injected
	KeptByLateness   int            // bounds that were kept only because the measured lateness was added to them
	Violations       []string       // descriptions of the violations of rules
}

// excuses returns the causes in Excuses with their counts, as a text.
func (r Report) excuses() string {
	if len(r.Excuses) == 0 {
		return "none"
	}
	var counts []string
	for _, cause := range slices.Sorted(maps.Keys(r.Excuses)) {
		counts = append(counts, fmt.Sprintf("%d (%s)", r.Excuses[cause], cause))
	}
	return strings.Join(counts, ", ")
}

// maxShownViolations is the largest number of violations that Report.String shows.
const maxShownViolations = 20

// String returns the report as a line that begins with the seed, and a line for each of the first violations.
func (r Report) String() string {
	lines := []string{fmt.Sprintf("seed %d: %d requests, %d answered in time (%d served), %d crossed a close, excused %s; %d attempts at workers, %d incomplete; %d jobs pushed, %d accepted, %d ran, %d of them with keys, %d refused; %d replaced; %d faults, %.1f attempts in flight at each; timers at most %v late, %d bounds kept by lateness alone; %d violations",
		r.Seed, r.Requests, r.Answered, r.Served, r.CrossedClose, r.excuses(), r.Attempts, r.Incomplete, r.Pushed, r.Accepted, r.Runs, r.Keyed, r.KeyedRefused, r.Replacements, r.Faults, r.MeanInFlight, r.MaxTimerLateness.Round(time.Millisecond), r.KeptByLateness, len(r.Violations))}
	lines = append(lines, r.Violations[:min(len(r.Violations), maxShownViolations)]...)
	return strings.Join(lines, "\n  ")
}
