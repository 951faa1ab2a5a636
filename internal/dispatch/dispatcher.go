package dispatch

import (
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/invariant"
	"hollyyoke.example/hollyyoke/internal/settings"
	"hollyyoke.example/hollyyoke/internal/slotmap"
)

// Dispatcher owns the open requests, their attempts and the listed workers. Its methods may only be called from the
// goroutine of its loop.
type Dispatcher struct {
	// The arguments of New. Other packages only read these fields. Reconfigure replaces Settings.
	Loop     *eventloop.Loop
	Settings decision.Settings
	Seed     uint64 // seed of the random numbers of the worker clients

	// Log writes a line to the log of the process. It must be set before the first request.
	Log func(text string)

	// Trace is called at each step of each request, with the ID that the client gave the request, the name of the step
	// and alternating keys and values; see StepAccepted and the other steps. If it is nil, tracing is off.
	Trace func(id, step string, more ...any)

	// OnAccepted and OnReserved pass on what a second process of the same dispatcher must know. They are nil if there
	// is no second process.
	OnAccepted func(idHash uint64)                      // called when a request with this hashed ID was accepted
	OnReserved func(worker string, reservation float64) // called when an attempt has used slow-start budget of a worker

	// OnWorkersUpdated, if it is not nil, is called after the endpoint list of a source has changed.
	OnWorkersUpdated func()

	// Guard checks that each start, send, retry and close keeps the rules of package invariant.
	Guard  invariant.Guard
	claims invariant.ClaimLog // recent claims about requests that are not idempotent

	// ClientOverride, if not nil, gets all attempts in place of the sources of the workers. It is for measurements
	// without workers.
	ClientOverride WorkerClient

	driver  machineDriver
	workers workerList
	sources []WorkerClient // each provides the endpoint list of some of the workers

	requests slotmap.Map[openRequest]
	attempts slotmap.Map[openAttempt]
	ids      requestIDs
	counters requestCounters
}

// New returns a Dispatcher without workers. It returns an error if the settings are invalid.
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

// Reconfigure applies either all of the changes to the settings or none of them. The error names the key that was
// refused. Decisions that were made for open requests stay as they are.
func (d *Dispatcher) Reconfigure(changes []settings.Change) error {
	changed := d.Settings
	if err := settings.Apply(&changed, changes); err != nil {
		return err
	}
	d.Settings = changed
	d.handle(decision.Event{Kind: decision.SettingsChanged, Settings: &changed})
	return nil
}

// setTimer sets a timer of the machine. If its number is the handle of an open request, it is the timer of that
// request, which is replaced if it was set before and ignored if the request has been answered.
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
