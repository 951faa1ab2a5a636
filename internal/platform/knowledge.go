package platform

import (
	"fmt"
	"slices"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/freshness"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// This file owns what may be done by the list of backends as it grows old: it
// suspends and resumes backends at the module, and lets a request out only to one
// that may have it. It must never let a list count as current longer than
// internal/freshness says.

// admission is what may become of a request that is ready to leave for a backend.
type admission uint8

const (
	admitted  admission = iota
	confirm             // once the backend has shown that it still serves
	suspended           // not at present
)

// The dispatcher asks a worker client for this interface at run time.
var _ dispatch.Refresher = (*Backends)(nil)

// Refresh brings up to date what may be done by the list.
func (s *Backends) Refresh() {
	knowledge, now := s.knowledgeNow(), s.core.Loop.Now()
	s.usable = s.usable || s.first == nil && knowledge != freshness.Unknown
	if knowledge == s.knowledge {
		return
	}
	s.knowledge = knowledge
	s.core.Log(fmt.Sprintf("the list of workers is %v, discovery was last heard %v ago", knowledge, (now - s.age.ConfirmedAt()).Round(time.Millisecond)))
	if knowledge == freshness.Unknown {
		s.suspendAll()
		return
	}
	s.resume(func(b *backend) bool { return knowledge == freshness.Current || b.proof.Holds(&s.age) })
}

// look is told that what may be done by the list may have changed by itself.
func (s *Backends) look() {
	s.Refresh()
	if next := s.age.NextChange(s.core.Loop.Now()); next > 0 {
		s.core.Loop.Set(&s.oldDue, next)
	}
}

// knowledgeNow tells what the list is good for. One that nobody renews does not
// grow old, and where backends cannot be asked, an unconfirmed one is served by.
func (s *Backends) knowledgeNow() freshness.Knowledge {
	if s.follower != nil || s.watch.addr == "" || s.first != nil {
		return freshness.Current
	}
	knowledge := s.age.Knowledge(s.core.Loop.Now())
	if knowledge == freshness.Unconfirmed && !s.core.Settings.HealthChecks {
		return freshness.Current
	}
	return knowledge
}

// heard tells that a whole line of discovery has come.
func (s *Backends) heard() {
	s.age.Confirmed(s.core.Loop.Now())
	s.look()
	if s.knowledge == freshness.Unknown { // what is listed anew too
		s.suspendAll()
	}
}

// suspendAll suspends all backends that are listed as running.
func (s *Backends) suspendAll() {
	var names []string
	for name, b := range s.hosts {
		if b.state == decision.Running && !b.suspended {
			b.suspended = true
			names = append(names, name)
		}
	}
	slices.Sort(names) // a map's order would make runs differ
	s.core.SuspendWorkers(s, names)
}

// suspend suspends one backend until the list is current again.
func (s *Backends) suspend(b *backend) {
	if b.suspended || s.hosts[b.name] != b {
		return
	}
	b.suspended = true
	s.core.TraceStep("", "worker suspended", "backend", b.name)
	s.core.SuspendWorkers(s, []string{b.name})
}

// resume takes back the suspension of those that may be sent to.
func (s *Backends) resume(may func(*backend) bool) {
	var names []string
	for name, b := range s.hosts {
		if b.suspended && may(b) {
			b.suspended = false
			names = append(names, name)
		}
	}
	slices.Sort(names)
	s.core.ResumeWorkers(s, names)
}

// admit tells what may become of a request that is ready to leave for a backend.
func (s *Backends) admit(b *backend, now time.Duration) admission {
	switch s.knowledgeNow() {
	case freshness.Current:
		return admitted
	case freshness.Unknown:
		return suspended
	}
	if !b.proof.Holds(&s.age) {
		s.suspend(b)
		return suspended
	}
	if b.confirmed > 0 && now-b.confirmed <= s.core.Settings.DrainGrace/confirmedPart {
		return admitted
	}
	return confirm
}

// confirmedPart is the part of a drain's grace for which an answer to a probe holds,
// counted from when the probe left: the backend may begin to drain right after it.
const confirmedPart = 2

// ask asks the backend of the line's attempt whether it still serves, before its request.
func (l *line) ask(now time.Duration) {
	l.confirming, l.probe, l.asked = true, true, now
	l.write(now)
}

// answered goes on with the attempt of a line whose backend has answered a probe made for it.
func (l *line) answered() {
	l.confirming = false
	served := l.status == statusOK
	reusable := !l.last
	attempt := l.attempt
	l.resetAnswer()
	if !served {
		l.deny()
		l.settle(decision.NotSent, decision.LoadReport{}, nil)
		l.rest()
		return
	}
	l.b.confirmed = l.asked
	if l.set.core.ClientGone(attempt) {
		return
	}
	if reusable {
		l.send()
		return
	}
	l.move(false)
	l.close()
}

// unconfirmed ends an attempt whose backend has not answered the probe made for it.
// A kept connection may have been dead for long: the attempt goes on on another.
func (l *line) unconfirmed() {
	l.confirming, l.probe = false, false
	if l.kept {
		l.move(l.fresh)
		return
	}
	l.deny()
	l.settle(decision.NotSent, decision.LoadReport{}, nil)
}

// deny books that the line's backend has not shown that it serves.
func (l *line) deny() {
	l.b.proof.Denied(&l.set.age)
	if l.set.knowledge == freshness.Unconfirmed {
		l.set.suspend(l.b)
	}
}

// move takes the line's attempt to another connection of the same backend.
func (l *line) move(fresh bool) {
	s, attempt := l.set, l.attempt
	l.attempt = 0
	n := l.b.take(l.job.RepeatUnsafe)
	if n == nil {
		n = s.dial(l.b)
	}
	n.attempt, n.job, n.fresh = attempt, l.job, fresh
	s.lines[attempt] = n
	if n.conn != nil && !s.core.ClientGone(attempt) {
		n.send()
	}
}

// failure tells what a call to discovery that ended in vain says of it.
func (w *watch) failure(err error) freshness.Failure {
	switch {
	case w.conn == nil, errStatus(err), transport.IsLocalError(err):
		return freshness.NotReached
	case w.pushed():
		if w.ok && !w.live {
			return freshness.BrokenOff
		}
		return freshness.NotReached
	case err == errWatchEnded && w.live && !w.midLine(): // as when it goes down
		return freshness.NotReached
	case w.ok:
		return freshness.BrokenOff
	}
	return freshness.NotReached
}
