package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Time limits of the rules. Those that are also in the dispatchers' settings must have the same values there.
const (
	maxNotificationTime = 6 * time.Second        // within this time a dispatcher must learn of a change of the endpoint list
	drainGrace          = 500 * time.Millisecond // an attempt may arrive this long after the dispatcher must know of the drain
	answerSlack         = 500 * time.Millisecond // an answer may come this long after the request's timeout
	cancellationSlack   = 100 * time.Millisecond // an attempt may arrive this long after its client has closed the connection
	timeLeftSlack       = 150 * time.Millisecond // the time left that an attempt states may exceed its client's by this much
)

// rule is the name of a rule in the descriptions of violations.
type rule string

const (
	ruleLost      rule = "lost"      // each request is answered in time, and no attempt of it arrives after its client has left
	ruleDuplicate rule = "duplicate" // no renewal arrives again at a worker after an attempt of it that may have run
	ruleDrain     rule = "drain"     // no attempt arrives at a worker that the dispatcher must know to be draining or removed
	ruleTimeLeft  rule = "time left" // no attempt states more time left than its client has
	ruleWindow    rule = "window"    // no repeated attempt of a transfer arrives after the dedup window of the first one
	ruleAttempts  rule = "attempts"  // no request has more attempts than the settings allow
	ruleMemory    rule = "memory"    // no dispatcher exceeds its memory limit
	ruleBudget    rule = "budget"    // no dispatcher makes more repeated attempts than its retry budget allows

	// A violation of ruleForeign is caused by something else on the machine, not by a dispatcher of this run. A request
	// of another run tells nothing about this run.
	ruleForeign rule = "foreign" // only requests of this run arrive at its workers
	ruleHarness rule = "harness" // the stand-ins can inject the faults of the schedule
)

// checkRules checks the records against the rules. It must be called after all clients and faults have ended. It holds the
// lock of the records, as a worker may still handle an attempt then.
func (r *run) checkRules() Report {
	r.records.mutex.Lock()
	defer r.records.mutex.Unlock()
	// Workers record attempts when they have read them, which need not be the order in which they arrived.
	slices.SortStableFunc(r.records.attempts, func(a, b attempt) int { return a.arrivedAt.Compare(b.arrivedAt) })
	checker := ruleChecker{run: r, arrived: map[string]bool{}}
	for _, arrived := range r.records.attempts {
		checker.arrived[arrived.id] = true
	}
	checker.report = Report{
		Excuses:          map[excuse]int{},
		Seed:             r.config.Seed,
		Requests:         len(r.records.requests),
		Attempts:         len(r.records.attempts),
		Incomplete:       r.records.incomplete,
		MaxTimerLateness: r.timerLateness.largest(),
		Faults:           len(scheduleFaults(r.config.Seed, r.config)) + len(scheduleNetwork(r.config)),
	}
	if r.records.faultCount > 0 {
		checker.report.MeanInFlight = float64(r.records.inFlightAtFaults) / float64(r.records.faultCount)
	}
	for _, description := range r.records.harnessErrors {
		checker.addViolation(ruleHarness, r.start, "%s", description)
	}
	checker.addSelfReportedViolations()
	checker.checkRequests()
	checker.checkAttempts()
	checker.checkRetryBudgets()
	checker.countReplacements()
	return checker.report
}

// ruleChecker checks the records of a run and writes its findings to report.
type ruleChecker struct {
	run     *run
	arrived map[string]bool // IDs of the requests of which an attempt arrived at a worker
	report  Report
}

// addViolation adds the description of a violation, with the time since the start of the run.
func (c *ruleChecker) addViolation(violated rule, at time.Time, format string, values ...any) {
	description := fmt.Sprintf(format, values...)
	second := at.Sub(c.run.start).Seconds()
	c.report.Violations = append(c.report.Violations, fmt.Sprintf("%.3f %s: %s", second, violated, description))
}

// exceeds reports whether excess, the time by which a limit for a dispatcher is exceeded, is more than the lateness
// that was measured from one time to the other. A limit that is kept only because of this lateness is counted in the
// report.
func (c *ruleChecker) exceeds(excess time.Duration, target *daemon, from, to time.Time) bool {
	return c.exceedsAllowed(excess, c.run.latenessBetween(target, from, to))
}

// exceedsAllowed does the same as exceeds, but with a given lateness.
func (c *ruleChecker) exceedsAllowed(excess, lateness time.Duration) bool {
	switch {
	case excess <= 0:
		return false
	case excess > lateness:
		return true
	}
	c.report.KeptByLateness++
	return false
}

