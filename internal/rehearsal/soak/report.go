package soak

import (
	"fmt"
	"strings"
	"time"
)

// Report is what a soak found.
type Report struct {
	Seed       uint64
	Requests   int           // sent
	Answered   int           // with a final answer in time
	Served     int           // of those, with status 200
	Excused    int           // their dispatcher was killed, stopped or could not be reached
	Attempts   int           // that arrived at workers
	Incomplete int           // requests that were cut off on their way to a worker
	Faults     int           // injected
	Lateness   time.Duration // largest of the machine's timers
	Violations []string      // of the rules
}

// maxShownViolations bounds the violations in Report.String.
const maxShownViolations = 20

// String describes the report in a few lines, the seed first.
func (r Report) String() string {
	lines := []string{fmt.Sprintf("seed %d: %d requests, %d answered in time (%d served), %d excused; %d attempts at workers, %d incomplete; %d faults; timers at most %v late; %d violations",
		r.Seed, r.Requests, r.Answered, r.Served, r.Excused, r.Attempts, r.Incomplete, r.Faults, r.Lateness.Round(time.Millisecond), len(r.Violations))}
	lines = append(lines, r.Violations[:min(len(r.Violations), maxShownViolations)]...)
	return strings.Join(lines, "\n  ")
}
