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
	hash      uint64 // of its name
	place     [listCount]int
	listed    uint64        // the last complete list that names it
	out       float64       // own outstanding slots
	unstarted int           // own attempts that have not told their start
	waitFrom  time.Duration // since when the oldest of them waits
	wait      fading        // learned wait for a start, seconds
	pace      float64       // learned run time per hinted second; 0 while unknown
	sent      fading        // hinted slot-seconds it took lately
	cold      float64       // unspent budget while it is cold, hinted slot-seconds
	coldAt    time.Duration // when that was reckoned
	free      float64       // free slots by the last report, less what was sent since
	freeAt    time.Duration
	backlog   float64       // jobs that wait there by the last report
	toldAt    time.Duration // when that came
	probedAt  time.Duration
	others    float64         // jobs of others there by the last report, or by a live weight
	othersAt  time.Duration   // when that came
	idle      []time.Duration // since when its open connections are unused, the oldest first
	doubt     *request        // late, not started: its connection may be dead
	full      time.Duration   // turned work away: full until then
	heard     time.Duration   // when it last showed liveness
	fail      fading          // recent failures, 0 to 1
	unusable  int             // jobs in a row that it called unusable
	refusals  map[*Class]*refusal
	suspect   bool
	backoff   time.Duration
	retryAt   time.Duration // when a suspect may be tried again
	suspended bool          // it gets nothing for now
	toldStart time.Duration // by the list; LastStart is the time that it counts as started
}

// zone is what a dispatcher knows of the workers of one zone together.
type zone struct {
	failed int           // connects that failed there since one of them was heard of
	since  time.Duration // when the first of them did
	tried  time.Duration // when the last of them did, or a later job was sent there
}

// refusal is what a worker does with the jobs of one class.
type refusal struct {
	taken   time.Duration // when the last one was sent that it started
	n       int           // how many it has turned away since
	from    time.Duration // when the first of them was
	backoff time.Duration
	until   time.Duration // it gets none of the class until then
}

// attempt is one send of a request to a worker.
type attempt struct {
	w                    *worker
	sent, started, heard time.Duration
	done, neverRan       bool
	mute                 bool          // its connection looks dead: nobody waits for its start any more
	idle                 time.Duration // how long its connection may have been unused, where no wait was foreseen
}

// request is one client's request until it is answered and all its attempts have ended.
type request struct {
	id            uint64
	class         *Class
	slots         float64
	work          float64 // hinted run time in seconds, or the recent mean of its class
	mean          float64 // that mean
	value         float64
	cost, hold    float64
	aim, deadline time.Duration
	turn          *turn         // where requests with its key run in turn
	home          uint64        // hash of its key, 0 for none
	notBefore     time.Duration // the next attempt is held until then
	attempts      []attempt
	out           int // attempts outstanding
	queued, late  bool
	counted       bool // as bad already
	ended         bool
}

// turn is a key whose requests run one at a time: those not over, in the order in which they came.
type turn struct {
	key      string
	requests []*request
	rested   time.Duration // until when the key rests
}

