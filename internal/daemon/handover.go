package daemon

import (
	"time"

	"hollyyoke.example/hollyyoke/internal/handover"
)

const (
	// handoverIdleTimeout is how long after SIGTERM idle connections are kept.
	handoverIdleTimeout = 1500 * time.Millisecond

	// The platform sends SIGKILL killDelay after the longest deadline of a class,
	// which counts as maxKillDeadline at most. What is still unanswered killMargin
	// before it is answered then.
	killDelay       = 700 * time.Millisecond
	maxKillDeadline = 3 * time.Second
	killMargin      = 250 * time.Millisecond

	handoverPoll = 10 * time.Millisecond // between checks whether all is handed over
)

// handOver shuts this process down beside a successor that accepts clients. From now on
// this process accepts nothing. Connections end with their next answer; those that stay
// idle are closed after handoverIdleTimeout. Requests that are unanswered shortly before
// SIGKILL are answered then.
func (p *process) handOver() {
	began := p.dispatcher.Loop.Now()
	p.dispatcher.Log("handing over to the successor")
	p.frontEnds.http.HandOver()
	p.frontEnds.faktory.Stop()
	p.frontEnds.faktory.Release(func() {
		p.replacement.storeReleased = true
		p.sendToPeer(handover.Message{StoreReleased: true})
	})
	p.sendLimits()
	remaining := &handoverRemainder{
		process:   p,
		idleAfter: began + handoverIdleTimeout,
		expireAt:  began + p.killTime() - killMargin,
	}
	p.stopWhen(remaining.advance, handoverPoll)
}

// killTime returns after which time from SIGTERM the platform sends SIGKILL.
func (p *process) killTime() time.Duration {
	longest := time.Duration(0)
	for _, class := range p.dispatcher.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxKillDeadline) + killDelay
}

// handoverRemainder is what a process that hands over still has to do: its answers, and
// the release of its durable jobs.
type handoverRemainder struct {
	process   *process
	idleAfter time.Duration // idle connections are closed from then on
	expireAt  time.Duration // all requests end then
}

// advance closes what may be closed, and reports whether the process may exit.
func (r *handoverRemainder) advance() (finished bool) {
	p := r.process
	now := p.dispatcher.Loop.Now()
	if now >= r.idleAfter {
		p.frontEnds.closeIdle()
	}
	if now >= r.expireAt {
		p.frontEnds.http.StopReading()
		p.dispatcher.ExpireAll()
	}
	return r.finished(now)
}

// finished reports whether nothing is left to do. Clients have half of the margin
// before SIGKILL to read the last answers.
func (r *handoverRemainder) finished(now time.Duration) bool {
	p := r.process
	if !p.replacement.storeReleased || p.dispatcher.Unanswered() > 0 || p.frontEnds.faktory.Busy() {
		return false
	}
	return p.frontEnds.http.OpenConnections() == 0 || now >= r.expireAt+killMargin/2
}
