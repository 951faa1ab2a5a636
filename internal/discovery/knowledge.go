package discovery

import (
	"fmt"
	"slices"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/freshness"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// This file owns what may be done by the list of backends as it grows old: it
// suspends and resumes backends at the module, and lets a request out only to one
// that may have it. It must never let a list count as current longer than
// internal/freshness says.

// Admission is what may become of a request that is ready to leave for a backend.
type Admission uint8

const (
	Admitted         Admission = iota
	NeedsHealthCheck           // once the backend has shown that it still serves
	Suspended                  // not at present
)

// Refresh brings up to date what may be done by the list.
func (s *Registry) Refresh() {
	knowledge, now := s.currentKnowledge(), s.dispatcher.Loop.Now()
	s.usable = s.usable || s.initialEntries == nil && knowledge != freshness.Unknown
	if knowledge == s.knowledge {
		return
	}
	s.knowledge = knowledge
	s.dispatcher.Log(fmt.Sprintf("the list of workers is %v, discovery was last heard %v ago", knowledge, (now - s.tracker.ConfirmedAt()).Round(time.Millisecond)))
	if knowledge == freshness.Unknown {
		s.suspendAll()
		return
	}
	s.resume(func(b *Worker) bool { return knowledge == freshness.Current || b.proof.Holds(&s.tracker) })
}

// refreshAndSchedule is told that what may be done by the list may have changed by itself.
func (s *Registry) refreshAndSchedule() {
	s.Refresh()
	if next := s.tracker.NextChange(s.dispatcher.Loop.Now()); next > 0 {
		s.dispatcher.Loop.Set(&s.freshnessTimer, next)
	}
}

// currentKnowledge tells what the list is good for. One that nobody renews does not
// grow old, and where backends cannot be asked, an unconfirmed one is served by.
func (s *Registry) currentKnowledge() freshness.Knowledge {
	if s.follower != nil || s.watch.address == "" || s.initialEntries != nil {
		return freshness.Current
	}
	knowledge := s.tracker.Knowledge(s.dispatcher.Loop.Now())
	if knowledge == freshness.Unconfirmed && !s.dispatcher.Settings.HealthChecks {
		return freshness.Current
	}
	return knowledge
}

// sourceHeard tells that a whole line of discovery has come.
func (s *Registry) sourceHeard() {
	s.tracker.Confirmed(s.dispatcher.Loop.Now())
	s.refreshAndSchedule()
	if s.knowledge == freshness.Unknown { // what is listed anew too
		s.suspendAll()
	}
}

// suspendAll suspends all backends that are listed as running.
func (s *Registry) suspendAll() {
	var names []string
	for name, b := range s.workers {
		if b.State == decision.Running && !b.suspended {
			b.suspended = true
			names = append(names, name)
		}
	}
	slices.Sort(names) // a map's order would make runs differ
	s.dispatcher.SuspendWorkers(s.client, names)
}

// suspend suspends one backend until the list is current again.
func (s *Registry) suspend(b *Worker) {
	if b.suspended || s.workers[b.Name] != b {
		return
	}
	b.suspended = true
	s.dispatcher.TraceStep("", "worker suspended", "backend", b.Name)
	s.dispatcher.SuspendWorkers(s.client, []string{b.Name})
}

// resume takes back the suspension of those that may be sent to.
func (s *Registry) resume(may func(*Worker) bool) {
	var names []string
	for name, b := range s.workers {
		if b.suspended && may(b) {
			b.suspended = false
			names = append(names, name)
		}
	}
	slices.Sort(names)
	s.dispatcher.ResumeWorkers(s.client, names)
}

// Admit tells what may become of a request that is ready to leave for a backend.
func (s *Registry) Admit(b *Worker, now time.Duration) Admission {
	switch s.currentKnowledge() {
	case freshness.Current:
		return Admitted
	case freshness.Unknown:
		return Suspended
	}
	if !b.proof.Holds(&s.tracker) {
		s.suspend(b)
		return Suspended
	}
	if b.healthConfirmedAt > 0 && now-b.healthConfirmedAt <= s.dispatcher.Settings.DrainGrace/confirmedPart {
		return Admitted
	}
	return NeedsHealthCheck
}

// confirmedPart is the part of a drain's grace for which an answer to a probe holds,
// counted from when the probe left: the backend may begin to drain right after it.
const confirmedPart = 2

// classifyFailure tells what a call to discovery that ended in vain says of it.
func (w *watch) classifyFailure(err error) freshness.Failure {
	switch {
	case w.conn == nil, errStatus(err), transport.IsLocalError(err):
		return freshness.NotReached
	case w.usesAgent():
		if w.headRead && !w.established {
			return freshness.BrokenOff
		}
		return freshness.NotReached
	case err == errWatchEnded && w.established && !w.midLine(): // as when it goes down
		return freshness.NotReached
	case w.headRead:
		return freshness.BrokenOff
	}
	return freshness.NotReached
}

// HealthConfirmed tells that a worker has answered a health check that left at a time.
func (s *Registry) HealthConfirmed(b *Worker, asked time.Duration) { b.healthConfirmedAt = asked }

// HealthDenied tells that a worker has not shown that it serves, though it was asked.
func (s *Registry) HealthDenied(b *Worker) {
	b.proof.Denied(&s.tracker)
	if s.knowledge == freshness.Unconfirmed {
		s.suspend(b)
	}
}

// ConnectFailed tells that no connection to a worker came up.
func (s *Registry) ConnectFailed(b *Worker) { b.proof.Denied(&s.tracker) }