// Machine decides for one dispatcher. It is not safe for concurrent use.
type Machine struct {
	suspended int // workers that get nothing for now
	s         Settings
	rng       *rand.Rand
	now       time.Duration
	actions   []Action
	horizon   time.Duration // span of the recent mix
	beat      time.Duration // interval of the sweep
	beating   bool

	workers   map[string]*worker
	fleet     []*worker      // the workers
	pool      []*worker      // those that are warm, to draw from
	near      []*worker      // those of the own zone that are warm, to draw from
	fresh     []*worker      // those that are cold
	freshNext int            // where the next pick begins to draw them
	lists     uint64         // complete lists so far
	ring      []*worker      // all by a hash of their name, the same at every dispatcher, but for
	unringed  []*worker      // those that have come or gone since it was last used
	homes     []*worker      // scratch
	homesFrom int            // how many of a key's homes are looked at first
	own       int            // the first so many to draw make up the own set
	running   int            // those that run
	suspects  int            // those of them that are suspects
	open      map[*Class]int // those of them that may run the class
	zones     map[int]*zone
	heard     time.Duration // when any worker last showed liveness
	requests  map[uint64]*request
	live      []*request     // unanswered, by arrival
	queue     []*request     // waiting, highest value per cost first
	misses    map[*Class]int // jobs of a class that did not fit in one drain
	turns     map[string]*turn
	resting   []*turn         // keys that rest, the first to end first
	taken     []time.Duration // when requests came, and when attempts beyond their first were made,
	extra     []time.Duration // in the last ExtraWindow

	inflight  float64 // slots leased
	stuck     float64 // those of them that suspects hold
	perSlot   float64 // learned in-flight ceiling, slots per ready worker
	perRate   float64 // learned bucket rate, slot-seconds a second per ready worker
	bucket    float64 // slot-seconds left
	bucketAt  time.Duration
	bad       float64 // recent share of bad outcomes
	cutAt     time.Duration
	roundTrip float64       // recent mean latency, seconds
	meanWait  float64       // recent mean wait for a start, seconds
	idleSafe  time.Duration // those unused for longer may be dead
	lostAt    time.Duration // when one seemed dead last

	mix            []point
	priceC, priceK float64
	solveAt        time.Duration
	classWork      []float64       // recent mean run time by class, as hinted or, without hints, as learned
	runs           []float64       // jobs without a hint that it was learned from, by class
	met            []uint64        // keys of the latest jobs, hashed
	fullLeft       []time.Duration // longest time left of an arrival, by class: that of a first try
	kindPace       map[int]float64
	nominal        map[int]float64 // the largest weight of a kind
	tenants        []tenant
	probeNext      int
	shares         map[int]float64 // warmShare by kind
	sharesAt       time.Duration   // when they were looked at last; 0: they are unknown
	sharePass      sharePass       // looks at a large fleet, a part at a time
	listBackoff    time.Duration
}

// tenant tracks one tenant's own traffic against its quota.
type tenant struct {
	level    float64 // arrivals left inside the quota
	at       time.Duration
	arrivals fading
}

// point is a group of like jobs of the recent mix.
type point struct {
	key                  pointKey
	n, value, cost, hold fading
}

// pointKey tells which jobs are alike: sizes are rounded to powers of two and four.
type pointKey struct {
	class       int
	over        bool
	slots, work int
}

// fading is a sum in which the past fades exponentially.
type fading struct {
	sum float64
	at  time.Duration
}

func (f *fading) get(now, span time.Duration) float64 {
	return f.sum * math.Exp(-(now-f.at).Seconds()/span.Seconds())
}

func (f *fading) add(now, span time.Duration, x float64) {
	f.sum, f.at = f.get(now, span)+x, now
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// New returns a dispatcher that knows no worker yet.
func New(s Settings, seed uint64) (*Machine, error) {
	if err := s.normalize(); err != nil {
		return nil, err
	}
	d := &Machine{
		s: s, rng: rand.New(rand.NewPCG(seed, 0)),
		workers: map[string]*worker{}, zones: map[int]*zone{}, open: map[*Class]int{},
		kindPace: map[int]float64{}, nominal: map[int]float64{},
		requests: map[uint64]*request{}, misses: map[*Class]int{}, turns: map[string]*turn{},
		classWork: make([]float64, len(s.Classes)), fullLeft: make([]time.Duration, len(s.Classes)),
		runs:    make([]float64, len(s.Classes)),
		tenants: make([]tenant, len(s.TenantQuotas)),
	}
	d.begin()
	return d, nil
}

func (d *Machine) act(a Action) { d.actions = append(d.actions, a) }

func (d *Machine) log(format string, args ...any) {
	d.act(Action{Kind: Log, Text: fmt.Sprintf(format, args...)})
}

// attempt finds the attempt of an event, if it is still out.
func (d *Machine) attempt(ev Event) (*request, *attempt) {
	r := d.requests[ev.Request]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || r.attempts[ev.Attempt].done {
		return nil, nil
	}
	return r, &r.attempts[ev.Attempt]
}

// beatInterval is the interval of the sweep, by the shortest aim.
func (d *Machine) beatInterval() time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for i := range d.s.Classes {
		c := &d.s.Classes[i]
		shortest = min(shortest, max(c.LatencyObjective, c.Deadline/50))
	}
	return max(shortest/2, d.s.Tick)
}

