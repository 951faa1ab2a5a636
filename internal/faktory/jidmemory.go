package faktory

import (
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
)

// A jid is remembered while its job is in progress. If the job was served, or may
// have run and must not run again, its jid is remembered for jidRetention after
// that, which is longer than the half hour for which an upstream server reserves a
// job by default. At most maxCompletedJids completed ones are remembered, the
// newest. Nothing is remembered over a restart.
const (
	jidRetention     = 2 * time.Hour
	maxCompletedJids = 50_000
)

// jidStatus is what is known about a jid.
type jidStatus uint8

const (
	jidUnknown jidStatus = iota // not seen before, or may run again
	jidInProgress
	jidServed
	jidMayHaveRun
)

// jidEntry is a jid that is remembered.
type jidEntry struct {
	status     jidStatus
	since      time.Duration
	worker     string                    // that its job was last handed out to; empty if to none of this front end
	onResponse []func(dispatch.Response) // called with the final result of a job in progress
}

// completedJid is an entry of the list of completed jids.
type completedJid struct {
	id    string
	since time.Duration
}

// jidMemory recognises jids that are pushed or delivered again, in either role. It
// prevents direct jobs from running twice.
type jidMemory struct {
	entries   map[string]*jidEntry
	completed []completedJid // the oldest first; some of these jids may be in progress again
}

// newJidMemory returns a memory without jids.
func newJidMemory() *jidMemory { return &jidMemory{entries: map[string]*jidEntry{}} }

// status returns what is known about a jid.
func (m *jidMemory) status(id string) jidStatus {
	if entry := m.entries[id]; entry != nil {
		return entry.status
	}
	return jidUnknown
}

// begin records that a job is in progress.
func (m *jidMemory) begin(id string, now time.Duration) {
	m.expire(now)
	m.entries[id] = &jidEntry{status: jidInProgress, since: now}
}

// handedOut records the worker that a job in progress was handed out to.
func (m *jidMemory) handedOut(id, worker string) {
	entry := m.entries[id]
	if entry != nil && entry.status == jidInProgress {
		entry.worker = worker
	}
}

// whenFinished registers onResponse to be called with the final result of a job
// in progress.
func (m *jidMemory) whenFinished(id string, onResponse func(dispatch.Response)) {
	entry := m.entries[id]
	entry.onResponse = append(entry.onResponse, onResponse)
}

// finish records the final result of a job in progress, and passes it to the
// functions that were registered with whenFinished.
func (m *jidMemory) finish(id string, response dispatch.Response, idempotency decision.Idempotency, now time.Duration) {
	entry := m.entries[id]
	if entry == nil || entry.status != jidInProgress {
		return
	}
	waiting := entry.onResponse
	switch {
	case response.Outcome == dispatch.Served:
		m.complete(id, jidServed, now)
	case response.MayHaveRun && idempotency != decision.Idempotent:
		m.complete(id, jidMayHaveRun, now)
	default:
		delete(m.entries, id)
	}
	for _, onResponse := range waiting {
		onResponse(response)
	}
}

// confirm records the late ACK of a worker, which proves that a job that may have
// run there has run.
func (m *jidMemory) confirm(id, worker string, now time.Duration) {
	entry := m.entries[id]
	if entry != nil && entry.status == jidMayHaveRun && entry.worker == worker {
		m.complete(id, jidServed, now)
	}
}

// complete records the result of a job that must not run again.
func (m *jidMemory) complete(id string, status jidStatus, now time.Duration) {
	entry := m.entries[id]
	m.entries[id] = &jidEntry{status: status, since: now, worker: entry.worker}
	m.completed = append(m.completed, completedJid{id: id, since: now})
	m.expire(now)
}

// expire removes the oldest completed jids that are too many or too old.
func (m *jidMemory) expire(now time.Duration) {
	for len(m.completed) > 0 {
		oldest := m.completed[0]
		entry := m.entries[oldest.id]
		superseded := entry == nil || entry.status == jidInProgress || entry.since != oldest.since
		if !superseded {
			if len(m.completed) <= maxCompletedJids && now-entry.since < jidRetention {
				return
			}
			delete(m.entries, oldest.id)
		}
		m.completed = m.completed[1:]
	}
}
