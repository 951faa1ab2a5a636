package decision

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// The state that dispatcher.go decides on, and its bookkeeping. Nothing is decided here.

// worker is what a dispatcher knows of one worker.
type worker struct {
	Endpoint
	nameHash      uint64 // of its name
	positions     [listCount]int
	lastSnapshot    uint64        // the last complete list that names it
	outstanding       float64       // own outstanding slots
	unstarted int           // own attempts that have not told their start
	unstartedSince  time.Duration // since when the oldest of them waits
	startWait      decayingValue        // learned wait for a start, seconds
	runTimeRatio      float64       // learned run time per hinted second; 0 while unknown
	recentWork      decayingValue        // hinted slot-seconds it took lately
	slowStartBudget      float64       // unspent budget while it is cold, hinted slot-seconds
	slowStartBudgetAt    time.Duration // when that was reckoned
	freeSlots      float64       // free slots by the last report, less what was sent since
	freeSlotsAt    time.Duration
	backlog   float64       // jobs that wait there by the last report
	backlogAt    time.Duration // when that came
	healthCheckedAt  time.Duration
	othersOutstanding    float64         // jobs of others there by the last report, or by a live weight
	othersOutstandingAt  time.Duration   // when that came
	idleConnections      []time.Duration // since when its open connections are unused, the oldest first
	possiblyLost     *request        // late, not started: its connection may be dead
	saturatedUntil      time.Duration   // turned work away: full until then
	lastSeen     time.Duration   // when it last showed liveness
	failureScore      decayingValue          // recent failures, 0 to 1
	consecutiveInvalid  int             // jobs in a row that it called unusable
	rejections  map[*Class]*classRejections
	ejected   bool
	ejectionBackoff   time.Duration
	trialAt   time.Duration // when a suspect may be tried again
	suspended bool          // it gets nothing for now
	listedStart time.Duration // by the list; LastStart is the time that it counts as started
}

// zone is what a dispatcher knows of the workers of one zone together.
type zone struct {
	failedConnects int           // connects that failed there since one of them was heard of
	firstFailureAt  time.Duration // when the first of them did
	lastAttemptAt  time.Duration // when the last of them did, or a later job was sent there
}

// classRejections is what a worker does with the jobs of one class.
type classRejections struct {
	lastAcceptedAt   time.Duration // when the last one was sent that it started
	count       int           // how many it has turned away since
	firstRejectedAt    time.Duration // when the first of them was
	backoff time.Duration
	blockedUntil   time.Duration // it gets none of the class until then
}

// attempt is one send of a request to a worker.
type attempt struct {
	worker                    *worker
	sentAt, startedAt, lastSeen time.Duration
	ended, neverRan       bool
	unresponsive                 bool          // its connection looks dead: nobody waits for its start any more
	connectionIdle                 time.Duration // how long its connection may have been unused, where no wait was foreseen
}

// request is one client's request until it is answered and all its attempts have ended.
type request struct {
	id            uint64
	class         *Class
	slots         float64
	work          float64 // hinted run time in seconds, or the recent mean of its class
	classMeanWork          float64 // that mean
	value         float64
	cost, holdTime    float64
	objective, deadline time.Duration
	keyQueue          *keyQueue         // where requests with its key run in turn
	keyHash          uint64        // hash of its key, 0 for none
	notBefore     time.Duration // the next attempt is held until then
	attempts      []attempt
	outstanding           int // attempts outstanding
	queued, late  bool
	countedAsBad       bool // as bad already
	ended         bool
}

// keyQueue is a key whose requests run one at a time: those not over, in the order in which they came.
type keyQueue struct {
	key      string
	requests []*request
	cooldownUntil   time.Duration // until when the key rests
}