// addSelfReportedViolations adds the crashes of dispatchers, the violations that they have counted themselves, and the
// results of the durable queues.
func (c *ruleChecker) addSelfReportedViolations() {
	for _, daemon := range slices.Concat(c.run.daemons, c.run.replaced) {
		daemon.fetchInvariants()
		c.report.Violations = append(c.report.Violations, daemon.violations()...)
	}
	for _, queue := range c.run.queues {
		c.checkKeyed(queue)
		queue.fetchInvariants()
		c.report.Violations = append(c.report.Violations, queue.violations()...)
		c.report.Pushed += len(queue.pushed)
		c.report.Accepted += len(queue.accepted)
		for _, runs := range queue.runs {
			c.report.Runs += runs
		}
	}
}

func (c *ruleChecker) checkRequests() {
	for i := range c.run.records.requests {
		c.checkRequest(&c.run.records.requests[i])
	}
}

// checkRequest checks that a request whose client did not leave was answered in time, unless there is an excuse for the
// missing answer.
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

// countAnswered counts a request that was answered in time. If its status is 200, an attempt must have arrived at a
// worker.
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

// checkClosed checks a request whose connection was closed without an answer. This is allowed if the dispatcher was
// killed while the request was in flight, or if the dispatcher closed the connection before it read the request. It may
// close a connection before it reads a request only if the connection was reused, or during a flood of connections. If
// an attempt of the request arrived at a worker, the dispatcher must have read the request.
func (c *ruleChecker) checkClosed(sent *request) {
	killedShutdown, killedAfterTerm := sent.daemon.killedAfterTerm(sent.sentAt, sent.closedAt)
	mayCloseUnread := sent.reusedConnection || sent.daemon.wasFlooded(sent.sentAt, sent.closedAt)
	switch {
	case sent.daemon.wasKilled(sent.sentAt, sent.closedAt):
		c.excuse(excuseKilledInFlight)
	case killedAfterTerm && killedShutdown.excuses(sent):
		c.excuse(excuseKilledShutdown)
	case killedAfterTerm:
		c.addViolation(ruleLost, sent.sentAt, "%s came %v after SIGTERM and was unanswered at the kill", sent.id, sent.sentAt.Sub(killedShutdown.terminatedAt))
	case c.arrived[sent.id]:
		c.addViolation(ruleLost, sent.sentAt, "%s came to a worker, and its connection was closed with no answer", sent.id)
	case !mayCloseUnread:
		c.addViolation(ruleLost, sent.sentAt, "%s was closed with no answer, on a new connection%s", sent.id, c.closeOf(sent))
	case sent.resent:
		c.addViolation(ruleLost, sent.sentAt, "%s was closed with no answer for the second time", sent.id)
	default:
		c.report.CrossedClose++
	}
}

// excuses reports whether a request may be unanswered when the process is killed after its SIGTERM: it arrived by
// readAfterTerm, and its client's time was not over.
func (s shutdown) excuses(sent *request) bool {
	return !sent.timeRunsFrom().After(s.terminatedAt.Add(readAfterTerm)) && sent.sentAt.Add(sent.timeout).After(s.killedAt)
}

func (c *ruleChecker) checkAttempts() {
	requests := map[string]*request{}
	for i := range c.run.records.requests {
		sent := &c.run.records.requests[i]
		requests[sent.id] = sent
	}
	earlier := map[string][]attempt{} // by request ID
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

// checkRepeat checks that an attempt is allowed after the earlier attempts of its request.
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
		if sent != nil && !arrived.readLate && c.exceeds(since-dedupWindow, sent.daemon, first.arrivedAt, arrived.arrivedAt) {
			c.addViolation(ruleWindow, arrived.arrivedAt, "%s came again %s, %v after %s%s",
				arrived.id, arrived, since, first, c.traceOf(sent))
		}
	}
}

// traceOf returns lines that a request's dispatcher has logged about the request, for the description of a violation.
func (c *ruleChecker) traceOf(sent *request) string {
	if sent == nil {
		return ""
	}
	return "\n    " + strings.Join(sent.daemon.traceOf(sent.id), "\n    ")
}

// storyOf returns lines with the times of a request and of an attempt of it, and with what the dispatcher has logged.
func (c *ruleChecker) storyOf(sent *request, arrived attempt) string {
	return fmt.Sprintf("\n    client: %s\n    worker: %s%s", sent.times(), arrived.times(), c.traceOf(sent))
}

// closeOf returns lines with the times of a request whose connection was closed without an answer, the shutdowns of its
// dispatcher, and what the dispatcher has logged about the connection.
func (c *ruleChecker) closeOf(sent *request) string {
	lines := fmt.Sprintf("\n    client: %s, closed %s: %v", sent.times(), logTime(sent.closedAt), sent.closeError)
	for _, one := range sent.daemon.allShutdowns() {
		lines += "\n    SIGTERM " + logTime(one.terminatedAt)
	}
	for _, line := range sent.daemon.traceOf(fmt.Sprintf("port=%d ", sent.localPort)) {
		lines += "\n    " + line
	}
	return lines
}

