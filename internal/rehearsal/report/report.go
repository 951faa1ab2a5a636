// Package report describes the result of a rehearsal: a table for the terminal, JSON for
// programs, and an HTML page that includes its charts and needs no other file. It checks the
// rules by the result of the replay and the ledger of the stand-ins. It shows only counts of a
// recording, never a request or a key.
package report

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/recording/recordingpb"
	"hollyyoke.example/hollyyoke/internal/rehearsal/replay"
	"hollyyoke.example/hollyyoke/internal/rehearsal/standin"
)

// Report is the result of one rehearsal. Evaluate completes it. It is not safe for concurrent use.
type Report struct {
	Recording string            `json:"recording"` // base name of the file
	FrontEnd  string            `json:"front"`
	Seed      uint64            `json:"seed"`
	Speed     float64           `json:"speed"`
	Start     time.Time         `json:"recorded_from"`
	Import    *Import           `json:"import"`
	Findings  *standin.Findings `json:"books,omitempty"` // nil if this program did not start the stand-ins
	Workers   int               `json:"workers"`

	*replay.Result

	DuplicatedJobs int    `json:"ran_twice"`          // jobs that must not be retried and ran twice
	NeverExecuted  int    `json:"answered_never_ran"` // answered as served, but in no worker's ledger
	WithheldReason string `json:"withheld_why,omitempty"`
	DaemonRSS      int64  `json:"daemon_rss_kb,omitempty"` // KiB
	Conclusion     string `json:"verdict"`
	Passed         bool   `json:"kept"`
}

// Import is what the recording's header says about its import. Counts are the numbers of lines or entries of the
// sources, by how the import treated them.
type Import struct {
	Counts        map[string]uint64 `json:"counts"`
	Repairs       map[string]uint64 `json:"repairs"`
	SyntheticKeys string            `json:"made_up_keys,omitempty"`
	Sources       []Source          `json:"sources"`
	History       []string          `json:"history"`
}

// Source is one of the recording's sources.
type Source struct {
	Name          string  `json:"name"`
	Format        string  `json:"format"`
	Accepted      uint64  `json:"accepted"` // entries
	Read          uint64  `json:"read"`     // entries
	OffsetSeconds float64 `json:"offset_s"` // offset of the source's clock
	SpreadSeconds float64 `json:"offset_spread_s"`
	Pairs         uint32  `json:"offset_pairs"`
	Estimated     bool    `json:"offset_estimated"`
	Truncation    string  `json:"cut,omitempty"` // why the source ended early; empty if it did not
}

// FromHeader returns what a recording's header says about its import.
func FromHeader(header *recordingpb.Header) *Import {
	const microsecondsPerSecond = 1e6
	counts := header.GetCounts()
	result := &Import{
		Counts: map[string]uint64{
			"read":      counts.GetRead(),
			"accepted":  counts.GetAccepted(),
			"malformed": counts.GetMalformed(),
			"unmapped":  counts.GetUnmapped(),
			"ignored":   counts.GetIgnored(),
			"repaired":  counts.GetRepaired(),
		},
		Repairs:       header.Repairs,
		SyntheticKeys: header.MadeUpKeys,
		History:       header.History,
	}
	for _, source := range header.Sources {
		result.Sources = append(result.Sources, Source{
			Name:          source.Name,
			Format:        source.Format,
			Accepted:      source.Counts.GetAccepted(),
			Read:          source.Counts.GetRead(),
			OffsetSeconds: float64(source.OffsetUs) / microsecondsPerSecond,
			SpreadSeconds: float64(source.SpreadUs) / microsecondsPerSecond,
			Pairs:         source.Pairs,
			Estimated:     source.Estimated,
			Truncation:    source.Cut,
		})
	}
	return result
}

// Conclusions of a report without violations.
const (
	passedWithLedger    = "all rules kept: every entry sent had one final answer in time, and no job ran twice that must not"
	passedWithoutLedger = "all rules kept that can be seen from outside: every entry sent had one final answer in time"
)

// Evaluate checks the rules and sets the conclusion. ledger is nil if this program did not start
// the stand-ins; the executions of jobs are then not checked.
func (r *Report) Evaluate(ledger *standin.Ledger) {
	var violations []string
	check := func(count int, violation string) {
		if count > 0 {
			violations = append(violations, fmt.Sprintf("%d %s", count, violation))
		}
	}
	if ledger != nil {
		r.evaluateExecutions(ledger)
		check(r.DuplicatedJobs, "jobs that must not run twice did")
		check(r.NeverExecuted, "jobs were answered as served and never ran")
		check(len(r.Findings.Unexpected), "requests reached a worker in a form in which none was sent")
	}
	check(r.Sum(func(t *replay.Tally) int { return t.Lost }), "entries had no final answer in time")
	check(r.Sum(func(t *replay.Tally) int { return t.DuplicateAnswers }), "entries were answered twice")
	check(r.StrayAnswers, "answers belonged to no request")
	r.Passed = len(violations) == 0
	switch {
	case !r.Passed:
		r.Conclusion = "rules broken: " + strings.Join(violations, "; ")
	case ledger == nil:
		r.Conclusion = passedWithoutLedger
	default:
		r.Conclusion = passedWithLedger
	}
}

// evaluateExecutions checks the executions in the ledger and compares the answers with them.
func (r *Report) evaluateExecutions(ledger *standin.Ledger) {
	findings := ledger.Findings()
	r.Findings = &findings
	r.DuplicatedJobs = len(findings.Duplicated)
	for _, id := range r.ServedIDs {
		if _, completed := ledger.Runs(id); completed == 0 {
			r.NeverExecuted++
		}
	}
}

// ClassNames are the names of the classes, sorted.
func (r *Report) ClassNames() []string { return slices.Sorted(maps.Keys(r.Classes)) }

// milliseconds converts microseconds to milliseconds.
func milliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }
