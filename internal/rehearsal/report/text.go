package report

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"hollyyoke.example/hollyyoke/internal/rehearsal/replay"
)

// WriteText writes the report for a terminal. Errors of w are ignored.
func (r *Report) WriteText(w io.Writer) {
	r.writeClasses(w)
	writeFidelity(w, r.Fidelity)
	writeReasons(w, "rejected", r.Rejections)
	writeReasons(w, "failed or lost", r.Failures)
	if unsent := r.Sum(func(t *replay.Tally) int { return t.Unsent }); unsent > 0 {
		fmt.Fprintf(w, "not sent, no connection: %d\n", unsent)
	}
	if r.WithheldReason != "" {
		fmt.Fprintf(w, "withheld: %s\n", r.WithheldReason)
	}
	if r.Findings != nil {
		fmt.Fprintf(w, "the stand-ins' ledger: %d jobs announced, %d executed, %d retried that may be; executed twice: %d, answered but never executed: %d\n",
			r.Findings.Announced, r.Findings.Executed, r.Findings.Retried, r.DuplicatedJobs, r.NeverExecuted)
	}
	fmt.Fprintln(w, r.Conclusion)
}

// writeClasses writes a table with a row for each class.
func (r *Report) writeClasses(w io.Writer) {
	fmt.Fprintf(w, "%-16s %8s %8s %8s %7s %6s %6s %9s %9s %9s %9s\n",
		"class", "sent", "served", "rejected", "failed", "lost", "twice", "withheld", "p50 ms", "p99 ms", "max ms")
	for _, name := range r.ClassNames() {
		tally := r.Classes[name]
		latency := tally.Intended
		fmt.Fprintf(w, "%-16s %8d %8d %8d %7d %6d %6d %9d %9.1f %9.1f %9.1f\n",
			name, tally.Sent, tally.Served, tally.Rejected, tally.Failed, tally.Lost, tally.DuplicateAnswers, tally.Withheld,
			milliseconds(latency.P50), milliseconds(latency.P99), milliseconds(latency.Max))
	}
}

// writeFidelity writes how far the times at which requests were sent are from those in the recording.
func writeFidelity(w io.Writer, fidelity replay.Fidelity) {
	fmt.Fprintf(w, "fidelity: worst second off by %.2f%%, KS of arrivals %.4f, of gaps %.4f; late p50 %.2f ms, p99 %.2f ms, max %.2f ms; written p99 %.2f ms\n",
		100*fidelity.MaxSecondError, fidelity.KS, fidelity.KSGaps, milliseconds(fidelity.LatenessP50), milliseconds(fidelity.LatenessP99),
		milliseconds(fidelity.LatenessMax), milliseconds(fidelity.WriteLatenessP99))
}

// writeReasons writes how often each reason occurred, sorted by reason.
func writeReasons(w io.Writer, outcome string, counts map[string]int) {
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, "%s: %d  %s\n", outcome, counts[reason], reason)
	}
}

// WriteJSON writes the report for programs.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}
