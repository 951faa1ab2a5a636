package discovery

import (
	"slices"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/freshness"
)

// Admission is the decision whether a request that is ready may be sent to a worker, given the freshness of the list.
type Admission uint8

const (
	// Admitted: the request may be sent.
	Admitted Admission = iota
	// NeedsHealthCheck: it may be sent once the worker has passed a health check.
	NeedsHealthCheck
	// Suspended: it may not be sent to this worker at present.
	Suspended
)

// healthValidityFraction divides the drain grace. A passed health check is valid for the resulting time, counted from
// when the check was sent, since the worker may begin to drain right after it.
const healthValidityFraction = 2

// Admit decides whether a request that is ready may be sent to a worker now. If the list is unconfirmed and the worker
// has failed a health check or could not be connected to, Admit also suspends the worker.
func (r *Registry) Admit(worker *Worker, now time.Duration) Admission {
	switch r.currentState() {
	case freshness.Current:
		return Admitted
	case freshness.Unknown:
		return Suspended
	}
	if !worker.evidence.Valid(&r.freshness.tracker) {
		r.suspend(worker)
		return Suspended
	}
	validity := r.dispatcher.Settings.DrainGrace / healthValidityFraction
	if worker.healthConfirmedAt > 0 && now-worker.healthConfirmedAt <= validity {
		return Admitted
	}
	return NeedsHealthCheck
}

// suspendAll suspends all running workers.
func (r *Registry) suspendAll() {
	var names []string
	for name, worker := range r.workers {
		if worker.State == decision.Running && !worker.suspended {
			worker.suspended = true
			names = append(names, name)
		}
	}
	slices.Sort(names) // map order would make runs differ
	r.dispatcher.SuspendWorkers(r.client, names)
}

// suspend suspends one worker until the list is current again.
func (r *Registry) suspend(worker *Worker) {
	if worker.suspended || r.workers[worker.Name] != worker {
		return
	}
	worker.suspended = true
	r.dispatcher.TraceStep("", "worker suspended", "worker", worker.Name)
	r.dispatcher.SuspendWorkers(r.client, []string{worker.Name})
}

// resumeIf ends the suspension of the workers for which allowed returns true.
func (r *Registry) resumeIf(allowed func(*Worker) bool) {
	var names []string
	for name, worker := range r.workers {
		if worker.suspended && allowed(worker) {
			worker.suspended = false
			names = append(names, name)
		}
	}
	slices.Sort(names) // map order would make runs differ
	r.dispatcher.ResumeWorkers(r.client, names)
}
