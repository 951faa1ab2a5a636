package dispatch

import "hollyyoke.example/hollyyoke/decision"

// machineDriver is the decision machine with the queue of its events. The machine handles one event at a time: what its
// actions bring about waits in the queue.
type machineDriver struct {
	machine  *decision.Machine
	queue    []decision.Event  // in the order in which they arose
	actions  []decision.Action // of the event handled now; reused
	handling bool              // a call of Dispatcher.handle is under way
}

// nextEvent removes the first event of the queue.
func (m *machineDriver) nextEvent() decision.Event {
	next := m.queue[0]
	m.queue = append(m.queue[:0], m.queue[1:]...)
	return next
}

// handle feeds an event to the machine and carries out its actions. Events that these bring about are queued, and handled
// by the outermost call.
func (d *Dispatcher) handle(event decision.Event) {
	driver := &d.driver
	nested := driver.handling
	if !nested {
		driver.handling = true
		d.refreshSources() // the events of this come first
	}
	driver.queue = append(driver.queue, event)
	if nested {
		return
	}
	for len(driver.queue) > 0 {
		next := driver.nextEvent()
		driver.actions = driver.machine.Handle(d.Loop.Now(), next, driver.actions[:0])
		for i := range driver.actions {
			d.act(&driver.actions[i])
		}
	}
	driver.handling = false
}

// act carries out one action of the machine.
func (d *Dispatcher) act(action *decision.Action) {
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
		d.setTimer(action.Timer, d.Loop.Now()+action.Delay)
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