// reconfigure takes over the settings that may change while running. Classes keep their addresses: open requests,
// refusals and counts refer to them. Of what is derived from settings only the interval of the sweep depends on these,
// and follows with the next sweep; the horizon depends on deadlines alone, and what was learned stays.
func (d *Machine) reconfigure(s *Settings) {
	if s == nil || len(s.Classes) != len(d.s.Classes) || len(s.TenantQuotas) != len(d.s.TenantQuotas) {
		d.log("settings refused: the number of classes or tenants differs")
		return
	}
	next := *s
	if err := next.normalize(); err != nil {
		d.log("settings refused: %v", err)
		return
	}
	for i := range d.s.Classes {
		c, to := &d.s.Classes[i], &next.Classes[i]
		c.PriorityWeight, c.LateWeight, c.LatencyObjective, c.ObjectiveStretch = to.PriorityWeight, to.LateWeight, to.LatencyObjective, to.ObjectiveStretch
	}
	d.s.TenantQuotas = slices.Clone(next.TenantQuotas)
	d.s.OverQuotaWeight, d.s.MaxRetryAfter = next.OverQuotaWeight, next.MaxRetryAfter
	d.beat = d.beatInterval()
}

func (d *Machine) startBeat() {
	if !d.beating {
		d.beating = true
		d.act(Action{Kind: SetTimer, Timer: beatTimer, Delay: d.beat})
	}
}

// observe counts a first try into the recent mix, merged with its like. The number of points is bounded,
// since solving for prices takes its cube: beyond it a job joins the point nearest in size of its class.
func (d *Machine) observe(r *request, key pointKey) {
	const mostPoints = 48
	best, distance := -1, math.MaxInt
	for i := range d.mix {
		k := d.mix[i].key
		off := abs(k.slots-key.slots) + abs(k.work-key.work)
		if k.class == key.class && k.over == key.over && off < distance {
			best, distance = i, off
		}
	}
	if best < 0 || distance > 0 && len(d.mix) < mostPoints {
		best = len(d.mix)
		d.mix = append(d.mix, point{key: key})
	}
	p := &d.mix[best]
	p.n.add(d.now, d.horizon, 1)
	p.value.add(d.now, d.horizon, r.value)
	p.cost.add(d.now, d.horizon, r.cost)
	p.hold.add(d.now, d.horizon, r.hold)
}

func abs(x int) int { return max(x, -x) }

// holds tells whether two workers discard each other's repeats.
func (g DedupScope) holds(a, b *worker) bool {
	return g == DedupEverywhere || a.Zone == b.Zone && (g == DedupWithinZone || a.Cell == b.Cell)
}

func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.neverRan })
}

// started tells whether an attempt that is out has told its start.
func (r *request) started() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.done && a.started > 0 })
}

// unstarted returns the attempt of a request that has one out which has not told its start.
func (r *request) unstarted() *attempt {
	for i := range r.attempts {
		if a := &r.attempts[i]; r.out == 1 && !a.done && a.started == 0 {
			return a
		}
	}
	return nil
}

// sent books an attempt at w and asks for it.
func (d *Machine) sent(r *request, w *worker) {
	w.sent.add(d.now, d.horizon, r.cost)
	charge := r.charge()
	w.cold -= charge
	if d.warmth(w) >= 1 {
		charge = 0
	}
	w.out += r.slots
	if w.suspect {
		d.stuck += r.slots
	}
	w.free -= r.slots
	d.zone(w.Zone).tried = d.now
	a := attempt{w: w, sent: d.now, heard: d.now}
	if n := len(w.idle); n > 0 {
		if d.startWait(w) <= d.beat.Seconds() && w.others <= 0 && w.unstarted == 0 {
			a.idle = d.now - w.idle[n-1]
		}
		w.idle = w.idle[:n-1]
	}
	if w.unstarted == 0 {
		w.waitFrom = d.now
	}
	w.unstarted++
	if len(r.attempts) > 0 && d.s.RetryBudgetWindow > 0 {
		d.extra = append(d.extra, d.now)
	}
	r.attempts = append(r.attempts, a)
	r.out++
	d.act(Action{Kind: Assign, Request: r.id, Worker: w.Name, Reservation: charge})
}

// charged books what the dispatcher's other process sent a cold worker: the budget is one for both.
func (d *Machine) charged(w *worker, charge float64) {
	if w != nil && charge > 0 {
		w.cold -= charge
		w.sent.add(d.now, d.horizon, 0) // it has had its first job
	}
}

// refusal finds what a worker does with jobs of a class.
func (w *worker) refusal(c *Class) *refusal {
	if w.refusals[c] == nil {
		if w.refusals == nil {
			w.refusals = map[*Class]*refusal{}
		}
		w.refusals[c] = &refusal{}
	}
	return w.refusals[c]
}

// taken books that the worker has taken a job of a class.
func (a *attempt) taken(c *Class) {
	if t := a.w.refusal(c); a.sent > t.taken {
		*t = refusal{taken: a.sent}
	}
}

