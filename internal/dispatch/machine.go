package dispatch

import (
	"time"

	"hollyyoke.example/hollyyoke/decision"
)

// machineDriver contains the decision machine and the queue of its events. The machine handles one event at a time:
// events that arise while its actions are carried out wait in the queue.
type machineDriver struct {
	machine  *decision.Machine
	queue    []decision.Event  // in the order in which they arose
	actions  []decision.Action // actions for the event that is being handled; the slice is reused
	handling bool              // whether a call of Dispatcher.handle is in progress
}

// nextEvent removes the first event of the queue.
func (m *machineDriver) nextEvent() decision.Event {
	next := m.queue[0]
	m.queue = append(m.queue[:0], m.queue[1:]...)
	return next
}

// handle passes an event to the machine and carries out the actions that the machine returns. If these cause further
// events, the nested calls of handle only queue them, and the outermost call handles them.
func (d *Dispatcher) handle(event decision.Event) {
	driver := &d.driver
	nested := driver.handling
	if !nested {
		driver.handling = true
		d.refreshSources() // the events that the sources report here are handled before this event
	}
	driver.queue = append(driver.queue, event)
	if nested {
		return
	}
	for len(driver.queue) > 0 {
		next := driver.nextEvent()
		now := d.Loop.Now()
		if next.Kind == decision.RequestArrived {
			next.TimeLeft = d.timeLeftOf(next.Request, now)
		}
		driver.actions = driver.machine.Handle(now, next, driver.actions[:0])
		for i := range driver.actions {
			d.execute(&driver.actions[i], now)
		}
	}
	driver.handling = false
}

// execute carries out one action that the machine has decided on at a clock time.
func (d *Dispatcher) execute(action *decision.Action, decidedAt time.Duration) {
	switch action.Kind {
	case decision.Assign:
		d.assign(action.Request, action.Worker, action.Reservation)
	case decision.Reject:
		d.conclude(action.Request, Response{Outcome: Rejected, RetryAfter: action.Delay})
	case decision.Fail:
		d.conclude(action.Request, Response{Outcome: Failed})
	case decision.CancelAttempt:
		d.cancelAttempt(action.Request, action.Attempt)
	case decision.SetTimer:
		d.setTimer(action.Timer, decidedAt+action.Delay)
	case decision.CheckHealth:
		if client := d.clientOf(action.Worker); client != nil {
			client.CheckHealth(action.Worker)
		}
	case decision.CloseIdle:
		if client := d.clientOf(action.Worker); client != nil {
			client.CloseIdle(action.Worker)
		}
	case decision.Subscribe:
		for _, source := range d.sources {
			source.Subscribe()
		}
	case decision.Log:
		d.Log(action.Text)
	}
}
