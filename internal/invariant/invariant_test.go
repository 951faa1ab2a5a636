package invariant

import (
	"fmt"
	"maps"
	"testing"
	"time"
)

const s = time.Second

func TestMaySend(t *testing.T) {
	good := Send{Now: 10 * s, Deadline: 12 * s}
	for name, c := range map[string]struct {
		change func(*Send)
		want   Rule
	}{
		"good":                     {func(*Send) {}, None},
		"drains, within the grace": {func(x *Send) { x.Leaving, x.LeavingSince, x.Grace = true, 9500*time.Millisecond, 500*time.Millisecond }, None},
		"drains, beyond the grace": {func(x *Send) { x.Leaving, x.LeavingSince, x.Grace = true, 9499*time.Millisecond, 500*time.Millisecond }, Drain},
		"at its deadline":          {func(x *Send) { x.Deadline = 10 * s }, Deadline},
		"a repeat in its window":   {func(x *Send) { x.RepeatBy = 11 * s }, None},
		"a repeat at its end":      {func(x *Send) { x.RepeatBy = 10 * s }, Window},
		"by an old list":           {func(x *Send) { x.ListStale = true }, ListStale},
	} {
		t.Run(name, func(t *testing.T) {
			var g Guard
			send := good
			c.change(&send)
			if rule, ok := g.MaySend(send); rule != c.want || ok != (c.want == None) {
				t.Errorf("%v, %v", rule, ok)
			}
			want := Counts{}
			if c.want != None {
				want[c.want.String()] = 1
			}
			if got := g.Prevented(); !maps.Equal(got, want) {
				t.Errorf("counted %v", got)
			}
		})
	}
}

func TestMayStart(t *testing.T) {
	for _, c := range []struct {
		start Start
		want  Rule
	}{
		{Start{Now: s, Deadline: 2 * s}, None},
		{Start{Now: s, Deadline: 2 * s, MayHaveRun: true}, None},
		{Start{Now: s, Deadline: 2 * s, NonIdempotent: true}, None},
		{Start{Now: s, Deadline: 2 * s, NonIdempotent: true, MayHaveRun: true}, Duplicate},
		{Start{Now: s, Deadline: 2 * s, Answered: true}, Answered},
		{Start{Now: 2 * s, Deadline: 2 * s}, Deadline},
	} {
		var g Guard
		if rule, ok := g.MayStart(c.start); rule != c.want || ok != (c.want == None) {
			t.Errorf("%+v: %v, %v", c.start, rule, ok)
		}
	}
}

func TestViolationsAreCountedAndReported(t *testing.T) {
	var reported []string
	g := Guard{Report: func(r Rule, subject string) { reported = append(reported, r.String()+" "+subject) }}
	g.CheckSent(Start{Now: s, Deadline: 2 * s}, Send{Now: s, Deadline: 2 * s}, "fine")
	g.CheckSent(Start{Now: s, Deadline: 2 * s, NonIdempotent: true, MayHaveRun: true}, Send{Now: s, Deadline: 2 * s}, "twice")
	g.CheckSent(Start{Now: s, Deadline: 2 * s}, Send{Now: s, Deadline: 2 * s, Leaving: true}, "gone")
	g.CheckClosed(false, "fine")
	g.CheckClosed(true, "owed")
	if want := (Counts{"duplicate": 1, "drain": 1, "unanswered": 1}); !maps.Equal(g.Violated(), want) {
		t.Errorf("counted %v", g.Violated())
	}
	if fmt.Sprint(reported) != "[duplicate twice drain gone unanswered owed]" {
		t.Errorf("reported %q", reported)
	}
	if len(g.Prevented()) > 0 {
		t.Errorf("prevented %v", g.Prevented())
	}
}

func ExampleGuard() {
	var guard Guard
	rule, ok := guard.MaySend(Send{Now: 3 * time.Second, Deadline: 2 * time.Second})
	fmt.Println(rule, ok, guard.Prevented())
	// Output: deadline false map[deadline:1]
}
