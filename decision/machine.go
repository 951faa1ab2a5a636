package decision

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"
)

// Machine decides for one dispatcher; the package comment describes its protocol. It is not safe for
// concurrent use.
type Machine struct {
	settings Settings
	random   *rand.Rand
	now      time.Duration // time of the present event
	actions  []Action      // for the present event, so far

	planningHorizon time.Duration // span over which the recent past is averaged
	sweepInterval   time.Duration
	sweepScheduled  bool

	list       endpointList       // see endpoints.go
	workers    map[string]*worker // by name
	fleet      []*worker          // all of them
	counts     workerCounts       // see endpoints.go
	candidates candidateLists     // see lists.go
	ring       hashRing           // owners of keys: see ring.go
	recentKeys recentKeys         // see ring.go
	zones      zoneTable          // see zone.go

	requests    map[uint64]*request // by id
	unanswered  []*request          // by arrival; answered ones leave with the next sweep
	queue       requestQueue        // those that wait for a worker: see queue.go
	serializer  serializer          // requests with one key: see serialization.go
	retryBudget retryBudget         // see retry.go

	ceilings ceilings    // how much may be in flight: see ceilings.go
	bucket   tokenBucket // how much work may be sent over time: see ceilings.go

	mix           requestMix // recent demand: see mix.go
	prices        prices     // what a request must be worth: see pricing.go
	nextPricingAt time.Duration
	tenants       []tenant // see quota.go

	// What is learned of run times and connections: see estimates.go and connection.go.
	meanLatency      float64         // recent mean time of a completed attempt, seconds
	meanStartWait    float64         // recent mean wait for a start at workers, seconds
	classMeanWork    []float64       // recent mean run time by class, seconds, hinted or learned
	learnedRuns      []float64       // attempts without a hint that it was learned from, by class
	kindRunTimeRatio map[int]float64 // mean runTimeRatio of workers, by machine kind
	maxTimeLeft      []time.Duration // the longest TimeLeft of an arrival, by class: that of a first try
	safeIdleTime     time.Duration   // connections unused for longer may be dead
	connectionLostAt time.Duration   // when one was found dead last

	// Slow start: see slowstart.go.
	warmWorkRates    map[int]float64 // work a second that a warm worker takes from this dispatcher, by kind
	warmWorkRatesAt  time.Duration   // when they were last worked on; 0: they are unknown
	warmWorkRateScan workRateScan
}

// New returns a machine that knows no worker yet, or an error that names the field of the settings which is
// wrong. The seed determines all random choices.
func New(settings Settings, seed uint64) (*Machine, error) {
	if err := settings.normalize(); err != nil {
		return nil, err
	}
	machine := &Machine{
		settings:         settings,
		random:           rand.New(rand.NewPCG(seed, 0)),
		workers:          map[string]*worker{},
		list:             endpointList{nominalWeight: map[int]float64{}},
		counts:           workerCounts{eligible: map[*Class]int{}},
		candidates:       candidateLists{subsetSize: 2 * minSubsetSize},
		zones:            zoneTable{byNumber: map[int]*zone{}},
		kindRunTimeRatio: map[int]float64{},
		requests:         map[uint64]*request{},
		queue:            requestQueue{skips: map[*Class]int{}},
		serializer:       serializer{queues: map[string]*keyQueue{}},
		classMeanWork:    make([]float64, len(settings.Classes)),
		maxTimeLeft:      make([]time.Duration, len(settings.Classes)),
		learnedRuns:      make([]float64, len(settings.Classes)),
		tenants:          make([]tenant, len(settings.TenantQuotas)),
	}
	machine.initEstimates()
	return machine, nil
}

// initEstimates derives spans of time from the settings, and sets what is learned to permissive first values.
func (m *Machine) initEstimates() {
	longestDeadline := time.Duration(0)
	for i := range m.settings.Classes {
		class := &m.settings.Classes[i]
		longestDeadline = max(longestDeadline, class.Deadline)
		m.classMeanWork[i] = max(class.LatencyObjective, m.settings.Tick).Seconds()
	}
	m.planningHorizon = max(longestDeadline/4, m.settings.Tick)
	m.sweepInterval = m.shortestSweepInterval()
	initialCeiling := initialSlotsPerWorker / float64(m.settings.Peers)
	m.ceilings.concurrencyPerWorker = initialCeiling
	m.bucket = tokenBucket{ratePerWorker: initialCeiling, tokens: math.Inf(1)}
	m.safeIdleTime = cmp.Or(m.settings.ConnectionIdleTimeout, math.MaxInt64/2)
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
	case AttemptStarted, AttemptProgressed:
		m.handleProgress(event)
	case HealthChecked:
		m.recordLoad(event)
	case FirstByte, ClientDisconnected: // the client has its answer, or wants none
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