// Machine decides for one dispatcher. It is not safe for concurrent use.
type Machine struct {
	suspendedCount int // workers that get nothing for now
	settings         Settings
	random       *rand.Rand
	now       time.Duration
	actions   []Action
	planningHorizon   time.Duration // span of the recent mix
	sweepInterval      time.Duration // interval of the sweep
	sweepScheduled   bool

	workers   map[string]*worker
	fleet     []*worker      // the workers
	warmWorkers      []*worker      // those that are warm, to draw from
	localWarmWorkers      []*worker      // those of the own zone that are warm, to draw from
	warmingUp     []*worker      // those that are cold
	warmingUpNext int            // where the next pick begins to draw them
	snapshots     uint64         // complete lists so far
	ring      []*worker      // all by a hash of their name, the same at every dispatcher, but for
	ringChanges  []*worker      // those that have come or gone since it was last used
	owners     []*worker      // scratch
	initialOwners int            // how many of a key's homes are looked at first
	subsetSize       int            // the first so many to draw make up the own set
	runningCount   int            // those that run
	ejectedCount  int            // those of them that are suspects
	eligible      map[*Class]int // those of them that may run the class
	zones     map[int]*zone
	lastSeen     time.Duration // when any worker last showed liveness
	requests  map[uint64]*request
	unanswered      []*request     // unanswered, by arrival
	queue     []*request     // waiting, highest value per cost first
	misses    map[*Class]int // jobs of a class that did not fit in one drain
	keyQueues     map[string]*keyQueue
	coolingDown   []*keyQueue         // keys that rest, the first to end first
	arrivals     []time.Duration // when requests came, and when attempts beyond their first were made,
	retries     []time.Duration // in the last ExtraWindow

	inFlight  float64 // slots leased
	inFlightAtEjected     float64 // those of them that suspects hold
	concurrencyPerWorker   float64 // learned in-flight ceiling, slots per ready worker
	workRatePerWorker   float64 // learned bucket rate, slot-seconds a second per ready worker
	bucketTokens    float64 // slot-seconds left
	bucketRefilledAt  time.Duration
	badRatio       float64 // recent share of bad outcomes
	ceilingsCutAt     time.Duration
	meanLatency float64       // recent mean latency, seconds
	meanStartWait  float64       // recent mean wait for a start, seconds
	safeIdleTime  time.Duration // those unused for longer may be dead
	connectionLostAt    time.Duration // when one seemed dead last

	mix            []jobGroup
	workPrice, slotPrice float64
	nextPricingAt        time.Duration
	classMeanWork      []float64       // recent mean run time by class, as hinted or, without hints, as learned
	learnedRuns           []float64       // jobs without a hint that it was learned from, by class
	recentKeys            []uint64        // keys of the latest jobs, hashed
	maxTimeLeft       []time.Duration // longest time left of an arrival, by class: that of a first try
	kindRunTimeRatio       map[int]float64
	nominalWeight        map[int]float64 // the largest weight of a kind
	tenants        []tenant
	healthCheckNext      int
	warmWorkRates         map[int]float64 // warmShare by kind
	warmWorkRatesAt       time.Duration   // when they were looked at last; 0: they are unknown
	warmWorkRateScan      workRateScan       // looks at a large fleet, a part at a time
	listBackoff    time.Duration
}

// tenant tracks one tenant's own traffic against its quota.
type tenant struct {
	tokens    float64 // arrivals left inside the quota
	refilledAt       time.Duration
	arrivals decayingValue
}

// jobGroup is a group of like jobs of the recent mix.
type jobGroup struct {
	key                  jobGroupKey
	count, value, cost, holdTime decayingValue
}

// jobGroupKey tells which jobs are alike: sizes are rounded to powers of two and four.
type jobGroupKey struct {
	class       int
	over        bool
	slots, work int
}

// decayingValue is a sum in which the past fades exponentially.
type decayingValue struct {
	value float64
	at  time.Duration
}

func (f *decayingValue) get(now, span time.Duration) float64 {
	return f.value * math.Exp(-(now-f.at).Seconds()/span.Seconds())
}

func (f *decayingValue) add(now, span time.Duration, x float64) {
	f.value, f.at = f.get(now, span)+x, now
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// New returns a dispatcher that knows no worker yet.
func New(s Settings, seed uint64) (*Machine, error) {
	if err := s.normalize(); err != nil {
		return nil, err
	}
	d := &Machine{
		settings: s, random: rand.New(rand.NewPCG(seed, 0)),
		workers: map[string]*worker{}, zones: map[int]*zone{}, eligible: map[*Class]int{},
		kindRunTimeRatio: map[int]float64{}, nominalWeight: map[int]float64{},
		requests: map[uint64]*request{}, misses: map[*Class]int{}, keyQueues: map[string]*keyQueue{},
		classMeanWork: make([]float64, len(s.Classes)), maxTimeLeft: make([]time.Duration, len(s.Classes)),
		learnedRuns:    make([]float64, len(s.Classes)),
		tenants: make([]tenant, len(s.TenantQuotas)),
	}
	d.initEstimates()
	return d, nil
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) logf(format string, args ...any) {
	m.emit(Action{Kind: Log, Text: fmt.Sprintf(format, args...)})
}

// outstandingAttempt finds the outstandingAttempt of an event, if it is still out.
func (m *Machine) outstandingAttempt(ev Event) (*request, *attempt) {
	r := m.requests[ev.Request]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || r.attempts[ev.Attempt].ended {
		return nil, nil
	}
	return r, &r.attempts[ev.Attempt]
}

// shortestSweepInterval is the interval of the sweep, by the shortest aim.
func (m *Machine) shortestSweepInterval() time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for i := range m.settings.Classes {
		c := &m.settings.Classes[i]
		shortest = min(shortest, max(c.LatencyObjective, c.Deadline/50))
	}
	return max(shortest/2, m.settings.Tick)
}

// reconfigure takes over the settings that may change while running. Classes keep their addresses: open requests,
// refusals and counts refer to them. Of what is derived from settings only the interval of the sweep depends on these,
// and follows with the next sweep; the horizon depends on deadlines alone, and what was learned stays.
func (m *Machine) reconfigure(s *Settings) {
	if s == nil || len(s.Classes) != len(m.settings.Classes) || len(s.TenantQuotas) != len(m.settings.TenantQuotas) {
		m.logf("settings refused: the number of classes or tenants differs")
		return
	}
	next := *s
	if err := next.normalize(); err != nil {
		m.logf("settings refused: %v", err)
		return
	}
	for i := range m.settings.Classes {
		c, to := &m.settings.Classes[i], &next.Classes[i]
		c.PriorityWeight, c.LateWeight, c.LatencyObjective, c.ObjectiveStretch = to.PriorityWeight, to.LateWeight, to.LatencyObjective, to.ObjectiveStretch
	}
	m.settings.TenantQuotas = slices.Clone(next.TenantQuotas)
	m.settings.OverQuotaWeight, m.settings.MaxRetryAfter = next.OverQuotaWeight, next.MaxRetryAfter
	m.sweepInterval = m.shortestSweepInterval()
}

