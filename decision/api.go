// Package hollyyoke makes the decisions of a dispatcher that pushes jobs to
// workers: which jobs to take, which worker gets each, when to try again and
// when to refuse. It is a pure state machine: feed it events with the time at
// which they happened, and carry out the actions it returns.
package decision

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// Idempotency says what may be done with a request that might already have run.
type Idempotency uint8

// The repeat classes.
const (
	Idempotent    Idempotency = iota // may run any number of times
	Deduplicated                     // workers of one group discard repeats for a while
	NonIdempotent                    // must never run twice
)

// DedupScope names the workers that discard each other's repeats of a Dedup request.
type DedupScope uint8

// The groups of a Dedup class.
const (
	DedupEverywhere DedupScope = iota
	DedupWithinZone
	DedupWithinCell
)

// Class describes one class of requests.
type Class struct {
	Name             string        // as wires call it; no decision rests on it
	PriorityWeight   float64       // worth of an answer inside the aim
	LateWeight       float64       // share of Worth still earned after the aim
	LatencyObjective time.Duration // answers within Aim + Stretch*work earn full worth; both 0: within Deadline
	ObjectiveStretch float64
	Deadline         time.Duration // how long a client waits in all
	Idempotency      Idempotency
	DedupScope       DedupScope    // for Dedup
	DedupWindow      time.Duration // for Dedup: how long the group remembers a request
	Kinds            []int         // the only machine kinds that may run the class; nil: any
	Zones            []int         // the only zones in which it may run; nil: any
	Serialized       bool          // requests of such classes with one key run one at a time, as they came
	Streaming        bool          // the answer is a stream, announced by FirstByte
}

// Settings are the facts a dispatcher is told when it starts. Only Classes is
// required, with the Deadline of each; for the rest the zero value is a safe
// default: nothing that is not allowed is done, and a rule of length 0 is off.
type Settings struct {
	Classes         []Class
	TenantQuotas    []float64 // requests a second over all dispatchers, by tenant; empty: no tenants
	OverQuotaWeight float64   // worth of a request beyond its tenant's quota, as a fraction
	WeightByWork    bool      // worth counts per unit of work, not per request
	Zone            int       // zone of this dispatcher
	Peers           int       // dispatchers in this tier, itself included
	Tick            time.Duration

	ListBySubscription bool          // the worker list comes only after Subscribe
	ListPollInterval   time.Duration // longest time without asking before the list counts as heard

	SlowStartFloor    float64       // a fresh worker has at least this fraction of its capacity
	SlowStartDuration time.Duration // and all of it after this time
	OverloadMultiple  float64       // a cold worker falls over when sent this multiple of its capacity
	OverloadWindow    time.Duration // for this long

	SaturatedMayHaveRun bool          // Saturated does not prove that an attempt never ran
	KeyCooldown         time.Duration // a key rests this long after an attempt that may still be running
	RetryBudgetWindow   time.Duration // in any such span, the attempts beyond a request's first number at most
	RetryBudgetFloor    float64       // so many; an ExtraWindow of 0 is no bound at all
	RetryBudgetRatio    float64       // plus this share of the requests taken in the span

	MaxAttempts           int
	Hedging               bool // a request may have two attempts out at once
	Cancellation          bool // StopAttempt is allowed
	HealthChecks          bool // Probe is allowed
	LoadByHealthCheck     bool // load reports come with probes only
	MaxRetryAfter         time.Duration
	ConnectTimeout        time.Duration
	ConnectionIdleTimeout time.Duration // connections unused for so long are closed; 0: unknown
	StartNotices          bool          // workers tell when a job starts
	StartsInOrder         bool          // workers start waiting jobs in the order in which they came
	ProgressInterval      time.Duration // interval of progress notes; 0: none
	CrossZoneCost         float64       // points lost when every attempt crosses zones
	CacheMissCost         float64       // points lost when for every request what its key names must be fetched
	ClientsMarkRetries    bool          // clients mark their repeats
	LoadAdjustedWeights   bool          // the list's weights fall with the load

	// Facts of the deployment for those who carry decisions out; none rests on them.
	ZoneNames  []string // the names of zones and kinds, by number
	KindNames  []string
	FreeSlots  string        // the load report's value that tells free slots; empty: none
	DrainGrace time.Duration // how long after the news a draining worker may still be sent to
}

