// Package invariant owns the rules that every start, send, repeat and close passes,
// and counts what it kept from happening and what happened all the same. It is pure:
// time is an argument. It must never decide which worker is best, nor end the
// program: a violation is counted and reported, and service goes on.
package invariant

import "time"

// Rule is a rule that must hold at all times.
type Rule uint8

// The rules.
const (
	None       Rule = iota
	Drain           // nothing goes to a worker that drains or has gone, beyond the grace
	ListStale       // nothing goes out by a list that may be too old
	Deadline        // nothing goes out once its client waits no more
	Window          // no repeat arrives once workers have forgotten the first attempt
	Duplicate       // what must not run twice has one attempt that may have run
	Answered        // nothing goes out for a request that has its final answer
	Unanswered      // no client is closed on that is owed an answer
	rules
)

func (r Rule) String() string {
	return [...]string{"none", "drain", "old_list", "deadline", "window", "duplicate", "answered", "unanswered"}[r]
}

// Send is what is known as a request, or the last byte of it, is about to leave.
// Times are those of the dispatcher's clock.
type Send struct {
	Now          time.Duration
	Deadline     time.Duration // when the client waits no more
	RepeatBy     time.Duration // when a repeat must have left; 0: it may leave at any time
	Leaving      bool          // the worker drains or has gone
	LeavingSince time.Duration // when that was notified
	Grace        time.Duration // for which it may be sent to all the same
	ListStale    bool          // the list that names the worker may be too old
}

// broken returns the rule that sending would break, or None.
func (s Send) broken() Rule {
	switch {
	case s.Leaving && s.Now-s.LeavingSince > s.Grace:
		return Drain
	case s.Deadline <= s.Now:
		return Deadline
	case s.RepeatBy > 0 && s.Now >= s.RepeatBy:
		return Window
	case s.ListStale:
		return ListStale
	}
	return None
}

// Start is what is known as an attempt is about to be made for a request.
type Start struct {
	Now           time.Duration
	Deadline      time.Duration
	Answered      bool // the request has its final answer
	NonIdempotent bool // it must not run twice
	MayHaveRun    bool // an earlier attempt may have
}

func (s Start) broken() Rule {
	switch {
	case s.Answered:
		return Answered
	case s.Deadline <= s.Now:
		return Deadline
	case s.NonIdempotent && s.MayHaveRun:
		return Duplicate
	}
	return None
}

// Guard is what all starts, sends, repeats and closes pass. Its zero value guards
// and counts; it belongs to one goroutine.
type Guard struct {
	// Report is told of each violation; nil: nobody is.
	Report func(rule Rule, subject string)

	prevented [rules]uint64
	violated  [rules]uint64
}

// MaySend tells whether a request may leave, and if not, which rule keeps it.
func (g *Guard) MaySend(s Send) (Rule, bool) { return g.prevent(s.broken()) }

// MayStart tells whether an attempt may be made, and if not, which rule keeps it.
func (g *Guard) MayStart(s Start) (Rule, bool) { return g.prevent(s.broken()) }

func (g *Guard) prevent(r Rule) (Rule, bool) {
	if r != None {
		g.prevented[r]++
	}
	return r, r == None
}

// CheckSent checks, behind the fact, what has left for a worker.
func (g *Guard) CheckSent(start Start, send Send, subject string) {
	g.check(start.broken(), subject)
	if r := send.broken(); r == Drain {
		g.check(r, subject)
	}
}

// CheckClosed checks, behind the fact, a client's connection that was closed here.
func (g *Guard) CheckClosed(owed bool, subject string) {
	if owed {
		g.check(Unanswered, subject)
	}
}

func (g *Guard) check(r Rule, subject string) {
	if r == None {
		return
	}
	g.violated[r]++
	if g.Report != nil {
		g.Report(r, subject)
	}
}

// Counts are numbers by the rules' names; rules without any are left out.
type Counts map[string]uint64

// Prevented counts what the guard kept from happening.
func (g *Guard) Prevented() Counts { return count(&g.prevented) }

// Violated counts what happened all the same.
func (g *Guard) Violated() Counts { return count(&g.violated) }

func count(numbers *[rules]uint64) Counts {
	counts := Counts{}
	for r, n := range numbers {
		if n > 0 {
			counts[Rule(r).String()] = n
		}
	}
	return counts
}