func (m *Machine) scheduleSweep() {
	if !m.sweepScheduled {
		m.sweepScheduled = true
		m.emit(Action{Kind: SetTimer, Timer: sweepTimer, Delay: m.sweepInterval})
	}
}

// addToMix counts a first try into the recent mix, merged with its like. The number of points is bounded,
// since solving for prices takes its cube: beyond it a job joins the point nearest in size of its class.
func (m *Machine) addToMix(r *request, key jobGroupKey) {
	const mostPoints = 48
	best, distance := -1, math.MaxInt
	for i := range m.mix {
		k := m.mix[i].key
		off := abs(k.slots-key.slots) + abs(k.work-key.work)
		if k.class == key.class && k.over == key.over && off < distance {
			best, distance = i, off
		}
	}
	if best < 0 || distance > 0 && len(m.mix) < mostPoints {
		best = len(m.mix)
		m.mix = append(m.mix, jobGroup{key: key})
	}
	p := &m.mix[best]
	p.count.add(m.now, m.planningHorizon, 1)
	p.value.add(m.now, m.planningHorizon, r.value)
	p.cost.add(m.now, m.planningHorizon, r.cost)
	p.holdTime.add(m.now, m.planningHorizon, r.holdTime)
}

func abs(x int) int { return max(x, -x) }

// covers tells whether two workers discard each other's repeats.
func (g DedupScope) covers(a, b *worker) bool {
	return g == DedupEverywhere || a.Zone == b.Zone && (g == DedupWithinZone || a.Cell == b.Cell)
}

func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.neverRan })
}

// hasStarted tells whether an attempt that is out has told its start.
func (r *request) hasStarted() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.ended && a.startedAt > 0 })
}

// unstartedAttempt returns the attempt of a request that has one out which has not told its start.
func (r *request) unstartedAttempt() *attempt {
	for i := range r.attempts {
		if a := &r.attempts[i]; r.outstanding == 1 && !a.ended && a.startedAt == 0 {
			return a
		}
	}
	return nil
}

// startAttempt books an attempt at w and asks for it.
func (m *Machine) startAttempt(r *request, w *worker) {
	w.recentWork.add(m.now, m.planningHorizon, r.cost)
	charge := r.slowStartCost()
	w.slowStartBudget -= charge
	if m.capacityFraction(w) >= 1 {
		charge = 0
	}
	w.outstanding += r.slots
	if w.ejected {
		m.inFlightAtEjected += r.slots
	}
	w.freeSlots -= r.slots
	m.zone(w.Zone).lastAttemptAt = m.now
	a := attempt{worker: w, sentAt: m.now, lastSeen: m.now}
	if n := len(w.idleConnections); n > 0 {
		if m.expectedStartWait(w) <= m.sweepInterval.Seconds() && w.othersOutstanding <= 0 && w.unstarted == 0 {
			a.connectionIdle = m.now - w.idleConnections[n-1]
		}
		w.idleConnections = w.idleConnections[:n-1]
	}
	if w.unstarted == 0 {
		w.unstartedSince = m.now
	}
	w.unstarted++
	if len(r.attempts) > 0 && m.settings.RetryBudgetWindow > 0 {
		m.retries = append(m.retries, m.now)
	}
	r.attempts = append(r.attempts, a)
	r.outstanding++
	m.emit(Action{Kind: Assign, Request: r.id, Worker: w.Name, Reservation: charge})
}

// recordReservedElsewhere books what the dispatcher's other process sent a cold worker: the budget is one for both.
func (m *Machine) recordReservedElsewhere(w *worker, charge float64) {
	if w != nil && charge > 0 {
		w.slowStartBudget -= charge
		w.recentWork.add(m.now, m.planningHorizon, 0) // it has had its first job
	}
}

// rejectionsOf finds what a worker does with jobs of a class.
func (w *worker) rejectionsOf(c *Class) *classRejections {
	if w.rejections[c] == nil {
		if w.rejections == nil {
			w.rejections = map[*Class]*classRejections{}
		}
		w.rejections[c] = &classRejections{}
	}
	return w.rejections[c]
}

// recordAccepted books that the worker has recordAccepted a job of a class.
func (a *attempt) recordAccepted(c *Class) {
	if t := a.worker.rejectionsOf(c); a.sentAt > t.lastAcceptedAt {
		*t = classRejections{lastAcceptedAt: a.sentAt}
	}
}

