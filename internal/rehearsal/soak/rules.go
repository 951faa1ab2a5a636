package soak

import (
	"fmt"
	"net/http"
	"time"
)

// Bounds of the rules, as the dispatchers' settings give them.
const (
	notificationTime  = 6 * time.Second // until a dispatcher must know a change of the list
	drainGrace        = 500 * time.Millisecond
	answerSlack       = 500 * time.Millisecond // a later answer than this after the timeout is lost
	cancellationSlack = 100 * time.Millisecond // from a client's close to the last attempt that may begin
	timeLeftSlack     = 150 * time.Millisecond

	// machineSlack is what a machine that runs everything at once may add to each bound, and
	// tracedSlack what tracing every system call may add. Later timers add their lateness.
	machineSlack = 400 * time.Millisecond
	tracedSlack  = 4 * time.Second
)

// The rules, as violations name them.
const (
	ruleLost      = "lost"
	ruleDuplicate = "duplicate"
	ruleDrain     = "drain"
	ruleTimeLeft  = "time left"
)

// slackFor is what is allowed beyond each bound for a dispatcher.
func (r *run) slackFor(d *daemon) time.Duration {
	slack := machineSlack + 2*time.Duration(r.lateness.Load())
	if d.trace != nil {
		slack += tracedSlack
	}
	return slack
}

// checkRules checks the records against the rules.
func (r *run) checkRules() Report {
	report := Report{
		Seed:       r.Seed,
		Requests:   len(r.records.requests),
		Attempts:   len(r.records.attempts),
		Incomplete: r.records.incomplete,
		Lateness:   time.Duration(r.lateness.Load()),
		Faults:     len(schedule(r.Seed, r.Config)),
	}
	for _, d := range r.daemons {
		d.fetchInvariants()
		report.Violations = append(report.Violations, d.violations()...)
	}
	requests := map[string]*request{}
	for i := range r.records.requests {
		q := &r.records.requests[i]
		requests[q.id] = q
		r.checkRequest(q, &report)
	}
	attempts := map[string]int{}
	for _, a := range r.records.attempts {
		if a.class == classRenewal {
			attempts[a.id]++
			if attempts[a.id] > 1 {
				report.addViolation(r, a.arrived, ruleDuplicate, "%s came %d times, now to %s", a.id, attempts[a.id], a.worker)
			}
		}
		if q := requests[a.id]; q != nil {
			r.checkAttempt(q, a, &report)
		}
	}
	return report
}

// addViolation adds a violation with its time since the start of the run.
func (r *Report) addViolation(s *run, at time.Time, rule, format string, values ...any) {
	description := fmt.Sprintf(format, values...)
	r.Violations = append(r.Violations, fmt.Sprintf("%.3f %s: %s", at.Sub(s.start).Seconds(), rule, description))
}

// checkRequest checks that a client that waited has its answer in time.
func (r *run) checkRequest(q *request, report *Report) {
	latest := q.sent.Add(q.timeout + answerSlack + r.slackFor(q.daemon))
	switch {
	case q.daemon.wasUnavailable(q.sent.Add(-recoveryTime), latest):
		report.Excused++
	case !q.clientLeft.IsZero():
	case q.status == 0:
		report.addViolation(r, q.sent, ruleLost, "%s has no answer", q.id)
	case q.answered.After(latest):
		report.addViolation(r, q.sent, ruleLost, "%s was answered after %v of %v", q.id, q.answered.Sub(q.sent), q.timeout)
	default:
		report.Answered++
		if q.status == http.StatusOK {
			report.Served++
		}
	}
}

// checkAttempt checks that an attempt was allowed to begin at its worker when it did. What a
// dispatcher wrote right before it was stopped may arrive while it is.
func (r *run) checkAttempt(q *request, a attempt, report *Report) {
	slack := r.slackFor(q.daemon)
	wasStopped := q.daemon.wasUnavailable(a.arrived.Add(-slack), a.arrived)
	if since, unlisted := r.discovery.unlistedSince(a.worker, a.arrived); unlisted {
		late := a.arrived.Sub(r.discovery.notificationDeadline(since)) - drainGrace
		if late > slack {
			report.addViolation(r, a.arrived, ruleDrain, "%s came to %s, %v beyond the notification and the grace", a.id, a.worker, late)
		}
	}
	if wasStopped {
		return
	}
	if !q.clientLeft.IsZero() && a.arrived.Sub(q.clientLeft) > cancellationSlack+slack {
		report.addViolation(r, a.arrived, ruleLost, "%s came to %s %v after its client had left", a.id, a.worker, a.arrived.Sub(q.clientLeft))
	}
	excess := a.timeLeft - (q.timeout - a.arrived.Sub(q.sent)) - timeLeftSlack
	if excess > slack {
		report.addViolation(r, a.arrived, ruleTimeLeft, "%s was told %v, which is %v too much", a.id, a.timeLeft, excess)
	}
}