// takesOthers tells whether the worker has taken jobs of other classes sent after a moment.
func (w *worker) takesOthers(c *Class, after time.Duration) bool {
	for other, t := range w.refusals {
		if other != c && t.taken > after {
			return true
		}
	}
	return false
}

// closeIdle asks for the idle connections to a worker to be closed.
func (d *Machine) closeIdle(w *worker) {
	w.idle = w.idle[:0]
	d.act(Action{Kind: CloseIdle, Worker: w.Name})
}

// inDoubt books that a job may have been lost on a connection, so that its worker gets another on a new one.
func (d *Machine) inDoubt(r *request, a *attempt) {
	d.left(a.w)
	a.w.doubt = r
	d.closeIdle(a.w)
}

// unblock books that an attempt's start is waited for no more, so that its worker gets others.
func (d *Machine) unblock(r *request, a *attempt) {
	if a.w.doubt != r { // else that is booked
		d.left(a.w)
	}
	d.closeIdle(a.w)
}

// overtaken returns the job in doubt at a worker, if a later one of another request has started before it.
func (d *Machine) overtaken(r *request, a *attempt) (*request, *attempt) {
	q := a.w.doubt
	if q == nil || q == r {
		return nil, nil
	}
	a.w.doubt = nil
	if lost := q.unstarted(); lost != nil && lost.w == a.w && lost.sent < a.sent && !q.ended {
		return q, lost
	}
	return nil, nil
}

// started books an attempt's start, once, and how long it waited for it.
func (d *Machine) started(class *Class, a *attempt) {
	if a.started > 0 {
		return
	}
	a.started = d.now
	a.taken(class)
	if d.s.StartNotices {
		d.meanWait += ((d.now - a.sent).Seconds() - d.meanWait) / (fewJobs / 2)
		a.w.wait = fading{(d.startWait(a.w) + (d.now - a.sent).Seconds()) / 2, d.now}
	}
	if !a.mute {
		d.left(a.w)
	}
}

// learnPace books how long a worker took for a hinted second, of its own and for its kind.
func (d *Machine) learnPace(w *worker, pace float64) {
	pace = min(max(pace*d.warmth(w), 1.0/32), 32)
	old := cmp.Or(w.pace, pace)
	w.pace = old + (pace-old)/5
	kind := cmp.Or(d.kindPace[w.Kind], pace)
	d.kindPace[w.Kind] = kind + (pace-kind)/fewJobs
}

// learnMean books how long a job without a hint ran: the mean of its class stands for the hints that do not
// come. What its worker took is corrected from the guess to that: cold workers' budgets come from it, and a
// guess far above the mean that is learned since would grant them many times the jobs that warm ones take.
func (d *Machine) learnMean(r *request, a *attempt) {
	run := (d.now - max(a.sent, a.started)).Seconds() * d.warmth(a.w)
	correction := fading{r.slots*run - r.cost, a.sent}
	a.w.sent.add(d.now, d.horizon, correction.get(d.now, d.horizon))
	for i := range d.s.Classes {
		if &d.s.Classes[i] == r.class {
			d.runs[i]++ // the first guess counts as one of them
			d.classWork[i] += (run - d.classWork[i]) / min(d.runs[i]+1, fewJobs)
		}
	}
}

// meet books that a job concerns a key, and tells the key's hash, 0 for none, and whether it was met among the
// latest jobs: so many that a key met twice has about as large a part of all work as its homes can carry.
func (d *Machine) meet(key string) (h uint64, met bool) {
	if key == "" {
		return 0, false
	}
	h = hash(key)
	met = slices.Contains(d.met, h)
	d.met = append(d.met, h)
	if over := len(d.met) - max(len(d.fleet)/mostHomes, 1); over > 0 {
		d.met = slices.Delete(d.met, 0, over)
	}
	return h, met
}

// left books that one attempt fewer waits for its start.
func (d *Machine) left(w *worker) {
	w.unstarted = max(w.unstarted-1, 0)
	w.waitFrom = d.now
}

// returned books the end of an attempt, and gives back its lease and, after an answer, its connection.
func (d *Machine) returned(r *request, a *attempt, o AttemptOutcome) {
	if o == Completed || o == Failed || o == Saturated || o == InvalidRequest {
		a.w.idle = append(a.w.idle, d.now)
	}
	if a.started == 0 && !a.mute {
		d.left(a.w)
	}
	if o == Completed && r.hold == 0 && d.s.StartNotices {
		d.learnMean(r, a)
	}
	a.done = true
	r.out--
	a.w.out -= r.slots
	a.w.free += r.slots
	d.inflight = max(d.inflight-r.slots, 0)
	if a.w.suspect {
		d.stuck -= r.slots
	}
}

