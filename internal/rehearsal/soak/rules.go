package soak

import (
	"fmt"
	"net/http"
	"slices"
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
)

// rule is a rule, as violations name it.
type rule string

const (
	ruleLost      rule = "lost"      // each request has a final answer in time, and none is worked on after its client left
	ruleDuplicate rule = "duplicate" // no renewal arrives at workers twice
	ruleDrain     rule = "drain"     // no attempt arrives at a worker that the dispatcher must know to be draining or removed
	ruleTimeLeft  rule = "time left" // no attempt is given more time than its client has left
	ruleWindow    rule = "window"    // no repeat of a transfer arrives once workers have forgotten the first attempt
	ruleAttempts  rule = "attempts"  // no request comes to workers more often than the settings allow
	ruleBudget    rule = "budget"    // no dispatcher makes more repeats than its retry budget allows

	// ruleForeign is broken by the machine, not by a dispatcher: what comes from another run proves nothing about this one.
	ruleForeign rule = "foreign" // only requests of this run come to its workers
	ruleHarness rule = "harness" // the stand-ins do what the schedule wants
)

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
		Lateness:   r.timers.largest(),
		Faults:     len(schedule(r.config.Seed, r.config)) + len(scheduleNetwork(r.config)),
	}
	if r.records.strikes > 0 {
		checker.report.InFlight = float64(r.records.struck) / float64(r.records.strikes)
	}
	for _, description := range r.records.harnessErrors {
		checker.addViolation(ruleHarness, r.start, "%s", description)
	}
	checker.addDaemonsOwnViolations()
	checker.checkRequests()
	checker.checkAttempts()
	checker.checkRetryBudgets()
	checker.countReplacements()
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

// exceeds reports whether a bound for a dispatcher is exceeded by more than the lateness that was measured between two
// times. What keeps its bound by that lateness alone is counted.
func (c *ruleChecker) exceeds(excess time.Duration, target *daemon, from, to time.Time) bool {
	return c.exceedsBy(excess, c.run.latenessAround(target, from, to))
}

// exceedsBy is exceeds with the lateness that is allowed.
func (c *ruleChecker) exceedsBy(excess, lateness time.Duration) bool {
	switch {
	case excess <= 0:
		return false
	case excess > lateness:
		return true
	}
	c.report.ByLateness++
	return false
}

