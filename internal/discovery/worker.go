package discovery

import (
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/freshness"
)

// Worker is one worker as the source last listed it.
type Worker struct {
	Name       string
	Address    string // host:port
	State      decision.WorkerState
	StateSince time.Duration // clock time at which State was learned

	endpoint          endpoint // as listed
	evidence          freshness.HealthEvidence
	healthConfirmedAt time.Duration // when the latest health check that succeeded was sent; 0 if none has
	suspended         bool          // the dispatcher sends it nothing
}

// HealthCheckPassed reports that a worker has passed a health check that was sent at clock time sentAt.
func (r *Registry) HealthCheckPassed(worker *Worker, sentAt time.Duration) {
	worker.healthConfirmedAt = sentAt
}

// HealthCheckFailed reports that a worker failed a health check. The worker is suspended if the list is unconfirmed.
func (r *Registry) HealthCheckFailed(worker *Worker) {
	worker.evidence.Invalidate(&r.freshness.tracker)
	if r.freshness.state == freshness.Unconfirmed {
		r.suspend(worker)
	}
}

// ConnectFailed reports that no connection to a worker could be established.
func (r *Registry) ConnectFailed(worker *Worker) { worker.evidence.Invalidate(&r.freshness.tracker) }
