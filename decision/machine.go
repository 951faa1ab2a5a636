package decision

import (
	"math"
	"math/rand/v2"
	"time"
)

// Machine decides for one dispatcher; the package comment describes its protocol. It is not safe for
// concurrent use.
type Machine struct {
	settings Settings
	random   *rand.Rand
	now      time.Duration // time of the current event
	actions  []Action      // actions for the current event so far

	planningHorizon time.Duration // span over which the recent past is averaged
	sweepInterval   time.Duration
	sweepScheduled  bool

	list       endpointList       // see endpoints.go
	workers    map[string]*worker // by name
	fleet      []*worker          // all workers
	counts     workerCounts       // see endpoints.go
	candidates candidateLists     // see lists.go
	ring       hashRing           // owners of keys: see ring.go
	recentKeys recentKeys         // see ring.go
	zones      zoneTable          // see zone.go

	requests    map[uint64]*request // by id
	unanswered  []*request          // by arrival; answered ones are removed by the next sweep
	queue       requestQueue        // requests that wait for a worker: see queue.go
	serializer  serializer          // requests with one key: see serialization.go
	retryBudget retryBudget         // see retry.go

	ceilings ceilings    // how much may be in flight: see ceilings.go
	bucket   tokenBucket // how much work may be sent over time: see ceilings.go

	mix           requestMix // recent demand: see mix.go
	prices        prices     // value that a request must have: see pricing.go
	nextPricingAt time.Duration
	tenants       []tenant // see quota.go

	estimates   estimates       // run times and waits: see estimates.go
	connections connectionReuse // see connection.go
	workRates   warmWorkRates   // from which slow-start budgets are derived: see slowstart.go
}

// New returns a machine that knows no worker yet, or an error that names the invalid field of the settings.
// The seed determines all random choices.
func New(settings Settings, seed uint64) (*Machine, error) {
	if err := settings.normalize(); err != nil {
		return nil, err
	}
	initialCeiling := initialSlotsPerWorker / float64(settings.Peers)
	return &Machine{
		settings: settings,
		random:   rand.New(rand.NewPCG(seed, 0)),

		planningHorizon: settings.planningHorizon(),
		sweepInterval:   settings.sweepInterval(),

		list:       endpointList{nominalWeight: map[int]float64{}},
		workers:    map[string]*worker{},
		counts:     workerCounts{eligible: map[*Class]int{}},
		candidates: candidateLists{subsetSize: 2 * minSubsetSize},
		zones:      zoneTable{byNumber: map[int]*zone{}},

		requests:   map[uint64]*request{},
		queue:      requestQueue{skips: map[*Class]int{}},
		serializer: serializer{queues: map[string]*keyQueue{}},

		ceilings: ceilings{concurrencyPerWorker: initialCeiling},
		bucket:   tokenBucket{ratePerWorker: initialCeiling, tokens: math.Inf(1)},
		tenants:  make([]tenant, len(settings.TenantQuotas)),

		estimates:   newEstimates(&settings),
		connections: newConnectionReuse(&settings),
	}, nil
}

// planningHorizon is the span over which the recent past is averaged: a quarter of the longest deadline.
func (s *Settings) planningHorizon() time.Duration {
	longestDeadline := time.Duration(0)
	for i := range s.Classes {
		longestDeadline = max(longestDeadline, s.Classes[i].Deadline)
	}
	return max(longestDeadline/4, s.Tick)
}

// Handle processes what happened at time now and appends what must be done to out, which it returns.
func (m *Machine) Handle(now time.Duration, event Event, out []Action) []Action {
	m.now = max(m.now, now)
	m.actions = out
	switch event.Kind {
	case ListUpdated:
		m.handleList(event)
	case RequestArrived:
		m.handleArrival(event)
	case AttemptEnded:
		m.handleAttemptEnded(event)
	case AttemptSent:
		m.handleSent(event)
		m.actions = nil
		return out // it frees no capacity, so the queue need not be dispatched
	case AttemptStarted, AttemptProgressed:
		m.handleProgress(event)
	case HealthChecked:
		m.recordLoad(event)
	case FirstByte, ClientDisconnected: // the client has its response, or no longer needs one
		if request := m.requests[event.Request]; request != nil {
			m.finish(request)
		}
	case TimerFired:
		m.handleTimer(event.Timer)
	case ReservedElsewhere:
		m.recordReservedElsewhere(m.workers[event.Worker], event.Reservation)
	case SettingsChanged:
		m.reconfigure(event.Settings)
	case WorkersSuspended, WorkersResumed:
		m.setSuspended(event.Endpoints, event.Kind == WorkersSuspended)
	}
	m.dispatchQueue()
	out = m.actions
	m.actions = nil
	return out
}