// acceptsOtherClasses tells whether the worker has taken jobs of other classes sent after a moment.
func (w *worker) acceptsOtherClasses(c *Class, after time.Duration) bool {
	for other, t := range w.rejections {
		if other != c && t.lastAcceptedAt > after {
			return true
		}
	}
	return false
}

// closeIdleConnections asks for the idle connections to a worker to be closed.
func (m *Machine) closeIdleConnections(w *worker) {
	w.idleConnections = w.idleConnections[:0]
	m.emit(Action{Kind: CloseIdle, Worker: w.Name})
}

// markPossiblyLost books that a job may have been lost on a connection, so that its worker gets another on a new one.
func (m *Machine) markPossiblyLost(r *request, a *attempt) {
	m.removeUnstarted(a.worker)
	a.worker.possiblyLost = r
	m.closeIdleConnections(a.worker)
}

// stopAwaitingStart books that an attempt's start is waited for no more, so that its worker gets others.
func (m *Machine) stopAwaitingStart(r *request, a *attempt) {
	if a.worker.possiblyLost != r { // else that is booked
		m.removeUnstarted(a.worker)
	}
	m.closeIdleConnections(a.worker)
}

// overtakenAttempt returns the job in doubt at a worker, if a later one of another request has started before it.
func (m *Machine) overtakenAttempt(r *request, a *attempt) (*request, *attempt) {
	q := a.worker.possiblyLost
	if q == nil || q == r {
		return nil, nil
	}
	a.worker.possiblyLost = nil
	if lost := q.unstartedAttempt(); lost != nil && lost.worker == a.worker && lost.sentAt < a.sentAt && !q.ended {
		return q, lost
	}
	return nil, nil
}

// recordStart books an attempt's start, once, and how long it waited for it.
func (m *Machine) recordStart(class *Class, a *attempt) {
	if a.startedAt > 0 {
		return
	}
	a.startedAt = m.now
	a.recordAccepted(class)
	if m.settings.StartNotices {
		m.meanStartWait += ((m.now - a.sentAt).Seconds() - m.meanStartWait) / (minPricedJobs / 2)
		a.worker.startWait = decayingValue{(m.expectedStartWait(a.worker) + (m.now - a.sentAt).Seconds()) / 2, m.now}
	}
	if !a.unresponsive {
		m.removeUnstarted(a.worker)
	}
}

// learnRunTimeRatio books how long a worker took for a hinted second, of its own and for its kind.
func (m *Machine) learnRunTimeRatio(w *worker, pace float64) {
	pace = min(max(pace*m.capacityFraction(w), 1.0/32), 32)
	old := cmp.Or(w.runTimeRatio, pace)
	w.runTimeRatio = old + (pace-old)/5
	kind := cmp.Or(m.kindRunTimeRatio[w.Kind], pace)
	m.kindRunTimeRatio[w.Kind] = kind + (pace-kind)/minPricedJobs
}

// learnClassMeanWork books how long a job without a hint ran: the mean of its class stands for the hints that do not
// come. What its worker took is corrected from the guess to that: cold workers' budgets come from it, and a
// guess far above the mean that is learned since would grant them many times the jobs that warm ones take.
func (m *Machine) learnClassMeanWork(r *request, a *attempt) {
	run := (m.now - max(a.sentAt, a.startedAt)).Seconds() * m.capacityFraction(a.worker)
	correction := decayingValue{r.slots*run - r.cost, a.sentAt}
	a.worker.recentWork.add(m.now, m.planningHorizon, correction.get(m.now, m.planningHorizon))
	for i := range m.settings.Classes {
		if &m.settings.Classes[i] == r.class {
			m.learnedRuns[i]++ // the first guess counts as one of them
			m.classMeanWork[i] += (run - m.classMeanWork[i]) / min(m.learnedRuns[i]+1, minPricedJobs)
		}
	}
}

// recordKey books that a job concerns a key, and tells the key's hash, 0 for none, and whether it was met among the
// latest jobs: so many that a key met twice has about as large a part of all work as its homes can carry.
func (m *Machine) recordKey(key string) (h uint64, met bool) {
	if key == "" {
		return 0, false
	}
	h = hashName(key)
	met = slices.Contains(m.recentKeys, h)
	m.recentKeys = append(m.recentKeys, h)
	if over := len(m.recentKeys) - max(len(m.fleet)/maxOwners, 1); over > 0 {
		m.recentKeys = slices.Delete(m.recentKeys, 0, over)
	}
	return h, met
}

// removeUnstarted books that one attempt fewer waits for its start.
func (m *Machine) removeUnstarted(w *worker) {
	w.unstarted = max(w.unstarted-1, 0)
	w.unstartedSince = m.now
}

// releaseAttempt books the end of an attempt, and gives back its lease and, after an answer, its connection.
func (m *Machine) releaseAttempt(r *request, a *attempt, o AttemptOutcome) {
	if o == Completed || o == Failed || o == Saturated || o == InvalidRequest {
		a.worker.idleConnections = append(a.worker.idleConnections, m.now)
	}
	if a.startedAt == 0 && !a.unresponsive {
		m.removeUnstarted(a.worker)
	}
	if o == Completed && r.holdTime == 0 && m.settings.StartNotices {
		m.learnClassMeanWork(r, a)
	}
	a.ended = true
	r.outstanding--
	a.worker.outstanding -= r.slots
	a.worker.freeSlots += r.slots
	m.inFlight = max(m.inFlight-r.slots, 0)
	if a.worker.ejected {
		m.inFlightAtEjected -= r.slots
	}
}

