package decision

import "time"

// The timers that do not belong to a request. A request's own timer, at its deadline, is its id, which is
// below 2^62.
const (
	sweepTimer     = uint64(1) << 62
	subscribeTimer = sweepTimer + 1 // renews the subscription to the endpoint list
	cooldownTimer  = sweepTimer + 2 // a key's cooldown is over: the queue is looked at, as after each event
)

// handleTimer acts on a timer that has fired. At a request's deadline it gets its answer, whatever is
// outstanding.
func (m *Machine) handleTimer(id uint64) {
	switch id {
	case sweepTimer:
		m.sweep()
		return
	case subscribeTimer:
		m.emit(Action{Kind: Subscribe})
		return
	}
	request := m.requests[id]
	if request != nil && !request.ended && m.now >= request.deadline {
		m.rejectOrFail(request)
	}
}

// seconds converts from seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
