package decision

import "time"

// The timers that do not belong to a request. A request's own timer, at its deadline, is its id, which is
// below 2^62.
const (
	sweepTimer     = uint64(1) << 62
	subscribeTimer = sweepTimer + 1 // renews the subscription to the endpoint list
	cooldownTimer  = sweepTimer + 2 // a key's cooldown is over; as after each event, the queue is dispatched
)

// handleTimer handles a timer that has fired. At its deadline a request gets its final response, even if
// attempts are outstanding.
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

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
