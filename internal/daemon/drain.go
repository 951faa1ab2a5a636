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
	if p.phase != serving {
		return false
	}
	return p.frontEnds.http == nil || p.frontEnds.http.Ready()
}

// setOutOfService begins or ends a drain, here and in the peer process. To repeat a
// call changes nothing.
func (p *process) setOutOfService(out bool) error {
	switch {
	case p.phase == stopping && !out:
		return errStopping
	case p.frontEnds.http == nil:
		return errNoHealthCheck
	}
	p.sendToPeer(handover.Message{OutOfService: &out})
	p.setDraining(out)
	return nil
}

// setDraining begins or ends a drain of this process. One that stops is drained
// already, and stays so.
func (p *process) setDraining(draining bool) {
	switch {
	case p.phase == stopping:
	case draining:
		p.dispatcher.Log("out of service")
		p.frontEnds.http.Drain()
	default:
		p.dispatcher.Log("in service")
		p.frontEnds.http.EndDrain()
	}
}
