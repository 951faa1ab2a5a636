package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"hollyyoke.example/hollyyoke/internal/rehearsal/hostileload"
	"hollyyoke.example/hollyyoke/internal/rehearsal/replay"
	"hollyyoke.example/hollyyoke/internal/rehearsal/report"
	"hollyyoke.example/hollyyoke/internal/rehearsal/standin"
)

// floodResult is the result of one part of a flood run. Counts are of known clients' requests.
type floodResult struct {
	Name            string             `json:"name"`
	Sent            int                `json:"sent"`
	Served          int                `json:"served"`
	Answered        int                `json:"answered"`
	WithinObjective int                `json:"within_wanted"`
	P50Ms           float64            `json:"p50_ms"`
	P99Ms           float64            `json:"p99_ms"`
	MaxMs           float64            `json:"max_ms"`
	CPUMsPerS       float64            `json:"daemon_cpu_ms_per_s"`
	Hostile         hostileload.Counts `json:"hostile"`
	RulesHeld       bool               `json:"rules_kept"`
	Summary         string             `json:"verdict"`
	Connections     json.RawMessage    `json:"connections,omitempty"`

	Rejections map[string]int `json:"Refusals"`
	Failures   map[string]int `json:"Failures"`
	seconds    []*replay.Second
	lost       int // requests that were lost or answered twice
}

// percent returns a count as a percentage of the requests sent.
func (r *floodResult) percent(count int) float64 {
	return 100 * float64(count) / float64(max(r.Sent, 1))
}

// evaluate sets the counts, latencies and conclusion.
func (r *floodResult) evaluate(replayed *replay.Result, fleet *standin.Fleet) {
	evaluated := report.Report{Result: replayed}
	evaluated.Evaluate(&fleet.Ledger)
	r.RulesHeld = evaluated.DuplicatedJobs+evaluated.NeverExecuted == 0 && len(evaluated.Findings.Unexpected) == 0
	r.Summary = evaluated.Conclusion
	r.Rejections = replayed.Rejections
	r.Failures = replayed.Failures
	r.seconds = replayed.Seconds
	r.Sent = replayed.Sum(func(t *replay.Tally) int { return t.Sent + t.Unsent })
	r.Served = replayed.Sum(func(t *replay.Tally) int { return t.Served })
	r.Answered = replayed.Sum(func(t *replay.Tally) int { return t.Served + t.Rejected + t.Failed })
	r.lost = replayed.Sum(func(t *replay.Tally) int { return t.Lost + t.DuplicateAnswers })
	r.WithinObjective = replayed.Sum(func(t *replay.Tally) int { return t.WithinObjective })
	latency := replayed.Classes[classStatusCheck].Intended
	r.P50Ms = float64(latency.P50) / 1000
	r.P99Ms = float64(latency.P99) / 1000
	r.MaxMs = float64(latency.Max) / 1000
}

// writeFlood writes a table with a row for each part, followed by its reasons of rejections and failures.
func writeFlood(out io.Writer, results []floodResult) {
	fmt.Fprintf(out, "%-14s %6s %9s %9s %9s %8s %8s %8s %9s %10s %10s\n",
		"known clients", "sent", "answered", "served", "in time", "p50 ms", "p99 ms", "max ms", "CPU ms/s", "hostile", "rejected")
	for _, result := range results {
		hostileRejected := result.Hostile.ClosedByPeer + result.Hostile.Failed
		fmt.Fprintf(out, "%-14s %6d %8.2f%% %8.2f%% %8.2f%% %8.1f %8.1f %8.1f %9.0f %10d %10d\n",
			result.Name, result.Sent, result.percent(result.Answered), result.percent(result.Served), result.percent(result.WithinObjective),
			result.P50Ms, result.P99Ms, result.MaxMs, result.CPUMsPerS, result.Hostile.Attempted, hostileRejected)
		writeReasons(out, "rejected", result.Rejections)
		writeReasons(out, "failed or lost", result.Failures)
		if !result.RulesHeld {
			fmt.Fprintln(out, "  "+result.Summary)
		}
	}
}

// writeReasons writes how often each reason occurred, sorted by reason.
func writeReasons(out io.Writer, outcome string, counts map[string]int) {
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(out, "  %s: %d  %s\n", outcome, counts[reason], reason)
	}
}

// writeRecovery writes the seconds around the one in which descriptors are available again.
func writeRecovery(out io.Writer, seconds []*replay.Second, recoverySecond int) {
	const (
		shownBefore = 1
		shownAfter  = 2
	)
	for i, second := range seconds {
		if i < recoverySecond-shownBefore || i > recoverySecond+shownAfter {
			continue
		}
		fmt.Fprintf(out, "second %d (descriptors are back in second %d): sent %d, served %d, p99 %.1f ms\n",
			i, recoverySecond, second.Replayed, second.Served, float64(second.P99Us)/1000)
	}
}
