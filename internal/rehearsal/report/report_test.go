package report

import (
	"strings"
	"testing"

	"hollyyoke.example/hollyyoke/internal/rehearsal/replay"
	"hollyyoke.example/hollyyoke/internal/rehearsal/standin"
)

// newReport makes a report of a class with the given tally.
func newReport(tally replay.Tally) *Report {
	return &Report{
		Recording: "day.rec",
		Result:    &replay.Result{Classes: map[string]*replay.Tally{"renewal": &tally}},
	}
}

func TestEvaluateWithoutLedger(t *testing.T) {
	for _, test := range []struct {
		name           string
		tally          replay.Tally
		wantPassed     bool
		wantConclusion string
	}{
		{"all served", replay.Tally{Sent: 2, Served: 2}, true, passedWithoutLedger},
		{"rejected", replay.Tally{Sent: 2, Rejected: 2}, true, passedWithoutLedger},
		{"lost", replay.Tally{Sent: 2, Lost: 1}, false, "1 entries had no final answer in time"},
		{"answered twice", replay.Tally{Sent: 2, Served: 2, DuplicateAnswers: 1}, false, "1 entries were answered twice"},
	} {
		t.Run(test.name, func(t *testing.T) {
			evaluated := newReport(test.tally)
			evaluated.Evaluate(nil)
			if evaluated.Passed != test.wantPassed || !strings.Contains(evaluated.Conclusion, test.wantConclusion) {
				t.Errorf("passed %v, %q; want %v, %q", evaluated.Passed, evaluated.Conclusion, test.wantPassed, test.wantConclusion)
			}
			if evaluated.Findings != nil {
				t.Errorf("findings without a ledger: %+v", evaluated.Findings)
			}
		})
	}
}

// A job that was answered as served, but is in no worker's ledger, violates a rule.
func TestEvaluateFindsJobsNeverExecuted(t *testing.T) {
	evaluated := newReport(replay.Tally{Sent: 1, Served: 1})
	evaluated.ServedIDs = []string{"a"}
	evaluated.Evaluate(&standin.Ledger{})
	if evaluated.Passed || evaluated.NeverExecuted != 1 {
		t.Errorf("passed %v with %d jobs never executed, want a violation by 1", evaluated.Passed, evaluated.NeverExecuted)
	}
}

// The text and the page show the recording's classes, the reasons of rejections and the conclusion.
func TestTextAndPage(t *testing.T) {
	shown := newReport(replay.Tally{Sent: 3, Served: 2, Rejected: 1})
	shown.Rejections = map[string]int{"renewal: 503 overloaded": 1}
	shown.Seconds = []*replay.Second{{Recorded: 3, Replayed: 3, Served: 2, Rejected: 1}}
	shown.Import = &Import{Counts: map[string]uint64{"read": 3}}
	shown.Evaluate(&standin.Ledger{})
	var text strings.Builder
	shown.WriteText(&text)
	var page strings.Builder
	if err := shown.WriteHTML(&page); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"renewal", "503 overloaded", "ledger", shown.Conclusion} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("the text lacks %q: %s", want, text.String())
		}
		if !strings.Contains(page.String(), want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	if charts := strings.Count(page.String(), "<svg"); charts != 3 {
		t.Errorf("the page has %d charts, want 3", charts)
	}
}