// LargeFleet tells whether so many dispatchers call for the list that they must not do so at once. The list known
// serves meanwhile.
func (s *Settings) LargeFleet() bool { return s.Peers > largeFleetThreshold }

// normalize checks the settings and fills in what must not be zero.
func (s *Settings) normalize() error {
	if len(s.Classes) == 0 {
		return errors.New("settings: Classes is empty")
	}
	s.Classes = slices.Clone(s.Classes) // the caller's stay as they are
	for i, c := range s.Classes {
		if c.Deadline <= 0 {
			return fmt.Errorf("settings: Classes[%d].Deadline must be positive", i)
		}
		if err := cmp.Or(checkPlacement(i, "Kinds", c.Kinds), checkPlacement(i, "Zones", c.Zones)); err != nil {
			return err
		}
		if c.LatencyObjective == 0 && c.ObjectiveStretch == 0 {
			s.Classes[i].LatencyObjective = c.Deadline
		}
		if c.Serialized && c.Streaming {
			return fmt.Errorf("settings: Classes[%d].InTurn: a Stream cannot run in turn", i)
		}
		class := fmt.Sprintf("Classes[%d].", i)
		if err := cmp.Or(checkAmount(class+"Worth", c.PriorityWeight), checkAmount(class+"LateWorth", c.LateWeight),
			checkAmount(class+"Stretch", c.ObjectiveStretch), checkAmount(class+"Aim", c.LatencyObjective.Seconds())); err != nil {
			return err
		}
	}
	for i, q := range s.TenantQuotas {
		if err := checkAmount(fmt.Sprintf("TenantQuotas[%d]", i), q); err != nil {
			return err
		}
	}
	if err := checkAmount("OverQuotaWorth", s.OverQuotaWeight); err != nil {
		return err
	}
	if !(s.SlowStartFloor >= 0 && s.SlowStartFloor <= 1) {
		return errors.New("settings: ColdFrom must be between 0 and 1")
	}
	if s.KeyCooldown < 0 {
		return errors.New("settings: KeyRest must not be negative")
	}
	if err := cmp.Or(checkAmount("ExtraFloor", s.RetryBudgetFloor), checkAmount("ExtraRatio", s.RetryBudgetRatio)); err != nil {
		return err
	}
	if s.RetryBudgetWindow < 0 || s.RetryBudgetWindow == 0 && s.RetryBudgetFloor+s.RetryBudgetRatio > 0 {
		return errors.New("settings: ExtraWindow must be positive where ExtraFloor or ExtraRatio is given")
	}
	s.Peers, s.MaxAttempts = max(s.Peers, 1), max(s.MaxAttempts, 1)
	s.Tick = max(s.Tick, time.Microsecond)
	return nil
}

// checkAmount checks a number that must be finite and not negative.
func checkAmount(field string, x float64) error {
	if !(x >= 0) || math.IsInf(x, 0) {
		return fmt.Errorf("settings: %s must be finite and not negative", field)
	}
	return nil
}

// checkPlacement checks where a class may run.
func checkPlacement(class int, field string, list []int) error {
	if list != nil && (len(list) == 0 || slices.Min(list) < 0) {
		return fmt.Errorf("settings: Classes[%d].%s must name one at least, or be nil", class, field)
	}
	return nil
}

// WorkerState is what the list says of a worker.
type WorkerState uint8

// The states of a listed worker.
const (
	Running WorkerState = iota
	Draining
	Removed
)

// Endpoint is one worker of a list.
type Endpoint struct {
	Name      string
	Zone      int
	Kind      int
	Cell      int
	State     WorkerState
	StartedAt time.Duration // clock time of the last start; 0: long ago
	Weight    float64       // size by the list; with LiveWeights over 1 + the requests it holds a core
}

// LoadReport is what a worker's load report tells, as far as a decision rests on it.
type LoadReport struct {
	FreeSlots      float64
	HasFreeSlots   bool
	Outstanding    float64 // requests it holds, of all dispatchers
	HasOutstanding bool
	Backlog        float64 // requests that wait there; counts where Outstanding is not told
	HasBacklog     bool
}

// AttemptOutcome tells how an attempt ended. Unusable: the worker says that the request itself is at fault.
type AttemptOutcome uint8