// applyList applies a list to the workers known. A worker that has started anew keeps only what is
// outstanding there: all that was learned is about its old process. Changes take work that goes with their number.
func (m *Machine) applyList(ev Event) {
	complete := ev.ListKind != ListDelta
	if complete {
		m.snapshots++
		m.warmWorkRatesAt = 0
	}
	if m.settings.LoadAdjustedWeights {
		for _, e := range ev.Endpoints {
			m.nominalWeight[e.Kind] = max(m.nominalWeight[e.Kind], e.Weight)
		}
	}
	for _, e := range ev.Endpoints {
		m.applyEndpoint(e, !complete)
	}
	for _, e := range ev.Endpoints { // only now: a list may name a worker twice, and its last word counts
		if w := m.workers[e.Name]; w != nil && w.State == Removed {
			m.removeWorker(w)
		}
	}
	for i := len(m.fleet) - 1; complete && i >= 0; i-- { // what a complete list lacks is gone
		if w := m.fleet[i]; w.lastSnapshot != m.snapshots {
			m.removeWorker(w)
		}
	}
}

// applyEndpoint takes in what a list says of one worker.
func (m *Machine) applyEndpoint(e Endpoint, news bool) {
	w, told := m.workers[e.Name], e.StartedAt
	switch {
	case w == nil && e.State == Removed:
		return
	case w == nil:
		w = &worker{slowStartBudgetAt: m.now, nameHash: hashName(e.Name)}
		e.StartedAt = m.startTime(told, news)
		m.workers[e.Name] = w
		m.fleet = appendToList(m.fleet, inFleet, w)
		m.ringChanged(w)
		m.markZoneReachable(e.Zone)
	case told > w.listedStart:
		m.setEjected(w, false)
		m.countRunning(w, -1)
		m.markZoneReachable(e.Zone) // a zone where workers start is there
		*w = worker{Endpoint: w.Endpoint, positions: w.positions, nameHash: w.nameHash, outstanding: w.outstanding, unstarted: w.unstarted,
			unstartedSince: m.now, slowStartBudgetAt: m.now, suspended: w.suspended}
		e.StartedAt = m.startTime(told, news)
	default:
		m.countRunning(w, -1)
		if told == w.listedStart {
			e.StartedAt = w.StartedAt
		}
	}
	w.Endpoint, w.lastSnapshot, w.listedStart = e, m.snapshots, told
	m.countRunning(w, 1)
	m.placeInLists(w)
	if m.settings.LoadAdjustedWeights && e.Weight > 0 {
		w.othersOutstanding, w.othersOutstandingAt = m.nominalWeight[e.Kind]/e.Weight-1, m.now
	}
}

// placeInLists puts a worker into the lists to draw from that it belongs to: a cold one into that of the cold ones alone.
func (m *Machine) placeInLists(w *worker) {
	cold := m.capacityFraction(w) < 1
	m.warmingUp = m.setMembership(m.warmingUp, inWarmingUp, w, cold)
	m.warmWorkers = m.setMembership(m.warmWorkers, inWarmWorkers, w, !cold)
	m.localWarmWorkers = m.setMembership(m.localWarmWorkers, inLocalWarmWorkers, w, !cold && w.Zone == m.settings.Zone)
}

// setMembership makes a worker a setMembership of a list, at a random place, or none.
func (m *Machine) setMembership(list []*worker, id listID, w *worker, in bool) []*worker {
	if !in {
		return removeFromList(list, id, w)
	}
	if w.positions[id] == 0 {
		list = m.insertAtRandom(list, id, w)
	}
	return list
}

// nextWarmingUp returns the cold workers that the next pick may draw: so many, in turn with all the others.
func (m *Machine) nextWarmingUp() []*worker {
	if m.warmingUpNext >= len(m.warmingUp) {
		m.warmingUpNext = 0
	}
	from := m.warmingUpNext
	m.warmingUpNext = min(from+maxWarmingUpDraws, len(m.warmingUp))
	return m.warmingUp[from:m.warmingUpNext]
}

// removeWorker forgets a worker that is gone. Attempts there go on.
func (m *Machine) removeWorker(w *worker) {
	m.setSuspended([]Endpoint{w.Endpoint}, false)
	m.countRunning(w, -1)
	w.State = Removed
	delete(m.workers, w.Name)
	m.fleet, m.warmWorkers = removeFromList(m.fleet, inFleet, w), removeFromList(m.warmWorkers, inWarmWorkers, w)
	m.localWarmWorkers, m.warmingUp = removeFromList(m.localWarmWorkers, inLocalWarmWorkers, w), removeFromList(m.warmingUp, inWarmingUp, w)
	m.ringChanged(w)
}

