package decision

import "time"

// EventKind determines which fields of an Event are set.
type EventKind uint8

// The kinds of events, with the fields that they use.
const (
	ListUpdated        EventKind = iota // ListKind, Endpoints
	RequestArrived                      // Request, Class, Tenant, Slots, Work, TimeLeft, ClientRetry, Key
	FirstByte                           // Request, Attempt, Worker: the client has the beginning of a stream
	AttemptEnded                        // Request, Attempt, Worker, Outcome, Answered, Load
	AttemptStarted                      // Request, Attempt, Worker
	AttemptProgressed                   // Request, Attempt, Worker, Fraction
	HealthChecked                       // Worker, Outcome, Load
	ClientDisconnected                  // Request
	TimerFired                          // Timer
	PeerMessage                         // ignored: dispatchers exchange no state with their peers
	ReservedElsewhere                   // Worker, Reservation: of this process's predecessor or successor
	SettingsChanged                     // Settings
	WorkersSuspended                    // Endpoints, by Name: they get no attempts until WorkersResumed
	WorkersResumed                      // Endpoints, by Name
	AttemptSent                         // Request, Attempt, Worker: last byte sent; see Settings.SendNotices
)

// Event is one thing that happened to a dispatcher.
type Event struct {
	Kind EventKind

	Request     uint64 // below 2^62, never reused
	Attempt     int    // number of the attempt within its request, from 0
	Worker      string // by Endpoint.Name
	Class       int    // index into Settings.Classes
	Tenant      int    // index into Settings.TenantQuotas; any other number: no tenant
	Slots       float64
	Work        time.Duration // hinted run time on a standard core; 0: no hint
	TimeLeft    time.Duration // how long the client still waits for a response to this try
	ClientRetry bool          // the client marked the request as a retry
	Key         string        // for cache affinity and for the order of Serialized classes; may be empty
	Outcome     AttemptOutcome
	Answered    bool // the request has its final response
	Load        LoadReport
	Fraction    float64 // fraction of the work that is done, 0 to 1
	Reservation float64 // part of a worker's slow-start budget: slots times hinted run time, in seconds
	Timer       uint64
	ListKind    ListKind
	Endpoints   []Endpoint

	// Settings hold new values of TenantQuotas, OverQuotaWeight and MaxRetryAfter, and of the
	// PriorityWeight, LateWeight, LatencyObjective and ObjectiveStretch of Classes; all other fields are
	// ignored. Requests that were admitted earlier keep their value and objective. Settings that New would
	// reject, or that change the number of classes or tenants, have no effect.
	Settings *Settings
}

// AttemptOutcome is how an attempt ended.
type AttemptOutcome uint8

// ConnectionRefused, NotSent and, unless Settings.SaturatedMayHaveRun, Saturated prove that the attempt
// never ran.
const (
	Completed AttemptOutcome = iota
	Failed
	Saturated // the worker is full, or does not serve the class
	TimedOut
	ConnectionRefused
	ConnectionLost
	Cancelled
	NotSent
	InvalidRequest // the worker reported that the request itself is invalid
)

// String returns the name that recordings and the simulator's protocol use. Stored recordings contain these
// names, so they must not change.
func (o AttemptOutcome) String() string {
	return [...]string{
		"completed", "errored", "saturated", "overdue", "refused",
		"severed", "recalled", "superseded", "unusable",
	}[o]
}

// NeverRan reports whether the outcome proves that the worker never ran the attempt.
func (o AttemptOutcome) NeverRan(settings *Settings) bool {
	return o.notAccepted() && !(o == Saturated && settings.SaturatedMayHaveRun)
}

// notAccepted reports whether the worker did not accept the attempt, so that its slots and work are free
// again.
func (o AttemptOutcome) notAccepted() bool {
	return o == Saturated || o == ConnectionRefused || o == NotSent
}

// mayStillRun reports whether the worker may continue the attempt although its connection is closed.
func (o AttemptOutcome) mayStillRun() bool {
	return o == TimedOut || o == ConnectionLost || o == Cancelled
}

// keepsConnection reports whether the worker has answered, so that the connection can be used again.
func (o AttemptOutcome) keepsConnection() bool {
	return o == Completed || o == Failed || o == Saturated || o == InvalidRequest
}

// ListKind determines how the endpoints of a ListUpdated event are applied.
type ListKind uint8

// The values of ListKind.
const (
	ListDelta    ListKind = iota // changed endpoints only
	ListSnapshot                 // complete: workers that are absent are removed
	ListCached                   // complete, but from a cache; may be out of date
	ListFailed                   // a call failed or the subscription broke; no endpoints
)

// WorkerState is the state of a worker according to the endpoint list.
type WorkerState uint8

// The values of WorkerState.
const (
	Running  WorkerState = iota
	Draining             // finishes its outstanding requests and gets no new ones
	Removed
)

// Endpoint is one worker of an endpoint list.
type Endpoint struct {
	Name      string // identity and address
	Zone      int
	Kind      int // worker kind
	Cell      int // group of workers within the zone; see DedupWithinCell
	State     WorkerState
	StartedAt time.Duration // time of the last start, on the time scale of Handle; 0: long ago
	Weight    float64       // size; with LoadAdjustedWeights, size / (1 + requests held per core)
}

// LoadReport is the part of a worker's load report that decisions use.
type LoadReport struct {
	FreeSlots      float64
	HasFreeSlots   bool
	Outstanding    float64 // requests in flight there, of all dispatchers
	HasOutstanding bool
	Backlog        float64 // requests that wait there; used as the load if Outstanding is missing
	HasBacklog     bool
}
