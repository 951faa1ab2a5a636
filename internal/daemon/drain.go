package daemon

import (
	"errors"

	"hollyyoke.example/hollyyoke/internal/handover"
)

// Errors of setOutOfService. The admin API sends their texts to the caller.
var (
	errStopping      = errors.New("the dispatcher is ending and does not come back into service")
	errNoHealthCheck = errors.New("the Faktory front alone tells no health, and cannot be taken out of service")
)

// ready reports whether this process accepts clients and, if the HTTP front end is on,
// whether a worker is known to which requests can be sent.
func (p *process) ready() bool {
	if p.phase != serving {
		return false
	}
	return p.frontEnds.http == nil || p.frontEnds.http.Ready()
}

// setOutOfService begins or ends a drain, in this process and in its peer process.
// Repeating a call has no effect.
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

// setDraining begins or ends a drain of this process. It does nothing during a shutdown,
// which has taken the process out of service for good.
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