// toldOf returns lines with what a dispatcher was told of an attempt's worker around the arrival of the attempt.
func (c *ruleChecker) toldOf(dispatcher *daemon, arrived attempt) string {
	told := c.run.discovery.notificationsAround(dispatcher.name, arrived.worker, arrived.arrivedAt)
	return fmt.Sprintf("\n    arrived at %s%s", arrived.arrivedAt.UTC().Format("15:04:05.000000"), told)
}

// checkAttempt checks that an attempt was allowed to arrive when it did. Only ruleDrain is checked if the dispatcher
// was stopped between the request and the attempt, or if the worker read the attempt late, since the attempt may then
// have arrived earlier.
func (c *ruleChecker) checkAttempt(sent *request, arrived attempt) {
	c.checkDrain(sent, arrived)
	wasStopped := sent.daemon.wasStopped(sent.sentAt, arrived.arrivedAt)
	if wasStopped || arrived.readLate {
		return
	}
	if sent.clientLeft() {
		sinceClientLeft := arrived.arrivedAt.Sub(sent.clientLeftAt)
		lateness := c.cancellationLateness(sent, arrived)
		if c.exceedsAllowed(sinceClientLeft-cancellationSlack, lateness) {
			c.addViolation(ruleLost, arrived.arrivedAt, "%s came to %s %v after its client had left%s",
				arrived.id, arrived, sinceClientLeft, c.storyOf(sent, arrived))
		}
	}
	clientTimeLeft := sent.timeout - arrived.arrivedAt.Sub(sent.timeRunsFrom())
	excess := arrived.timeLeft - clientTimeLeft - timeLeftSlack
	if c.exceeds(excess, sent.daemon, sent.sentAt, arrived.arrivedAt) {
		c.addViolation(ruleTimeLeft, arrived.arrivedAt, "%s was given %v, which is %v too much%s",
			arrived.id, arrived.timeLeft, excess, c.storyOf(sent, arrived))
	}
}

// cancellationLateness returns by how much an attempt that arrives after its client has left may exceed
// cancellationSlack. The lateness of the dispatcher does not count, because right before it sends an attempt it asks
// the kernel whether the client has left. It does count for a traced dispatcher, whose system calls between the
// question and the send are slow.
func (c *ruleChecker) cancellationLateness(sent *request, arrived attempt) time.Duration {
	if sent.daemon.tracer != nil {
		return c.run.latenessBetween(sent.daemon, sent.clientLeftAt, arrived.arrivedAt)
	}
	return c.run.timerLateness.largestBetween(sent.clientLeftAt, arrived.arrivedAt) + measurementInterval
}

// checkDrain checks that the worker of an attempt was listed as ready, or that the dispatcher did not yet have to know
// that it was not. The dispatcher must know drainGrace after it was notified, and at the latest drainGrace after the
// notification deadline of the change.
func (c *ruleChecker) checkDrain(sent *request, arrived attempt) {
	dispatcher := sent.daemon
	notifiedAt, wasNotified := c.run.discovery.notifiedNotReadySince(dispatcher.name, arrived.worker, arrived.arrivedAt)
	// A predecessor and its successor are notified separately. The records do not distinguish these notifications.
	checkNotified := !arrived.readLate && dispatcher.inheritedListener == nil
	if wasNotified && checkNotified && !dispatcher.wasStopped(notifiedAt, arrived.arrivedAt) {
		late := arrived.arrivedAt.Sub(notifiedAt) - drainGrace
		if c.exceeds(late, dispatcher, notifiedAt, arrived.arrivedAt) {
			c.addViolation(ruleDrain, arrived.arrivedAt, "%s came to %s, %v beyond the grace after %s was told%s%s",
				arrived.id, arrived, late, dispatcher.name, c.toldOf(dispatcher, arrived), c.storyOf(sent, arrived))
			return
		}
	}
	since, notReady := c.run.discovery.notReadySince(arrived.worker, arrived.arrivedAt)
	if !notReady {
		return
	}
	due := c.run.discovery.notificationDeadline(since)
	late := arrived.arrivedAt.Sub(due) - drainGrace
	if c.exceeds(late, dispatcher, due, arrived.arrivedAt) {
		c.addViolation(ruleDrain, arrived.arrivedAt, "%s came to %s, %v beyond the notification and the grace", arrived.id, arrived, late)
	}
}
