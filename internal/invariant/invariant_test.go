package invariant

import (
	"fmt"
	"maps"
	"testing"
	"time"
)

const (
	second      = time.Second
	millisecond = time.Millisecond
)

func TestMaySendNamesBrokenRule(t *testing.T) {
	leaving := func(since time.Duration) func(*Send) {
		return func(s *Send) {
			s.Leaving = true
			s.LeavingSince = since
			s.Grace = 500 * millisecond
		}
	}
	for name, c := range map[string]struct {
		change func(*Send)
		want   Rule
	}{
		"allowed":                    {func(*Send) {}, NoRule},
		"draining, within the grace": {leaving(9500 * millisecond), NoRule},
		"draining, beyond the grace": {leaving(9499 * millisecond), Drain},
		"at its deadline":            {func(s *Send) { s.Deadline = 10 * second }, Deadline},
		"repeat before RetryBy":      {func(s *Send) { s.RetryBy = 11 * second }, NoRule},
		"repeat at RetryBy":          {func(s *Send) { s.RetryBy = 10 * second }, DedupWindow},
		"stale endpoint list":        {func(s *Send) { s.ListStale = true }, ListStale},
	} {
		t.Run(name, func(t *testing.T) {
			var guard Guard
			send := Send{Now: 10 * second, Deadline: 12 * second}
			c.change(&send)
			if rule, ok := guard.MaySend(send); rule != c.want || ok != (c.want == NoRule) {
				t.Errorf("rule %v, allowed %v; want %v", rule, ok, c.want)
			}
			want := Counts{}
			if c.want != NoRule {
				want[c.want.String()] = 1
			}
			if got := guard.Prevented(); !maps.Equal(got, want) {
				t.Errorf("prevented %v, want %v", got, want)
			}
		})
	}
}

func TestMayStartNamesBrokenRule(t *testing.T) {
	for _, c := range []struct {
		start Start
		want  Rule
	}{
		{Start{Now: second, Deadline: 2 * second}, NoRule},
		{Start{Now: second, Deadline: 2 * second, MayHaveRun: true}, NoRule},
		{Start{Now: second, Deadline: 2 * second, NonIdempotent: true}, NoRule},
		{Start{Now: second, Deadline: 2 * second, NonIdempotent: true, MayHaveRun: true}, Duplicate},
		{Start{Now: second, Deadline: 2 * second, Answered: true}, Answered},
		{Start{Now: 2 * second, Deadline: 2 * second}, Deadline},
	} {
		var guard Guard
		if rule, ok := guard.MayStart(c.start); rule != c.want || ok != (c.want == NoRule) {
			t.Errorf("%+v: rule %v, allowed %v; want %v", c.start, rule, ok, c.want)
		}
	}
}

func TestViolationsAreCountedAndReported(t *testing.T) {
	var reported []string
	report := func(rule Rule, subject string) { reported = append(reported, rule.String()+" "+subject) }
	guard := Guard{Report: report}
	start := Start{Now: second, Deadline: 2 * second}
	send := Send{Now: second, Deadline: 2 * second}
	repeat := start
	repeat.NonIdempotent = true
	repeat.MayHaveRun = true
	toRemoved := send
	toRemoved.Leaving = true

	guard.CheckSent(start, send, "fine")
	guard.CheckSent(repeat, send, "twice")
	guard.CheckSent(start, toRemoved, "removed")
	guard.CheckClosed(false, "fine")
	guard.CheckClosed(true, "client")

	if want := (Counts{"duplicate": 1, "drain": 1, "unanswered": 1}); !maps.Equal(guard.Violated(), want) {
		t.Errorf("violated %v, want %v", guard.Violated(), want)
	}
	if want := "[duplicate twice drain removed unanswered client]"; fmt.Sprint(reported) != want {
		t.Errorf("reported %q, want %s", reported, want)
	}
	if len(guard.Prevented()) > 0 {
		t.Errorf("prevented %v, want nothing: a check after the action cannot prevent it", guard.Prevented())
	}
}

func ExampleGuard() {
	var guard Guard
	rule, ok := guard.MaySend(Send{Now: 3 * time.Second, Deadline: 2 * time.Second})
	fmt.Println(rule, ok, guard.Prevented())
	// Output: deadline false map[deadline:1]
}