// roster applies a list to the workers known. A worker that has started anew keeps only what is
// outstanding there: all that was learned is about its old process. Changes take work that goes with their number.
func (d *Machine) roster(ev Event) {
	complete := ev.ListKind != ListDelta
	if complete {
		d.lists++
		d.sharesAt = 0
	}
	if d.s.LoadAdjustedWeights {
		for _, e := range ev.Endpoints {
			d.nominal[e.Kind] = max(d.nominal[e.Kind], e.Weight)
		}
	}
	for _, e := range ev.Endpoints {
		d.update(e, !complete)
	}
	for _, e := range ev.Endpoints { // only now: a list may name a worker twice, and its last word counts
		if w := d.workers[e.Name]; w != nil && w.State == Removed {
			d.remove(w)
		}
	}
	for i := len(d.fleet) - 1; complete && i >= 0; i-- { // what a complete list lacks is gone
		if w := d.fleet[i]; w.listed != d.lists {
			d.remove(w)
		}
	}
}

// update takes in what a list says of one worker.
func (d *Machine) update(e Endpoint, news bool) {
	w, told := d.workers[e.Name], e.StartedAt
	switch {
	case w == nil && e.State == Removed:
		return
	case w == nil:
		w = &worker{coldAt: d.now, hash: hash(e.Name)}
		e.StartedAt = d.startTime(told, news)
		d.workers[e.Name] = w
		d.fleet = insert(d.fleet, inFleet, w)
		d.ringChanged(w)
		d.reached(e.Zone)
	case told > w.toldStart:
		d.setSuspect(w, false)
		d.count(w, -1)
		d.reached(e.Zone) // a zone where workers start is there
		*w = worker{Endpoint: w.Endpoint, place: w.place, hash: w.hash, out: w.out, unstarted: w.unstarted,
			waitFrom: d.now, coldAt: d.now, suspended: w.suspended}
		e.StartedAt = d.startTime(told, news)
	default:
		d.count(w, -1)
		if told == w.toldStart {
			e.StartedAt = w.StartedAt
		}
	}
	w.Endpoint, w.listed, w.toldStart = e, d.lists, told
	d.count(w, 1)
	d.enlist(w)
	if d.s.LoadAdjustedWeights && e.Weight > 0 {
		w.others, w.othersAt = d.nominal[e.Kind]/e.Weight-1, d.now
	}
}

// enlist puts a worker into the lists to draw from that it belongs to: a cold one into that of the cold ones alone.
func (d *Machine) enlist(w *worker) {
	cold := d.warmth(w) < 1
	d.fresh = d.member(d.fresh, inFresh, w, cold)
	d.pool = d.member(d.pool, inPool, w, !cold)
	d.near = d.member(d.near, inNear, w, !cold && w.Zone == d.s.Zone)
}

// member makes a worker a member of a list, at a random place, or none.
func (d *Machine) member(list []*worker, id listID, w *worker, in bool) []*worker {
	if !in {
		return remove(list, id, w)
	}
	if w.place[id] == 0 {
		list = d.shuffled(list, id, w)
	}
	return list
}

// nextFresh returns the cold workers that the next pick may draw: so many, in turn with all the others.
func (d *Machine) nextFresh() []*worker {
	if d.freshNext >= len(d.fresh) {
		d.freshNext = 0
	}
	from := d.freshNext
	d.freshNext = min(from+coldDraws, len(d.fresh))
	return d.fresh[from:d.freshNext]
}

// remove forgets a worker that is gone. Attempts there go on.
func (d *Machine) remove(w *worker) {
	d.suspend([]Endpoint{w.Endpoint}, false)
	d.count(w, -1)
	w.State = Removed
	delete(d.workers, w.Name)
	d.fleet, d.pool = remove(d.fleet, inFleet, w), remove(d.pool, inPool, w)
	d.near, d.fresh = remove(d.near, inNear, w), remove(d.fresh, inFresh, w)
	d.ringChanged(w)
}

// count books a worker that has come, or that goes, among those that run.
func (d *Machine) count(w *worker, sign int) {
	if w.State != Running {
		return
	}
	d.running += sign
	if w.suspect {
		d.suspects += sign
	}
	for i := range d.s.Classes {
		c := &d.s.Classes[i]
		if !c.mayRunOn(w) {
			continue
		}
		if d.open[c] += sign; d.open[c] == 0 {
			delete(d.open, c)
		}
	}
}

