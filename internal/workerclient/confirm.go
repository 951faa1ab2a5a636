package workerclient

import (
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/httpwire"
)

// ask asks the backend of the line's attempt whether it still serves, before its request.
func (l *connection) ask(now time.Duration) {
	l.confirming, l.probe, l.asked = true, true, now
	l.write(now)
}

// answered goes on with the attempt of a line whose backend has answered a probe made for it.
func (l *connection) answered() {
	l.confirming = false
	served := l.status == httpwire.StatusOK
	reusable := !l.last
	attempt := l.attempt
	l.resetAnswer()
	if !served {
		l.deny()
		l.settle(decision.NotSent, decision.LoadReport{}, nil)
		l.rest()
		return
	}
	l.client.registry.HealthConfirmed(l.worker, l.asked)
	if l.client.dispatcher.ClientGone(attempt) {
		return
	}
	if reusable {
		l.send()
		return
	}
	l.move(false)
	l.close()
}

// unconfirmed ends an attempt whose backend has not answered the probe made for it.
// A kept connection may have been dead for long: the attempt goes on on another.
func (l *connection) unconfirmed() {
	l.confirming, l.probe = false, false
	if l.kept {
		l.move(l.fresh)
		return
	}
	l.deny()
	l.settle(decision.NotSent, decision.LoadReport{}, nil)
}

// deny books that the line's backend has not shown that it serves.
func (l *connection) deny() { l.client.registry.HealthDenied(l.worker) }

// move takes the line's attempt to another connection of the same backend.
func (l *connection) move(fresh bool) {
	s, attempt := l.client, l.attempt
	l.attempt = 0
	n := s.take(l.worker, l.job.RepeatUnsafe)
	if n == nil {
		n = s.dial(l.worker)
	}
	n.attempt, n.job, n.fresh = attempt, l.job, fresh
	s.connections[attempt] = n
	if n.conn != nil && !s.dispatcher.ClientGone(attempt) {
		n.send()
	}
}
