package daemon

import (
	"errors"

	"hollyyoke.example/hollyyoke/internal/handover"
)

// Errors of setOutOfService. The admin API answers with their texts.
var (
	errStopping      = errors.New("the dispatcher is ending and does not come back into service")
	errNoHealthCheck = errors.New("the Faktory front alone tells no health, and cannot be taken out of service")
)

// ready reports whether this process accepts clients.
func (p *process) ready() bool {
	if p.stopping {
		return false
	}
	if p.frontEnds.http == nil {
		return true
	}
	return p.serving && p.frontEnds.http.Ready()
}

// setOutOfService begins or ends a drain, here and in the peer process. To repeat a
// call changes nothing.
func (p *process) setOutOfService(out bool) error {
	switch {
	case p.stopping && !out:
		return errStopping
	case p.frontEnds.http == nil:
		return errNoHealthCheck
	}
	p.sendToPeer(handover.Message{OutOfService: &out})
	p.drain(out)
	return nil
}

// drain begins or ends a drain of this process.
func (p *process) drain(out bool) {
	switch {
	case p.stopping: // it is drained already
	case out:
		p.dispatcher.Log("out of service")
		p.frontEnds.http.Drain()
	default:
		p.dispatcher.Log("in service")
		p.frontEnds.http.EndDrain()
	}
}