// listID names a list of workers. Each worker knows its place there, from 1 on, so that one leaves without a walk.
type listID int

const (
	inFleet listID = iota
	inPool
	inNear
	inFresh
	inHomes // a list made for one use: the places are not kept
	listCount
)

// insert adds a worker at the end of a list.
func insert(list []*worker, id listID, w *worker) []*worker {
	list = append(list, w)
	w.place[id] = len(list)
	return list
}

// remove takes a worker out of a list, if it is there. The last one takes its place.
func remove(list []*worker, id listID, w *worker) []*worker {
	i, last := w.place[id]-1, len(list)-1
	if i < 0 {
		return list
	}
	swap(list, id, i, last)
	w.place[id] = 0
	list[last] = nil
	return list[:last]
}

// swap exchanges two workers of a list, or of a part of one.
func swap(list []*worker, id listID, i, j int) {
	a, b := list[i], list[j]
	list[i], list[j] = b, a
	a.place[id], b.place[id] = b.place[id], a.place[id]
}

// hash is the FNV-1a hash of a name, never 0, its bits mixed once more: names often differ in their end only.
func hash(name string) uint64 {
	f := fnv.New64a()
	f.Write([]byte(name))
	h := f.Sum64()
	h = (h ^ h>>32) * 0x9e3779b97f4a7c15
	return h ^ h>>29 | 1
}

// byHash orders the ring.
func byHash(a, b *worker) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.Name, b.Name))
}

// ringChanged books that a worker has come or gone. Where that is so of many, the ring is built anew at its next use.
func (d *Machine) ringChanged(w *worker) {
	const many = 16 // part of the ring
	if d.unringed = append(d.unringed, w); len(d.unringed) > len(d.ring)/many {
		d.ring, d.unringed = nil, nil
	}
}

// updateRing puts those on the ring that have come since its last use, and takes those off that have gone.
func (d *Machine) updateRing() {
	if len(d.ring) == 0 {
		d.ring = slices.SortedFunc(slices.Values(d.fleet), byHash)
	}
	for _, w := range d.unringed {
		at, found := slices.BinarySearchFunc(d.ring, w, byHash)
		switch {
		case w.State != Removed && !found:
			d.ring = slices.Insert(d.ring, at, w)
		case w.State != Removed:
			d.ring[at] = w
		case found && d.ring[at] == w:
			d.ring = slices.Delete(d.ring, at, at+1)
		}
	}
	d.unringed = d.unringed[:0]
}

// homesOf returns the n workers that follow a key on the ring.
func (d *Machine) homesOf(key uint64, n int) []*worker {
	d.updateRing()
	at, _ := slices.BinarySearchFunc(d.ring, key, func(w *worker, k uint64) int { return cmp.Compare(w.hash, k) })
	d.homes = d.homes[:0]
	for i := range min(n, len(d.ring)) {
		d.homes = append(d.homes, d.ring[(at+i)%len(d.ring)])
	}
	return d.homes
}

// shuffled adds a worker to a list in random order, at a random place.
func (d *Machine) shuffled(list []*worker, id listID, w *worker) []*worker {
	list = insert(list, id, w)
	swap(list, id, d.rng.IntN(len(list)), len(list)-1)
	return list
}

// setSuspect books a verdict, if it is a new one.
func (d *Machine) setSuspect(w *worker, bad bool) {
	if bad == w.suspect {
		return
	}
	sign := 1
	if !bad {
		sign = -1
	}
	d.stuck += float64(sign) * w.out
	if w.State == Running {
		d.suspects += sign
	}
	w.suspect, w.backoff = bad, 0
}

// zone finds what is known of a zone.
func (d *Machine) zone(n int) *zone {
	if d.zones[n] == nil {
		d.zones[n] = &zone{}
	}
	return d.zones[n]
}

// heardOf books that a worker's zone shows liveness, and returns the time.
func (d *Machine) heardOf(w *worker) time.Duration {
	d.heard = d.now
	d.reached(w.Zone)
	return d.now
}

// reached books that a zone is there.
func (d *Machine) reached(n int) {
	z := d.zone(n)
	if z.failed >= zoneLost {
		d.log("zone %s is there again", d.zoneName(n))
	}
	z.failed = 0
}