// countRunning books a worker that has come, or that goes, among those that run.
func (m *Machine) countRunning(w *worker, sign int) {
	if w.State != Running {
		return
	}
	m.runningCount += sign
	if w.ejected {
		m.ejectedCount += sign
	}
	for i := range m.settings.Classes {
		c := &m.settings.Classes[i]
		if !c.mayRunOn(w) {
			continue
		}
		if m.eligible[c] += sign; m.eligible[c] == 0 {
			delete(m.eligible, c)
		}
	}
}

// listID names a list of workers. Each worker knows its place there, from 1 on, so that one leaves without a walk.
type listID int

const (
	inFleet listID = iota
	inWarmWorkers
	inLocalWarmWorkers
	inWarmingUp
	inOwners // a list made for one use: the places are not kept
	listCount
)

// appendToList adds a worker at the end of a list.
func appendToList(list []*worker, id listID, w *worker) []*worker {
	list = append(list, w)
	w.positions[id] = len(list)
	return list
}

// removeFromList takes a worker out of a list, if it is there. The last one takes its place.
func removeFromList(list []*worker, id listID, w *worker) []*worker {
	i, last := w.positions[id]-1, len(list)-1
	if i < 0 {
		return list
	}
	swapInList(list, id, i, last)
	w.positions[id] = 0
	list[last] = nil
	return list[:last]
}

// swapInList exchanges two workers of a list, or of a part of one.
func swapInList(list []*worker, id listID, i, j int) {
	a, b := list[i], list[j]
	list[i], list[j] = b, a
	a.positions[id], b.positions[id] = b.positions[id], a.positions[id]
}

// hashName is the FNV-1a hashName of a name, never 0, its bits mixed once more: names often differ in their end only.
func hashName(name string) uint64 {
	f := fnv.New64a()
	f.Write([]byte(name))
	h := f.Sum64()
	h = (h ^ h>>32) * 0x9e3779b97f4a7c15
	return h ^ h>>29 | 1
}

// compareByHash orders the ring.
func compareByHash(a, b *worker) int {
	return cmp.Or(cmp.Compare(a.nameHash, b.nameHash), cmp.Compare(a.Name, b.Name))
}

// ringChanged books that a worker has come or gone. Where that is so of many, the ring is built anew at its next use.
func (m *Machine) ringChanged(w *worker) {
	const many = 16 // part of the ring
	if m.ringChanges = append(m.ringChanges, w); len(m.ringChanges) > len(m.ring)/many {
		m.ring, m.ringChanges = nil, nil
	}
}

// updateRing puts those on the ring that have come since its last use, and takes those off that have gone.
func (m *Machine) updateRing() {
	if len(m.ring) == 0 {
		m.ring = slices.SortedFunc(slices.Values(m.fleet), compareByHash)
	}
	for _, w := range m.ringChanges {
		at, found := slices.BinarySearchFunc(m.ring, w, compareByHash)
		switch {
		case w.State != Removed && !found:
			m.ring = slices.Insert(m.ring, at, w)
		case w.State != Removed:
			m.ring[at] = w
		case found && m.ring[at] == w:
			m.ring = slices.Delete(m.ring, at, at+1)
		}
	}
	m.ringChanges = m.ringChanges[:0]
}

// ownersOf returns the n workers that follow a key on the ring.
func (m *Machine) ownersOf(key uint64, n int) []*worker {
	m.updateRing()
	at, _ := slices.BinarySearchFunc(m.ring, key, func(w *worker, k uint64) int { return cmp.Compare(w.nameHash, k) })
	m.owners = m.owners[:0]
	for i := range min(n, len(m.ring)) {
		m.owners = append(m.owners, m.ring[(at+i)%len(m.ring)])
	}
	return m.owners
}

// insertAtRandom adds a worker to a list in random order, at a random place.
func (m *Machine) insertAtRandom(list []*worker, id listID, w *worker) []*worker {
	list = appendToList(list, id, w)
	swapInList(list, id, m.random.IntN(len(list)), len(list)-1)
	return list
}

// setEjected books a verdict, if it is a new one.
func (m *Machine) setEjected(w *worker, bad bool) {
	if bad == w.ejected {
		return
	}
	sign := 1
	if !bad {
		sign = -1
	}
	m.inFlightAtEjected += float64(sign) * w.outstanding
	if w.State == Running {
		m.ejectedCount += sign
	}
	w.ejected, w.ejectionBackoff = bad, 0
}

// zone finds what is known of a zone.
func (m *Machine) zone(n int) *zone {
	if m.zones[n] == nil {
		m.zones[n] = &zone{}
	}
	return m.zones[n]
}

// markSeen books that a worker's zone shows liveness, and returns the time.
func (m *Machine) markSeen(w *worker) time.Duration {
	m.lastSeen = m.now
	m.markZoneReachable(w.Zone)
	return m.now
}

// markZoneReachable books that a zone is there.
func (m *Machine) markZoneReachable(n int) {
	z := m.zone(n)
	if z.failedConnects >= unreachableZoneConnects {
		m.logf("zone %s is there again", m.zoneName(n))
	}
	z.failedConnects = 0
}