// addDaemonsOwnViolations adds the crashes of dispatchers and the violations that they have counted themselves.
func (c *ruleChecker) addDaemonsOwnViolations() {
	for _, daemon := range slices.Concat(c.run.daemons, c.run.replaced) {
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
	latest := sent.sentAt.Add(sent.timeout + answerSlack)
	inTime := sent.status != 0 && !c.exceeds(sent.answeredAt.Sub(latest), sent.daemon, sent.sentAt, sent.answeredAt)
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
	earlier := map[string][]attempt{} // by request
	for _, arrived := range c.run.records.attempts {
		if !strings.HasPrefix(arrived.id, c.run.idPrefix) {
			c.addViolation(ruleForeign, arrived.arrivedAt, "%s of another run came to %s", arrived.id, arrived)
			continue
		}
		sent := requests[arrived.id]
		c.checkRepeat(sent, earlier[arrived.id], arrived)
		earlier[arrived.id] = append(earlier[arrived.id], arrived)
		if sent != nil {
			c.checkAttempt(sent, arrived)
		}
	}
}

// checkRepeat checks an attempt against the earlier ones of its request.
func (c *ruleChecker) checkRepeat(sent *request, earlier []attempt, arrived attempt) {
	mayHaveRun := slices.IndexFunc(earlier, func(one attempt) bool { return !one.neverRan })
	if len(earlier) >= maxAttempts {
		c.addViolation(ruleAttempts, arrived.arrivedAt, "%s came to workers %d times, now %s", arrived.id, len(earlier)+1, arrived)
	}
	if mayHaveRun < 0 {
		return
	}
	first := earlier[mayHaveRun]
	since := arrived.arrivedAt.Sub(first.arrivedAt)
	switch arrived.class {
	case classRenewal:
		c.addViolation(ruleDuplicate, arrived.arrivedAt, "%s came again %s, %v after %s%s",
			arrived.id, arrived, since, first, c.traceOf(sent))
	case classTransfer:
		if sent != nil && !arrived.stalled && c.exceeds(since-dedupWindow, sent.daemon, first.arrivedAt, arrived.arrivedAt) {
			c.addViolation(ruleWindow, arrived.arrivedAt, "%s came again %s, %v after %s%s",
				arrived.id, arrived, since, first, c.traceOf(sent))
		}
	}
}

// traceOf returns what a request's dispatcher has logged of it, a line each.
func (c *ruleChecker) traceOf(sent *request) string {
	if sent == nil {
		return ""
	}
	return "\n    " + strings.Join(sent.daemon.traceOf(sent.id), "\n    ")
}

// checkAttempt checks that an attempt was allowed to begin at its worker when it did. Of what arrives while a dispatcher
// is stopped, or was read late by its worker, only the rule on draining is checked: it may have arrived before.
func (c *ruleChecker) checkAttempt(sent *request, arrived attempt) {
	c.checkDrain(sent, arrived)
	wasStopped := sent.daemon.wasStopped(sent.sentAt, arrived.arrivedAt)
	if wasStopped || arrived.stalled {
		return
	}
	if sent.clientLeft() {
		sinceClientLeft := arrived.arrivedAt.Sub(sent.clientLeftAt)
		lateness := c.cancellationLateness(sent, arrived)
		if c.exceedsBy(sinceClientLeft-cancellationSlack, lateness) {
			c.addViolation(ruleLost, arrived.arrivedAt, "%s came to %s %v after its client had left%s",
				arrived.id, arrived, sinceClientLeft, c.traceOf(sent))
		}
	}
	clientTimeLeft := sent.timeout - arrived.arrivedAt.Sub(sent.sentAt)
	excess := arrived.timeLeft - clientTimeLeft - timeLeftSlack
	if c.exceeds(excess, sent.daemon, sent.sentAt, arrived.arrivedAt) {
		c.addViolation(ruleTimeLeft, arrived.arrivedAt, "%s was given %v, which is %v too much%s",
			arrived.id, arrived.timeLeft, excess, c.traceOf(sent))
	}
}

// cancellationLateness returns what is allowed beyond the bound for an attempt after its client has left. The lateness of
// the dispatcher does not count, since it asks the kernel right before it sends, but for a traced one, whose calls between
// the question and the send are slow.
func (c *ruleChecker) cancellationLateness(sent *request, arrived attempt) time.Duration {
	if sent.daemon.tracer != nil {
		return c.run.latenessAround(sent.daemon, sent.clientLeftAt, arrived.arrivedAt)
	}
	return c.run.timers.around(sent.clientLeftAt, arrived.arrivedAt) + measurementInterval
}

// checkDrain checks that the worker of an attempt was listed as ready, or that its dispatcher did not have to know yet
// that it was not: neither had it been told so, nor was the notification due.
func (c *ruleChecker) checkDrain(sent *request, arrived attempt) {
	dispatcher := sent.daemon
	told, wasTold := c.run.discovery.toldUnlistedSince(dispatcher.name, arrived.worker, arrived.arrivedAt)
	heldToTold := !arrived.stalled && dispatcher.inherited == nil // two processes are told apart from each other
	if wasTold && heldToTold && !dispatcher.wasStopped(told, arrived.arrivedAt) {
		late := arrived.arrivedAt.Sub(told) - drainGrace
		if c.exceeds(late, dispatcher, told, arrived.arrivedAt) {
			c.addViolation(ruleDrain, arrived.arrivedAt, "%s came to %s, %v beyond the grace after %s was told%s",
				arrived.id, arrived, late, dispatcher.name, c.traceOf(sent))
			return
		}
	}
	since, unlisted := c.run.discovery.unlistedSince(arrived.worker, arrived.arrivedAt)
	if !unlisted {
		return
	}
	due := c.run.discovery.notificationDeadline(since)
	late := arrived.arrivedAt.Sub(due) - drainGrace
	if c.exceeds(late, dispatcher, due, arrived.arrivedAt) {
		c.addViolation(ruleDrain, arrived.arrivedAt, "%s came to %s, %v beyond the notification and the grace", arrived.id, arrived, late)
	}
}
