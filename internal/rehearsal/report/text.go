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
	fmt.Fprintf(w, "%-16s %8s %8s %8s %7s %6s %6s %9s %9s %9s %9s\n", "class", "sent", "served", "refused", "failed", "lost", "twice",
		"withheld", "p50 ms", "p99 ms", "max ms")
	for _, name := range r.ClassNames() {
		t := r.Classes[name]
		fmt.Fprintf(w, "%-16s %8d %8d %8d %7d %6d %6d %9d %9.1f %9.1f %9.1f\n", name, t.Sent, t.Served, t.Rejected, t.Failed, t.Lost,
			t.DuplicateAnswers, t.Withheld, milliseconds(t.Intended.P50), milliseconds(t.Intended.P99), milliseconds(t.Intended.Max))
	}
	f := r.Fidelity
	fmt.Fprintf(w, "fidelity: worst second off by %.2f%%, KS of arrivals %.4f, of gaps %.4f; late p50 %.2f ms, p99 %.2f ms, max %.2f ms; written p99 %.2f ms\n",
		100*f.MaxSecondError, f.KS, f.KSGaps, milliseconds(f.LatenessP50), milliseconds(f.LatenessP99), milliseconds(f.LatenessMax),
		milliseconds(f.WriteLatenessP99))
	writeReasons(w, "refused", r.Rejections)
	writeReasons(w, "failed or lost", r.Failures)
	if n := r.Sum(func(t *replay.Tally) int { return t.Unsent }); n > 0 {
		fmt.Fprintf(w, "not sent, no connection: %d\n", n)
	}
	if r.WithheldReason != "" {
		fmt.Fprintf(w, "withheld: %s\n", r.WithheldReason)
	}
	if r.Findings != nil {
		fmt.Fprintf(w, "the stand-ins' books: %d jobs announced, %d executed, %d repeated that may be; ran twice: %d, answered but never ran: %d\n",
			r.Findings.Announced, r.Findings.Executed, r.Findings.Retried, r.DuplicatedJobs, r.NeverExecuted)
	}
	fmt.Fprintln(w, r.Conclusion)
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