// The outcomes. Saturated (unless FullNoProof), ConnectionRefused and NotSent prove that the attempt never ran.
const (
	Completed AttemptOutcome = iota
	Failed
	Saturated
	TimedOut
	ConnectionRefused
	ConnectionLost
	Cancelled
	NotSent
	InvalidRequest
)

func (o AttemptOutcome) String() string {
	return [...]string{"completed", "errored", "saturated", "overdue", "refused", "severed", "recalled", "superseded", "unusable"}[o]
}

// EventKind tells which fields of an Event are set.
type EventKind uint8

// The kinds of events, with the fields they use.
const (
	ListUpdated        EventKind = iota // List, Entries
	RequestArrived                      // Request, Class, Tenant, Slots, Work, Left, ClientRetry, Key
	FirstByte                           // Request, Attempt, Worker
	AttemptEnded                        // Request, Attempt, Worker, Outcome, Settled, Load
	AttemptStarted                      // Request, Attempt, Worker
	AttemptProgressed                   // Request, Attempt, Worker, Fraction
	HealthChecked                       // Worker, Outcome, Load
	ClientDisconnected                  // Request
	TimerFired                          // Timer
	PeerMessage                         // ignored: dispatchers share nothing
	ReservedElsewhere                   // Worker, Charge: what the same dispatcher's other process, while there is one, sent
	SettingsChanged                     // Settings: those that may change while running; Event.Settings tells which
	WorkersSuspended                    // Entries, by Worker: they get nothing until Resumed, whatever lists say meanwhile
	WorkersResumed                      // Entries, by Worker
)

// ListKind tells how the entries of a WorkerList event are meant.
type ListKind uint8

// The kinds of lists.
const (
	ListDelta    ListKind = iota // changed entries only
	ListSnapshot                 // workers that are absent are gone
	ListCached                   // complete, as last held; may be out of date
	ListFailed                   // a call failed or the subscription broke; no entries
)

// Event is one thing that happened to a dispatcher.
type Event struct {
	Kind EventKind

	Request     uint64 // below 2^62, never reused
	Attempt     int
	Worker      string
	Class       int
	Tenant      int
	Slots       float64
	Work        time.Duration // hinted run time on a standard core; 0: no hint
	TimeLeft    time.Duration // time until the client gives up this try
	ClientRetry bool          // marked as a client's repeat
	Key         string        // what the request concerns; may be empty
	Outcome     AttemptOutcome
	Answered    bool // the request has its final answer
	Load        LoadReport
	Fraction    float64
	Reservation float64 // of a cold worker's budget
	Timer       uint64
	ListKind    ListKind
	Endpoints   []Endpoint

	// Settings hold new values of TenantQuotas, OverQuotaWorth and MaxRetryAfter, and of the Worth, LateWorth, Aim
	// and Stretch of Classes; all else in them is passed over. Requests that are open keep the value and the aim that
	// they came with. Settings that New would refuse, or with other numbers of classes or tenants, change nothing.
	Settings *Settings
}

// ActionKind tells which fields of an Action are set.
type ActionKind uint8

// The kinds of actions, with the fields they use.
const (
	Assign        ActionKind = iota // Request, Worker, Charge: start the next attempt
	Reject                          // Request, Delay: turned away, safe to try again after Delay
	Fail                            // Request: failed, no promise
	CancelAttempt                   // Request, Attempt
	SetTimer                        // Timer, Delay
	CheckHealth                     // Worker
	Subscribe                       // ask for list changes from now on
	CloseIdle                       // Worker: close the idle connections to it
	Log                             // Text
)

// Action is one thing the dispatcher must do, in the order returned.
type Action struct {
	Kind        ActionKind
	Request     uint64
	Attempt     int
	Worker      string
	Delay       time.Duration
	Reservation float64 // what the attempt takes of a cold worker's budget; 0: the worker is warm
	Timer       uint64
	Text        string
}

// Ejected names the workers that run and that it avoids, since what they did lately looks like failure. One
// that gets a job now and then to see whether it has come back is still among them. While most look bad the
// trouble is not theirs: all are used, and none is named.
func (m *Machine) Ejected() (names []string) {
	if m.ejectedCount == 0 || m.inPanic() {
		return nil
	}
	for _, w := range m.fleet {
		if w.ejected && w.State == Running {
			names = append(names, w.Name)
		}
	}
	return names
}
