package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Bounds of the rules, as the dispatchers' settings give them.
const (
	notificationTime  = 6 * time.Second // until a dispatcher must know a change of the list
	drainGrace        = 500 * time.Millisecond
	answerSlack       = 500 * time.Millisecond // an answer later than this after the timeout is lost
	cancellationSlack = 100 * time.Millisecond // from a client's close to the last attempt that may begin
	timeLeftSlack     = 150 * time.Millisecond

	// machineSlack is what a machine that runs everything at once may add to each bound, and
	// tracedSlack what tracing every system call may add. Timers that are later add their lateness.
	machineSlack = 400 * time.Millisecond
	tracedSlack  = 4 * time.Second
)

// rule is a rule, as violations name it.
type rule string

const (
	ruleLost      rule = "lost"      // each request has a final answer in time, and none is worked on after its client left
	ruleDuplicate rule = "duplicate" // no renewal arrives at workers twice
	ruleDrain     rule = "drain"     // no attempt arrives at a worker that the dispatcher must know to be draining or removed
	ruleTimeLeft  rule = "time left" // no attempt is given more time than its client has left

	// ruleForeign is broken by the machine, not by a dispatcher: what comes from another run proves nothing about this one.
	ruleForeign rule = "foreign" // only requests of this run come to its workers
)

// slackFor is what is allowed beyond each bound for a dispatcher.
func (r *run) slackFor(target *daemon) time.Duration {
	slack := machineSlack + 2*time.Duration(r.lateness.Load())
	if target.tracer != nil {
		slack += tracedSlack
	}
	return slack
}

// checkRules checks the records against the rules, once no client and no fault runs any more.
func (r *run) checkRules() Report {
	checker := ruleChecker{run: r, arrived: map[string]bool{}}
	for _, arrived := range r.records.attempts {
		checker.arrived[arrived.id] = true
	}
	checker.report = Report{
		Excuses:    map[excuse]int{},
		Seed:       r.config.Seed,
		Requests:   len(r.records.requests),
		Attempts:   len(r.records.attempts),
		Incomplete: r.records.incomplete,
		Lateness:   time.Duration(r.lateness.Load()),
		Faults:     len(schedule(r.config.Seed, r.config)),
	}
	checker.addDaemonsOwnViolations()
	checker.checkRequests()
	checker.checkAttempts()
	return checker.report
}

// ruleChecker checks the records of a run. It counts and lists in report what it finds.
type ruleChecker struct {
	run     *run
	arrived map[string]bool // the requests that came to workers
	report  Report
}

// addViolation adds a violation with its time since the start of the run.
func (c *ruleChecker) addViolation(violated rule, moment time.Time, format string, values ...any) {
	description := fmt.Sprintf(format, values...)
	second := moment.Sub(c.run.start).Seconds()
	c.report.Violations = append(c.report.Violations, fmt.Sprintf("%.3f %s: %s", second, violated, description))
}

// addDaemonsOwnViolations adds the crashes of dispatchers and the violations that they have counted themselves.
func (c *ruleChecker) addDaemonsOwnViolations() {
	for _, daemon := range c.run.daemons {
		daemon.fetchInvariants()
		c.report.Violations = append(c.report.Violations, daemon.violations()...)
	}
	for _, queue := range c.run.queues {
		queue.fetchInvariants()
		c.report.Violations = append(c.report.Violations, queue.violations()...)
		c.report.Pushed += len(queue.pushed)
		c.report.Accepted += len(queue.accepted)
		for _, runs := range queue.runs {
			c.report.Ran += runs
		}
	}
}

func (c *ruleChecker) checkRequests() {
	for i := range c.run.records.requests {
		c.checkRequest(&c.run.records.requests[i])
	}
}

// checkRequest checks that a client that waited has its answer in time, or is excused.
func (c *ruleChecker) checkRequest(sent *request) {
	latest := sent.sentAt.Add(sent.timeout + answerSlack + c.run.slackFor(sent.daemon))
	inTime := sent.status != 0 && !sent.answeredAt.After(latest)
	switch {
	case inTime:
		c.countAnswered(sent)
	case sent.clientLeft():
	case sent.daemon.wasStopped(sent.sentAt, latest):
		c.excuse(excuseStopped)
	case sent.status != 0:
		c.addViolation(ruleLost, sent.sentAt, "%s was answered with %d after %v", sent.id, sent.status, sent.answeredAt.Sub(sent.sentAt))
	case sent.notConnected:
		c.checkNotConnected(sent)
	case !sent.closedAt.IsZero():
		c.checkClosed(sent)
	case sent.daemon.wasKilled(sent.sentAt, latest):
		c.excuse(excuseKilledInFlight)
	default:
		c.addViolation(ruleLost, sent.sentAt, "%s has no answer", sent.id)
	}
}

// countAnswered counts a request that was answered in time. Only a worker can have served it.
func (c *ruleChecker) countAnswered(sent *request) {
	c.report.Answered++
	if sent.status != http.StatusOK {
		return
	}
	c.report.Served++
	if !c.arrived[sent.id] {
		c.addViolation(ruleLost, sent.sentAt, "%s was answered with 200, and came to no worker", sent.id)
	}
}

