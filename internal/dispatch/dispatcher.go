package dispatch

import (
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/invariant"
	"hollyyoke.example/hollyyoke/internal/settings"
	"hollyyoke.example/hollyyoke/internal/slotmap"
)

// Dispatcher owns the open requests, their attempts and the workers listed. Its exported fields are set before the first
// request; its methods belong to the loop's goroutine.
type Dispatcher struct {
	Loop     *eventloop.Loop
	Settings decision.Settings
	Seed     uint64 // of the process, for what worker clients draw at random
	Log      func(text string)

	// Trace is called at each step of each request, with the client's ID of the request and with keys and values; nil:
	// tracing is off.
	Trace func(id, step string, more ...any)

	// OnAccepted and OnReserved pass on what a second process of the same dispatcher must know; nil: there is none.
	OnAccepted func(idHash uint64)                      // a request with that hashed ID was accepted
	OnReserved func(worker string, reservation float64) // an attempt took that much of a worker's slow-start budget

	// Guard checks each start, send, retry and close.
	Guard invariant.Guard

	// ClientOverride takes all attempts in place of the sources of the workers; nil: the sources take them. Measurements
	// without workers use it.
	ClientOverride WorkerClient

	machine  *decision.Machine
	pending  []decision.Event // waiting until the machine has handled the present one
	actions  []decision.Action
	handling bool

	requests   slotmap.Map[openRequest]
	attempts   slotmap.Map[openAttempt]
	unanswered int
	ids        requestIDs

	sources      []WorkerClient
	workers      map[string]listedWorker  // by name
	ready        int                      // workers listed that take new work
	leavingSince map[string]time.Duration // clock time at which a worker was reported as draining or removed, by name

	counts      Counts
	classCounts []ClassCounts // by class
}

// New returns a Dispatcher that knows no workers. It returns an error if the settings are invalid.
func New(loop *eventloop.Loop, config decision.Settings, seed uint64) (*Dispatcher, error) {
	machine, err := decision.New(config, seed)
	if err != nil {
		return nil, err
	}
	return &Dispatcher{
		Loop:         loop,
		Settings:     config,
		Seed:         seed,
		Log:          func(string) {},
		machine:      machine,
		ids:          newRequestIDs(),
		workers:      map[string]listedWorker{},
		leavingSince: map[string]time.Duration{},
		classCounts:  make([]ClassCounts, len(config.Classes)),
	}, nil
}

// Reconfigure applies changes of the settings, all or none; an error names the key that was refused. Open requests keep
// what was decided for them.
func (d *Dispatcher) Reconfigure(changes []settings.Change) error {
	changed := d.Settings
	if err := settings.Apply(&changed, changes); err != nil {
		return err
	}
	d.Settings = changed
	d.handle(decision.Event{Kind: decision.SettingsChanged, Settings: &changed})
	return nil
}

// handle feeds an event to the machine and carries out its actions. Events that these bring about are queued, and handled
// by the outermost call.
func (d *Dispatcher) handle(event decision.Event) {
	nested := d.handling
	if !nested {
		d.handling = true
		d.refreshSources() // the events of this come first
	}
	d.pending = append(d.pending, event)
	if nested {
		return
	}
	for len(d.pending) > 0 {
		next := d.pending[0]
		d.pending = append(d.pending[:0], d.pending[1:]...)
		d.actions = d.machine.Handle(d.Loop.Now(), next, d.actions[:0])
		for i := range d.actions {
			d.act(&d.actions[i])
		}
	}
	d.handling = false
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
		if request := d.requests.Get(action.Request); request != nil && action.Attempt < len(request.attempts) {
			d.stopAttempt(request.attempts[action.Attempt].handle, decision.Cancelled)
		}
	case decision.SetTimer:
		d.setTimer(action.Timer, d.Loop.Now()+action.Delay)
	case decision.CheckHealth:
		if listed, ok := d.workers[action.Worker]; ok {
			d.clientOf(listed).CheckHealth(action.Worker)
		}
	case decision.CloseIdle:
		if listed, ok := d.workers[action.Worker]; ok {
			d.clientOf(listed).CloseIdle(action.Worker)
		}
	case decision.Subscribe:
		for _, source := range d.sources {
			source.Subscribe()
		}
	case decision.Log:
		d.Log(action.Text)
	}
}

// setTimer sets a timer of the machine. One whose number is the handle of an open request belongs to that request.
func (d *Dispatcher) setTimer(number uint64, at time.Duration) {
	request := d.requests.Get(number)
	if request == nil {
		d.Loop.Set(&eventloop.Deadline{Fire: func() { d.fireTimer(number) }}, at)
		return
	}
	if !request.answered {
		d.Loop.Set(&request.timer, at)
	}
}

func (d *Dispatcher) fireTimer(number uint64) {
	d.handle(decision.Event{Kind: decision.TimerFired, Timer: number})
}
