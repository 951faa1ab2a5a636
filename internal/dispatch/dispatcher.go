package dispatch

import (
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/invariant"
	"hollyyoke.example/hollyyoke/internal/settings"
	"hollyyoke.example/hollyyoke/internal/slotmap"
)

// Dispatcher owns the open requests, their attempts and the workers listed. Its methods belong to the loop's goroutine.
type Dispatcher struct {
	// What New was given. Others only read it; Reconfigure replaces Settings.
	Loop     *eventloop.Loop
	Settings decision.Settings
	Seed     uint64 // of the process, for what worker clients draw at random

	// Log writes a line to the log of the process. It is set before the first request.
	Log func(text string)

	// Trace is called at each step of each request, with the client's ID of the request and with keys and values; see
	// StepAccepted and the others. nil: tracing is off.
	Trace func(id, step string, more ...any)

	// OnAccepted and OnReserved pass on what a second process of the same dispatcher must know; nil: there is none.
	OnAccepted func(idHash uint64)                      // a request with that hashed ID was accepted
	OnReserved func(worker string, reservation float64) // an attempt took that much of a worker's slow-start budget

	// Guard checks each start, send, retry and close.
	Guard  invariant.Guard
	claims invariant.ClaimLog // of requests that must not run twice

	// ClientOverride takes all attempts in place of the sources of the workers; nil: the sources take them. Measurements
	// without workers use it.
	ClientOverride WorkerClient

	driver  machineDriver
	workers workerList
	sources []WorkerClient // each owns a part of workers

	requests slotmap.Map[openRequest]
	attempts slotmap.Map[openAttempt]
	ids      requestIDs
	counters requestCounters
}

// New returns a Dispatcher that knows no workers. It returns an error if the settings are invalid.
func New(loop *eventloop.Loop, config decision.Settings, seed uint64) (*Dispatcher, error) {
	config.SendNotices = true
	machine, err := decision.New(config, seed)
	if err != nil {
		return nil, err
	}
	return &Dispatcher{
		Loop:     loop,
		Settings: config,
		Seed:     seed,
		Log:      func(string) {},
		driver:   machineDriver{machine: machine},
		workers:  newWorkerList(),
		ids:      newRequestIDs(),
		counters: newRequestCounters(len(config.Classes)),
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