func (c *ruleChecker) excuse(cause excuse) { c.report.Excuses[cause]++ }

// checkNotConnected checks a request for which no connection could be opened.
func (c *ruleChecker) checkNotConnected(sent *request) {
	if sent.daemon.wasKilled(sent.sentAt.Add(-dialTimeout), sent.sentAt) {
		c.excuse(excuseKilledRefused)
		return
	}
	c.addViolation(ruleLost, sent.sentAt, "%s could not connect", sent.id)
}

// checkClosed checks a request whose connection was closed with no answer. It is not lost if the dispatcher was killed
// with it in flight, or if it crossed the close unread: on a kept connection, or beside a crowd on a new one, which may
// then be shut unread. That it was read shows where it came to a worker.
func (c *ruleChecker) checkClosed(sent *request) {
	cutOff, killedAfterTerm := sent.daemon.killedAfterTerm(sent.sentAt, sent.closedAt)
	mayCross := sent.kept || sent.daemon.wasCrowded(sent.sentAt, sent.closedAt)
	switch {
	case sent.daemon.wasKilled(sent.sentAt, sent.closedAt):
		c.excuse(excuseKilledInFlight)
	case killedAfterTerm:
		c.addViolation(ruleLost, sent.sentAt, "%s came %v after SIGTERM and was unanswered at the kill", sent.id, sent.sentAt.Sub(cutOff.signaledAt))
	case c.arrived[sent.id]:
		c.addViolation(ruleLost, sent.sentAt, "%s came to a worker, and its connection was closed with no answer", sent.id)
	case !mayCross:
		c.addViolation(ruleLost, sent.sentAt, "%s was closed with no answer, on a new connection", sent.id)
	case sent.resent:
		c.addViolation(ruleLost, sent.sentAt, "%s was closed with no answer for the second time", sent.id)
	default:
		c.report.Crossed++
	}
}

func (c *ruleChecker) checkAttempts() {
	requests := map[string]*request{}
	for i := range c.run.records.requests {
		sent := &c.run.records.requests[i]
		requests[sent.id] = sent
	}
	renewals := map[string]attempt{} // by request, its latest attempt
	for _, arrived := range c.run.records.attempts {
		if !strings.HasPrefix(arrived.id, c.run.idPrefix) {
			c.addViolation(ruleForeign, arrived.arrivedAt, "%s of another run came to %s", arrived.id, arrived)
			continue
		}
		if arrived.class == classRenewal {
			earlier, repeated := renewals[arrived.id]
			if repeated {
				c.addViolation(ruleDuplicate, arrived.arrivedAt, "%s came again %s, %v after %s", arrived.id, arrived, arrived.arrivedAt.Sub(earlier.arrivedAt), earlier)
			}
			renewals[arrived.id] = arrived
		}
		if sent := requests[arrived.id]; sent != nil {
			c.checkAttempt(sent, arrived)
		}
	}
}

// checkAttempt checks that an attempt was allowed to begin at its worker when it did. Of what arrives while a
// dispatcher is stopped only the rule on draining is checked: it may have been written right before that.
func (c *ruleChecker) checkAttempt(sent *request, arrived attempt) {
	slack := c.run.slackFor(sent.daemon)
	wasStopped := sent.daemon.wasStopped(arrived.arrivedAt.Add(-slack), arrived.arrivedAt)
	c.checkDrain(arrived, slack)
	if wasStopped {
		return
	}
	if sent.clientLeft() {
		sinceClientLeft := arrived.arrivedAt.Sub(sent.clientLeftAt)
		if sinceClientLeft > cancellationSlack+slack {
			c.addViolation(ruleLost, arrived.arrivedAt, "%s came to %s %v after its client had left", arrived.id, arrived.worker, sinceClientLeft)
		}
	}
	clientTimeLeft := sent.timeout - arrived.arrivedAt.Sub(sent.sentAt)
	excess := arrived.timeLeft - clientTimeLeft - timeLeftSlack
	if excess > slack {
		c.addViolation(ruleTimeLeft, arrived.arrivedAt, "%s was given %v, which is %v too much", arrived.id, arrived.timeLeft, excess)
	}
}

// checkDrain checks that the worker of an attempt was listed as ready, or that its dispatcher did not have to know yet
// that it was not.
func (c *ruleChecker) checkDrain(arrived attempt, slack time.Duration) {
	since, unlisted := c.run.discovery.unlistedSince(arrived.worker, arrived.arrivedAt)
	if !unlisted {
		return
	}
	lateness := arrived.arrivedAt.Sub(c.run.discovery.notificationDeadline(since)) - drainGrace
	if lateness > slack {
		c.addViolation(ruleDrain, arrived.arrivedAt, "%s came to %s, %v beyond the notification and the grace", arrived.id, arrived.worker, lateness)
	}
}