// zoneName is what the settings call a zone, else its number.
func (d *Machine) zoneName(n int) string {
	if n >= 0 && n < len(d.s.ZoneNames) {
		return d.s.ZoneNames[n]
	}
	return strconv.Itoa(n)
}

// unreachable books that no connection to a worker came up.
func (d *Machine) unreachable(w *worker) {
	z := d.zone(w.Zone)
	if z.failed++; z.failed == 1 {
		z.since = d.now
	} else if z.failed == zoneLost {
		d.log("zone %s looks lost: %d connects failed in a row", d.zoneName(w.Zone), z.failed)
	}
	z.tried = d.now
}

// enqueue lets a request wait, in the order of byDensity.
func (d *Machine) enqueue(r *request) {
	at, _ := slices.BinarySearchFunc(d.queue, r, byDensity)
	d.queue = slices.Insert(d.queue, at, r)
	r.queued = true
}

// held is the number of slots leased that count. Those that suspects hold do not: the ceiling is that of the
// other workers, whom jobs stuck elsewhere must not starve.
func (d *Machine) held() float64 {
	if d.trustAll() {
		return d.inflight
	}
	return d.inflight - d.stuck
}

// ready is the number of ready workers, at least one: those that run, less the suspects unless all are trusted.
func (d *Machine) ready() float64 {
	if d.trustAll() {
		return float64(max(d.running, 1))
	}
	return float64(max(d.running-d.suspects, 1))
}

// depth is what the bucket holds when full: the slot-seconds that its rate gives in a horizon.
func (d *Machine) depth() float64 { return d.perRate * d.ready() * d.horizon.Seconds() }

// meanTrip is the recent mean round trip in seconds, never less than a tick.
func (d *Machine) meanTrip() float64 { return max(d.roundTrip, d.s.Tick.Seconds()) }

// share is the part of the running workers that may run jobs of the class.
func (d *Machine) share(c *Class) float64 {
	return float64(d.open[c]) / float64(max(d.running, 1))
}

// warmth is the share of its capacity that a worker surely has.
func (d *Machine) warmth(w *worker) float64 {
	age := max(d.now-w.StartedAt, 0)
	if w.StartedAt <= 0 || age >= d.s.SlowStartDuration {
		return 1
	}
	return d.s.SlowStartFloor + (1-d.s.SlowStartFloor)*age.Seconds()/d.s.SlowStartDuration.Seconds()
}

// dropWarm keeps the list of cold workers to those that still are, and lets the others be drawn with the warm ones.
func (d *Machine) dropWarm() {
	for i := len(d.fresh) - 1; i >= 0; i-- {
		if w := d.fresh[i]; d.warmth(w) >= 1 {
			d.enlist(w)
		}
	}
}

// warmShare is the work a second that a warm worker of the kind takes from this dispatcher: the mean of
// its kind, or the least of all where no warm one of its kind is known. It is computed once a beat, of a
// large fleet a part: a walk over all of it at each beat would cost what the fleet does.
func (d *Machine) warmShare(kind int) float64 {
	if d.sharesAt == 0 || d.now-d.sharesAt >= d.beat {
		whole := d.sharesAt == 0
		d.sharesAt = d.now
		d.computeShares(whole)
	}
	if share, ok := d.shares[kind]; ok {
		return share
	}
	return d.shares[leastOfAll]
}

const (
	leastOfAll = -1   // the key of the least share; no kind has this number
	shareSteps = 2048 // workers that one beat looks at
)

// sharePass is a walk over the fleet that computes the shares, over some beats.
type sharePass struct {
	next   int             // the worker to go on with
	count  map[int]float64 // warm workers so far, by kind
	shares map[int]float64 // their shares
}

// computeShares goes on with the walk over the fleet, to its end if whole, and takes the shares over there.
func (d *Machine) computeShares(whole bool) {
	pass := &d.sharePass
	if whole || pass.count == nil || pass.next > len(d.fleet) {
		*pass = sharePass{count: map[int]float64{}, shares: map[int]float64{}}
	}
	end := len(d.fleet)
	if !whole {
		end = min(end, pass.next+shareSteps)
	}
	for _, w := range d.fleet[pass.next:end] {
		d.addShare(pass, w)
	}
	if pass.next = end; end == len(d.fleet) {
		d.shares = pass.shares
		*pass = sharePass{}
	}
}

