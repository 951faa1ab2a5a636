package jobs

import (
	"errors"
	"testing"
	"time"
)

// A paid job was lost without having run: an ACK without a fence ended a job that was stored and that no worker had
// ever been given, and its producer found it done. The cause: a job that was never leased has fence 0, a report without
// a fence has 0 too, and Ack compared the two numbers alone; the test showed "reply r done" for a job that was never
// delivered. A report counts only under a lease that a worker has, or had until it expired. These tests report jobs in
// every state in which nobody has such a lease.

// unleasedJob is a non-idempotent job that no worker has or has had in its hands, and a fence that is no lease of it.
type unleasedJob struct {
	name    string
	prepare func(m *storedMachine)
	fence   uint64
	state   State
}

func unleasedJobs() []unleasedJob {
	push := func(m *storedMachine) { m.push(Job{ID: "r", NonIdempotent: true}) }
	return []unleasedJob{
		{"being stored", func(m *storedMachine) { m.Push(m.now, Job{ID: "r", NonIdempotent: true}, 0) }, 0, Accepted},
		{"for later", func(m *storedMachine) {
			m.carryOut(m.Push(m.now, Job{ID: "r", NonIdempotent: true}, time.Hour))
		}, 0, Scheduled},
		{"ready", push, 0, Ready},
		{"ready after a restart", func(m *storedMachine) {
			push(m)
			m.restart()
		}, 0, Ready},
		{"its lease could not be stored", func(m *storedMachine) {
			push(m)
			m.Assign(m.now, "r", "w", NoGuarantee)
			job, _ := m.Get("r")
			m.carryOut(m.StoreFailed("r", job.Version, errDiskFull))
		}, 1, Ready},
		{"its lease was given back before it began", func(m *storedMachine) {
			push(m)
			m.fail("r", m.lease("r", NoGuarantee), "full", false)
		}, 1, Ready},
		{"given back, after a restart", func(m *storedMachine) {
			push(m)
			m.fail("r", m.lease("r", NoGuarantee), "full", false)
			m.restart()
		}, 1, Ready},
	}
}

// reports are all reports of a worker about a job.
func reports() map[string]func(m *storedMachine, fence uint64) error {
	return map[string]func(m *storedMachine, fence uint64) error{
		"ack": func(m *storedMachine, fence uint64) error {
			return m.carryOut(m.Ack(m.now, "r", fence, nil))
		},
		"fail": func(m *storedMachine, fence uint64) error {
			return m.carryOut(m.Fail(m.now, "r", fence, "no card", true))
		},
		"fail, not begun": func(m *storedMachine, fence uint64) error {
			return m.carryOut(m.Fail(m.now, "r", fence, "full", false))
		},
		"start": func(m *storedMachine, fence uint64) error {
			effects, err := m.Start(m.now, "r", fence)
			m.carryOut(effects)
			return err
		},
		"extend": func(m *storedMachine, fence uint64) error {
			m.Extend("r", fence, m.now+time.Hour)
			return ErrLeaseVoid // it has no answer
		},
	}
}

// No report changes a job that no worker has a lease of, and each is rejected.
func TestJobWithoutLeaseOutlivesEveryReport(t *testing.T) {
	for _, job := range unleasedJobs() {
		for report, send := range reports() {
			t.Run(job.name+"/"+report, func(t *testing.T) {
				m := newStoredMachine(t)
				job.prepare(m)
				before, _ := m.Get("r")
				if err := send(m, job.fence); !errors.Is(err, ErrLeaseVoid) {
					t.Errorf("answered %v, want %v", err, ErrLeaseVoid)
				}
				m.expectState("r", job.state)
				after, _ := m.Get("r")
				if after.Version != before.Version || after.DueAt != before.DueAt {
					t.Errorf("changed from %+v to %+v", before, after)
				}
			})
		}
	}
}