// zoneName is what the settings call a zone, else its number.
func (m *Machine) zoneName(n int) string {
	if n >= 0 && n < len(m.settings.ZoneNames) {
		return m.settings.ZoneNames[n]
	}
	return strconv.Itoa(n)
}

// recordConnectFailure books that no connection to a worker came up.
func (m *Machine) recordConnectFailure(w *worker) {
	z := m.zone(w.Zone)
	if z.failedConnects++; z.failedConnects == 1 {
		z.firstFailureAt = m.now
	} else if z.failedConnects == unreachableZoneConnects {
		m.logf("zone %s looks lost: %d connects failed in a row", m.zoneName(w.Zone), z.failedConnects)
	}
	z.lastAttemptAt = m.now
}

// enqueue lets a request wait, in the order of byDensity.
func (m *Machine) enqueue(r *request) {
	at, _ := slices.BinarySearchFunc(m.queue, r, compareByDensity)
	m.queue = slices.Insert(m.queue, at, r)
	r.queued = true
}

// countedInFlight is the number of slots leased that count. Those that suspects hold do not: the ceiling is that of the
// other workers, whom jobs stuck elsewhere must not starve.
func (m *Machine) countedInFlight() float64 {
	if m.inPanic() {
		return m.inFlight
	}
	return m.inFlight - m.inFlightAtEjected
}

// readyWorkers is the number of readyWorkers workers, at least one: those that run, less the suspects unless all are trusted.
func (m *Machine) readyWorkers() float64 {
	if m.inPanic() {
		return float64(max(m.runningCount, 1))
	}
	return float64(max(m.runningCount-m.ejectedCount, 1))
}

// bucketCapacity is what the bucket holds when full: the slot-seconds that its rate gives in a horizon.
func (m *Machine) bucketCapacity() float64 { return m.workRatePerWorker * m.readyWorkers() * m.planningHorizon.Seconds() }

// latencyEstimate is the recent mean round trip in seconds, never less than a tick.
func (m *Machine) latencyEstimate() float64 { return max(m.meanLatency, m.settings.Tick.Seconds()) }

// eligibleShare is the part of the running workers that may run jobs of the class.
func (m *Machine) eligibleShare(c *Class) float64 {
	return float64(m.eligible[c]) / float64(max(m.runningCount, 1))
}

// capacityFraction is the share of its capacity that a worker surely has.
func (m *Machine) capacityFraction(w *worker) float64 {
	age := max(m.now-w.StartedAt, 0)
	if w.StartedAt <= 0 || age >= m.settings.SlowStartDuration {
		return 1
	}
	return m.settings.SlowStartFloor + (1-m.settings.SlowStartFloor)*age.Seconds()/m.settings.SlowStartDuration.Seconds()
}

// promoteWarmedUp keeps the list of cold workers to those that still are, and lets the others be drawn with the warm ones.
func (m *Machine) promoteWarmedUp() {
	for i := len(m.warmingUp) - 1; i >= 0; i-- {
		if w := m.warmingUp[i]; m.capacityFraction(w) >= 1 {
			m.placeInLists(w)
		}
	}
}

// warmWorkRate is the work a second that a warm worker of the kind takes from this dispatcher: the mean of
// its kind, or the least of all where no warm one of its kind is known. It is computed once a beat, of a
// large fleet a part: a walk over all of it at each beat would cost what the fleet does.
func (m *Machine) warmWorkRate(kind int) float64 {
	if m.warmWorkRatesAt == 0 || m.now-m.warmWorkRatesAt >= m.sweepInterval {
		whole := m.warmWorkRatesAt == 0
		m.warmWorkRatesAt = m.now
		m.scanWarmWorkRates(whole)
	}
	if share, ok := m.warmWorkRates[kind]; ok {
		return share
	}
	return m.warmWorkRates[minOfAllKinds]
}

const (
	minOfAllKinds = -1   // the key of the least share; no kind has this number
	scanWorkersPerSweep = 2048 // workers that one beat looks at
)

// workRateScan is a walk over the fleet that computes the shares, over some beats.
type workRateScan struct {
	next   int             // the worker to go on with
	count  map[int]float64 // warm workers so far, by kind
	rates map[int]float64 // their shares
}

// scanWarmWorkRates goes on with the walk over the fleet, to its end if whole, and takes the shares over there.
func (m *Machine) scanWarmWorkRates(whole bool) {
	pass := &m.warmWorkRateScan
	if whole || pass.count == nil || pass.next > len(m.fleet) {
		*pass = workRateScan{count: map[int]float64{}, rates: map[int]float64{}}
	}
	end := len(m.fleet)
	if !whole {
		end = min(end, pass.next+scanWorkersPerSweep)
	}
	for _, w := range m.fleet[pass.next:end] {
		m.addToScan(pass, w)
	}
	if pass.next = end; end == len(m.fleet) {
		m.warmWorkRates = pass.rates
		*pass = workRateScan{}
	}
}