// addShare takes a worker into the shares, if it is warm.
func (d *Machine) addShare(pass *sharePass, w *worker) {
	if w.State != Running || d.warmth(w) < 1 {
		return
	}
	rate := w.sent.get(d.now, d.horizon) / d.horizon.Seconds()
	pass.count[w.Kind]++
	pass.shares[w.Kind] += (rate - pass.shares[w.Kind]) / pass.count[w.Kind]
	if least, ok := pass.shares[leastOfAll]; !ok || rate < least {
		pass.shares[leastOfAll] = rate
	}
}

// probe asks workers of the own set in turn for their load; of the cold ones, where none is warm.
func (d *Machine) probe() {
	from := d.pool
	if len(from) == 0 {
		from = d.fresh
	}
	for i := 0; i < min(probes, len(from)) && d.s.HealthChecks && d.s.LoadByHealthCheck; i++ {
		d.probeNext++
		d.act(Action{Kind: CheckHealth, Worker: from[d.probeNext%min(d.own, len(from))].Name})
	}
}

// report keeps what a worker told of its load, if it told anything.
func (d *Machine) report(ev Event) {
	w, l := d.workers[ev.Worker], ev.Load
	if w == nil {
		return
	}
	if l.HasFreeSlots {
		w.free, w.freeAt = l.FreeSlots, d.now
	}
	if l.HasBacklog {
		w.backlog, w.toldAt = l.Backlog, d.now
	}
	if l.HasOutstanding {
		w.others, w.othersAt = max(l.Outstanding-w.out, 0), d.now
	} else if l.HasBacklog {
		w.others, w.othersAt = max(l.Backlog, 0), d.now
	}
}

// bid is the total value, cost and hold of a group of like jobs.
type bid struct{ value, cost, hold float64 }

// recentMix returns the recent mix as bids, and how many jobs are in it. It drops what has faded away.
func (d *Machine) recentMix() (bids []bid, jobs float64) {
	const faded = 0.01 // of a job
	d.mix = slices.DeleteFunc(d.mix, func(p point) bool { return p.n.get(d.now, d.horizon) < faded })
	for i := range d.mix {
		p := &d.mix[i]
		jobs += p.n.get(d.now, d.horizon)
		bids = append(bids, bid{
			value: p.value.get(d.now, d.horizon),
			cost:  p.cost.get(d.now, d.horizon),
			hold:  p.hold.get(d.now, d.horizon),
		})
	}
	return bids, jobs
}

// tenantTraffic is the rate of all tenants' arrivals here, and of their quotas over all dispatchers.
func (d *Machine) tenantTraffic() (arrivals, quotas float64) {
	for i := range d.tenants {
		arrivals += d.tenants[i].arrivals.get(d.now, d.horizon) / d.horizon.Seconds()
		quotas += d.s.TenantQuotas[i]
	}
	return arrivals, quotas
}

// forget drops a request that has ended once none of its attempts is out.
func (d *Machine) forget(r *request) {
	if !r.ended || r.out > 0 {
		return
	}
	delete(d.requests, r.id)
	if t := r.turn; t != nil {
		t.requests = slices.DeleteFunc(t.requests, func(q *request) bool { return q == r })
		d.dropTurn(t)
	}
}

// lineUp puts a request last among those of its key.
func (d *Machine) lineUp(r *request, key string) {
	t := d.turns[key]
	if t == nil {
		t = &turn{key: key}
		d.turns[key] = t
	}
	r.turn = t
	t.requests = append(t.requests, r)
}

// rest books that a key rests from now on.
func (d *Machine) rest(t *turn, span time.Duration) {
	t.rested = d.now + span
	d.resting = append(d.resting, t)
	d.act(Action{Kind: SetTimer, Timer: restTimer, Delay: span})
}

// wake forgets the keys that have rested and are idle.
func (d *Machine) wake() {
	for len(d.resting) > 0 && d.now >= d.resting[0].rested {
		d.dropTurn(d.resting[0])
		d.resting = d.resting[1:]
	}
}

// dropTurn forgets a key that is idle and rested.
func (d *Machine) dropTurn(t *turn) {
	if len(t.requests) == 0 && d.now >= t.rested && d.turns[t.key] == t {
		delete(d.turns, t.key)
	}
}

// countTaken books a request for the budget of further attempts, whatever becomes of it.
func (d *Machine) countTaken() {
	if d.s.RetryBudgetWindow > 0 {
		d.taken = append(since(d.taken, d.now-d.s.RetryBudgetWindow), d.now)
	}
}

// since drops the times before from.
func since(times []time.Duration, from time.Duration) []time.Duration {
	i, _ := slices.BinarySearch(times, from)
	return times[i:]
}
