package soak

import (
	"fmt"
	"time"
)

// judge checks the records against the rules.
func (r *run) judge() Report {
	report := Report{Seed: r.Seed, Requests: len(r.records.requests), Arrivals: len(r.records.arrivals), BrokenOff: r.records.broken,
		Lateness: time.Duration(r.lateness.Load()), Faults: len(schedule(r.Seed, r.Config))}
	for _, d := range r.daemons {
		d.ask()
		report.Violations = append(report.Violations, d.violations()...)
	}
	requests := map[string]*request{}
	for i := range r.records.requests {
		q := &r.records.requests[i]
		requests[q.id] = q
		r.judgeRequest(q, &report)
	}
	runs := map[string]int{}
	for _, a := range r.records.arrivals {
		if a.class == "renewal" {
			if runs[a.id]++; runs[a.id] > 1 {
				report.broken(r, a.at, "duplicate", "%s came %d times, now to %s", a.id, runs[a.id], a.worker)
			}
		}
		if q := requests[a.id]; q != nil {
			r.judgeArrival(q, a, &report)
		}
	}
	return report
}

func (r *Report) broken(s *run, at time.Time, rule, format string, values ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf("%.3f %s: %s", at.Sub(s.start).Seconds(), rule, fmt.Sprintf(format, values...)))
}

// judgeRequest checks that a client that waited has its one answer in time.
func (r *run) judgeRequest(q *request, report *Report) {
	latest := q.sent.Add(q.wait + lateAnswer + r.slackOf(q.daemon))
	switch {
	case q.daemon.isExcused(q.sent.Add(-settled), latest):
		report.Excused++
	case !q.gone.IsZero():
	case q.status == 0:
		report.broken(r, q.sent, "lost", "%s has no answer", q.id)
	case q.answered.After(latest):
		report.broken(r, q.sent, "lost", "%s was answered after %v of %v", q.id, q.answered.Sub(q.sent), q.wait)
	default:
		report.Answered++
		if q.status == 200 {
			report.Served++
		}
	}
}

// judgeArrival checks that an attempt might begin at its worker when it did. What a
// dispatcher wrote right before it was held or ended may arrive meanwhile.
func (r *run) judgeArrival(q *request, a arrival, report *Report) {
	slack := r.slackOf(q.daemon)
	held := q.daemon.isExcused(a.at.Add(-slack), a.at)
	if since, left := r.discovery.leftAt(a.worker, a.at); left {
		if late := a.at.Sub(r.discovery.notified(since)) - drainGrace; late > slack {
			report.broken(r, a.at, "drain", "%s came to %s, %v beyond the notification and the grace", a.id, a.worker, late)
		}
	}
	if !q.gone.IsZero() && !held && a.at.Sub(q.gone) > leaveSlack+slack {
		report.broken(r, a.at, "lost", "%s came to %s %v after its client had left", a.id, a.worker, a.at.Sub(q.gone))
	}
	if over := a.left - (q.wait - a.at.Sub(q.sent)) - timeLeftSlack; over > slack && !held {
		report.broken(r, a.at, "time left", "%s was told %v, which is %v too much", a.id, a.left, over)
	}
}
