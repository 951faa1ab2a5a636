package platform

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

// admission is what may become of a request that is ready to leave for a backend.
type admission uint8

const (
	admitted  admission = iota
	confirm             // once the backend has shown that it still serves
	suspended           // not at present
)

// Refresh brings up to date what may be done by the list.
func (s *Registry) Refresh() {
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
func (s *Registry) look() {
	s.Refresh()
	if next := s.age.NextChange(s.core.Loop.Now()); next > 0 {
		s.core.Loop.Set(&s.oldDue, next)
	}
}

// knowledgeNow tells what the list is good for. One that nobody renews does not
// grow old, and where backends cannot be asked, an unconfirmed one is served by.
func (s *Registry) knowledgeNow() freshness.Knowledge {
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
func (s *Registry) heard() {
	s.age.Confirmed(s.core.Loop.Now())
	s.look()
	if s.knowledge == freshness.Unknown { // what is listed anew too
		s.suspendAll()
	}
}

// suspendAll suspends all backends that are listed as running.
func (s *Registry) suspendAll() {
	var names []string
	for name, b := range s.hosts {
		if b.state == decision.Running && !b.suspended {
			b.suspended = true
			names = append(names, name)
		}
	}
	slices.Sort(names) // a map's order would make runs differ
	s.core.SuspendWorkers(s.client, names)
}

// suspend suspends one backend until the list is current again.
func (s *Registry) suspend(b *backend) {
	if b.suspended || s.hosts[b.name] != b {
		return
	}
	b.suspended = true
	s.core.TraceStep("", "worker suspended", "backend", b.name)
	s.core.SuspendWorkers(s.client, []string{b.name})
}

// resume takes back the suspension of those that may be sent to.
func (s *Registry) resume(may func(*backend) bool) {
	var names []string
	for name, b := range s.hosts {
		if b.suspended && may(b) {
			b.suspended = false
			names = append(names, name)
		}
	}
	slices.Sort(names)
	s.core.ResumeWorkers(s.client, names)
}

// admit tells what may become of a request that is ready to leave for a backend.
func (s *Registry) admit(b *backend, now time.Duration) admission {
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

// HealthConfirmed tells that a worker has answered a health check that left at a time.
func (s *Registry) HealthConfirmed(b *backend, asked time.Duration) { b.confirmed = asked }

// HealthDenied tells that a worker has not shown that it serves, though it was asked.
func (s *Registry) HealthDenied(b *backend) {
	b.proof.Denied(&s.age)
	if s.knowledge == freshness.Unconfirmed {
		s.suspend(b)
	}
}

// ConnectFailed tells that no connection to a worker came up.
func (s *Registry) ConnectFailed(b *backend) { b.proof.Denied(&s.age) }
