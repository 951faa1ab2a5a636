package jobs

import (
	"errors"
	"testing"
	"time"
)

// These tests guard against a report that finishes a job which no worker has run. An ACK without a fence once made a
// stored job Done that had never been delivered: a job that was never leased has fence 0, a report without a fence has
// 0 too, and Ack compared only the two numbers. A report must be accepted only under a lease that a worker holds, or
// held until it expired. The tests send every report about a job in every state in which there is no such lease.

// unleasedJob is a non-idempotent job that was never delivered to a worker, or was returned unstarted, and a fence under
// which no report about it may be accepted.
type unleasedJob struct {
	name    string
	prepare func(m *machineWithStore)
	fence   uint64
	state   State
}

func unleasedJobs() []unleasedJob {
	push := func(m *machineWithStore) { m.push(Job{ID: "r", NonIdempotent: true}) }
	return []unleasedJob{
		{"being stored", func(m *machineWithStore) { m.Push(m.now, Job{ID: "r", NonIdempotent: true}, 0) }, 0, Accepted},
		{"scheduled", func(m *machineWithStore) {
			m.applyEffects(m.Push(m.now, Job{ID: "r", NonIdempotent: true}, time.Hour))
		}, 0, Scheduled},
		{"ready", push, 0, Ready},
		{"ready after a restart", func(m *machineWithStore) {
			push(m)
			m.restart()
		}, 0, Ready},
		{"its lease could not be stored", func(m *machineWithStore) {
			push(m)
			m.Assign(m.now, "r", "w", NoGuarantee)
			job, _ := m.Get("r")
			m.applyEffects(m.StoreFailed("r", job.Version, errDiskFull))
		}, 1, Ready},
		{"its lease was returned before it started", func(m *machineWithStore) {
			push(m)
			m.fail("r", m.lease("r", NoGuarantee), "full", false)
		}, 1, Ready},
		{"its lease was returned, after a restart", func(m *machineWithStore) {
			push(m)
			m.fail("r", m.lease("r", NoGuarantee), "full", false)
			m.restart()
		}, 1, Ready},
	}
}

// reports are all reports of a worker about a job.
func reports() map[string]func(m *machineWithStore, fence uint64) error {
	return map[string]func(m *machineWithStore, fence uint64) error{
		"ack": func(m *machineWithStore, fence uint64) error {
			return m.applyEffects(m.Ack(m.now, "r", fence, nil))
		},
		"fail": func(m *machineWithStore, fence uint64) error {
			return m.applyEffects(m.Fail(m.now, "r", fence, "no card", true))
		},
		"fail, not started": func(m *machineWithStore, fence uint64) error {
			return m.applyEffects(m.Fail(m.now, "r", fence, "full", false))
		},
		"start": func(m *machineWithStore, fence uint64) error {
			effects, err := m.Start(m.now, "r", fence)
			m.applyEffects(effects)
			return err
		},
		"extend": func(m *machineWithStore, fence uint64) error {
			m.Extend("r", fence, m.now+time.Hour)
			return ErrLeaseVoid // Extend has no answer
		},
	}
}

// Each report about a job that no worker holds a lease on is rejected and does not change the job.
func TestJobWithoutLeaseRejectsEveryReport(t *testing.T) {
	for _, job := range unleasedJobs() {
		for report, send := range reports() {
			t.Run(job.name+"/"+report, func(t *testing.T) {
				m := newMachineWithStore(t)
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