// addToScan takes a worker into the shares, if it is warm.
func (m *Machine) addToScan(pass *workRateScan, w *worker) {
	if w.State != Running || m.capacityFraction(w) < 1 {
		return
	}
	rate := w.recentWork.get(m.now, m.planningHorizon) / m.planningHorizon.Seconds()
	pass.count[w.Kind]++
	pass.rates[w.Kind] += (rate - pass.rates[w.Kind]) / pass.count[w.Kind]
	if least, ok := pass.rates[minOfAllKinds]; !ok || rate < least {
		pass.rates[minOfAllKinds] = rate
	}
}

// requestHealthChecks asks workers of the own set in turn for their load; of the cold ones, where none is warm.
func (m *Machine) requestHealthChecks() {
	from := m.warmWorkers
	if len(from) == 0 {
		from = m.warmingUp
	}
	for i := 0; i < min(healthChecksPerArrival, len(from)) && m.settings.HealthChecks && m.settings.LoadByHealthCheck; i++ {
		m.healthCheckNext++
		m.emit(Action{Kind: CheckHealth, Worker: from[m.healthCheckNext%min(m.subsetSize, len(from))].Name})
	}
}

// recordLoad keeps what a worker told of its load, if it told anything.
func (m *Machine) recordLoad(ev Event) {
	w, l := m.workers[ev.Worker], ev.Load
	if w == nil {
		return
	}
	if l.HasFreeSlots {
		w.freeSlots, w.freeSlotsAt = l.FreeSlots, m.now
	}
	if l.HasBacklog {
		w.backlog, w.backlogAt = l.Backlog, m.now
	}
	if l.HasOutstanding {
		w.othersOutstanding, w.othersOutstandingAt = max(l.Outstanding-w.outstanding, 0), m.now
	} else if l.HasBacklog {
		w.othersOutstanding, w.othersOutstandingAt = max(l.Backlog, 0), m.now
	}
}

// bid is the total value, cost and hold of a group of like jobs.
type bid struct{ value, cost, holdTime float64 }

// recentMix returns the recent mix as bids, and how many jobs are in it. It drops what has faded away.
func (m *Machine) recentMix() (bids []bid, jobs float64) {
	const faded = 0.01 // of a job
	m.mix = slices.DeleteFunc(m.mix, func(p jobGroup) bool { return p.count.get(m.now, m.planningHorizon) < faded })
	for i := range m.mix {
		p := &m.mix[i]
		jobs += p.count.get(m.now, m.planningHorizon)
		bids = append(bids, bid{
			value: p.value.get(m.now, m.planningHorizon),
			cost:  p.cost.get(m.now, m.planningHorizon),
			holdTime:  p.holdTime.get(m.now, m.planningHorizon),
		})
	}
	return bids, jobs
}

// tenantTraffic is the rate of all tenants' arrivals here, and of their quotas over all dispatchers.
func (m *Machine) tenantTraffic() (arrivals, quotas float64) {
	for i := range m.tenants {
		arrivals += m.tenants[i].arrivals.get(m.now, m.planningHorizon) / m.planningHorizon.Seconds()
		quotas += m.settings.TenantQuotas[i]
	}
	return arrivals, quotas
}

// forgetIfEnded drops a request that has ended once none of its attempts is out.
func (m *Machine) forgetIfEnded(r *request) {
	if !r.ended || r.outstanding > 0 {
		return
	}
	delete(m.requests, r.id)
	if t := r.keyQueue; t != nil {
		t.requests = slices.DeleteFunc(t.requests, func(q *request) bool { return q == r })
		m.dropKeyQueueIfIdle(t)
	}
}

// joinKeyQueue puts a request last among those of its key.
func (m *Machine) joinKeyQueue(r *request, key string) {
	t := m.keyQueues[key]
	if t == nil {
		t = &keyQueue{key: key}
		m.keyQueues[key] = t
	}
	r.keyQueue = t
	t.requests = append(t.requests, r)
}

// startCooldown books that a key rests from now on.
func (m *Machine) startCooldown(t *keyQueue, span time.Duration) {
	t.cooldownUntil = m.now + span
	m.coolingDown = append(m.coolingDown, t)
	m.emit(Action{Kind: SetTimer, Timer: cooldownTimer, Delay: span})
}

// endCooldowns forgets the keys that have rested and are idle.
func (m *Machine) endCooldowns() {
	for len(m.coolingDown) > 0 && m.now >= m.coolingDown[0].cooldownUntil {
		m.dropKeyQueueIfIdle(m.coolingDown[0])
		m.coolingDown = m.coolingDown[1:]
	}
}

// dropKeyQueueIfIdle forgets a key that is idle and rested.
func (m *Machine) dropKeyQueueIfIdle(t *keyQueue) {
	if len(t.requests) == 0 && m.now >= t.cooldownUntil && m.keyQueues[t.key] == t {
		delete(m.keyQueues, t.key)
	}
}

// countArrival books a request for the budget of further attempts, whatever becomes of it.
func (m *Machine) countArrival() {
	if m.settings.RetryBudgetWindow > 0 {
		m.arrivals = append(dropBefore(m.arrivals, m.now-m.settings.RetryBudgetWindow), m.now)
	}
}

// dropBefore drops the times before from.
func dropBefore(times []time.Duration, from time.Duration) []time.Duration {
	i, _ := slices.BinarySearch(times, from)
	return times[i:]
}
