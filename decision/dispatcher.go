package decision

// The decisions of a dispatcher. Its interface is in api.go, its state in state.go; why: docs/design.md.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const ( // ratios and counts; all times derive from the settings
	beatTimer   = uint64(1) << 62 // timer of the sweep; a request's own timer is its id
	listTimer   = beatTimer + 1   // timer that renews the subscription
	restTimer   = beatTimer + 2   // timer of a key that has rested, to look at the queue
	startSlots  = 8.0             // slots a worker that all dispatchers start with together
	floorShare  = 0.25            // share of them below which no ceiling is cut
	raiseStep   = 0.4             // slots that a served slot adds to its ceiling when none fail
	leaseRoom   = 3.0             // slots of room above the ceiling, for the spread of a small stream
	badSpan     = 16              // outcomes over which the share of bad ones is taken
	crowded     = 0.25            // share of bad outcomes from which late jobs make way
	fewJobs     = 20              // below so many recent jobs nothing is priced; also the span of means
	passOver    = 8               // waiting jobs of a class that may be passed over when they do not fit
	nearBias    = 4               // how much of a job's time a point of cross-zone price weighs
	homeBias    = 4               // and a point of the price of a fetch
	homeShare   = 0.1             // and a fetch without a price: its time is part of the job's
	zoneLost    = 2               // failed connects in a row from which a zone looks lost
	suspectFrom = 0.4             // failure score that ejects a worker
	strangeness = 4               // mean waits that one may have where nothing has been heard of it lately
	ownJobs     = 2               // jobs that a worker of the own set gets in a horizon
	leastOwn    = 4               // workers in the own set at the least
	mostDraws   = 32              // warm workers looked at for one pick
	coldDraws   = 4 * mostDraws   // and cold ones, which have room seldom
	leastHomes  = 2               // homes of a key at first, where a fetch has a price
	mostHomes   = 8               // and at the most, or without a price at once
	probes      = 2               // workers probed for each arrival
	coldSafety  = 0.4             // share of the cold budget used: saved, new and half of one make all
	hintDoubt   = 0.25            // how far a job with a small hint may lie towards the mean of its class
	oddJobs     = 4               // jobs in a row that a worker calls unusable and is believed
	herdFrom    = 8               // dispatchers that may call for the list without a spread
	herdPart    = 0.008           // of the time allowed without asking that each further one adds to it
	mostSpread  = 0.25            // of it at the most: three calls that fail, each in its time, are no breach
	coldGrain   = 0.31            // largest job for a cold worker, as a share of the used budget of all
	coldSaved   = 2               // fall windows for which a cold budget may be saved
)

// begin derives the times from the settings and starts permissive.
func (d *Machine) begin() {
	longest := time.Duration(0)
	for i, c := range d.s.Classes {
		longest = max(longest, c.Deadline)
		d.classWork[i] = max(c.LatencyObjective, d.s.Tick).Seconds()
	}
	d.horizon, d.beat = max(longest/4, d.s.Tick), d.beatInterval()
	d.bucket, d.perSlot, d.own = math.Inf(1), startSlots/float64(d.s.Peers), 2*leastOwn
	d.perRate, d.idleSafe = d.perSlot, cmp.Or(d.s.ConnectionIdleTimeout, math.MaxInt64/2)
	if d.homesFrom = mostHomes; d.s.CacheMissCost > 0 {
		d.homesFrom = leastHomes
	}
}

// Handle takes in what happened at time now and appends what must be done to out.
func (d *Machine) Handle(now time.Duration, ev Event, out []Action) []Action {
	d.now, d.actions = max(d.now, now), out
	switch ev.Kind {
	case ListUpdated:
		d.list(ev)
	case RequestArrived:
		d.arrive(ev)
	case AttemptEnded:
		d.response(ev)
	case AttemptStarted, AttemptProgressed:
		d.note(ev)
	case HealthChecked:
		d.report(ev)
	case FirstByte, ClientDisconnected: // the client has its answer, or wants none
		if r := d.requests[ev.Request]; r != nil {
			d.end(r)
		}
	case TimerFired:
		d.timer(ev.Timer)
	case ReservedElsewhere:
		d.charged(d.workers[ev.Worker], ev.Reservation)
	case SettingsChanged:
		d.reconfigure(ev.Settings)
	case WorkersSuspended, WorkersResumed:
		d.suspend(ev.Endpoints, ev.Kind == WorkersSuspended)
	}
	d.drain()
	out, d.actions = d.actions, nil
	return out
}

// ---- Admission: the price filter, then lease AND bucket, then the pick.

func (d *Machine) arrive(ev Event) {
	if d.requests[ev.Request] != nil {
		return
	}
	d.countTaken()
	if ev.Class < 0 || ev.Class >= len(d.s.Classes) {
		d.act(Action{Kind: Fail, Request: ev.Request})
		return
	}
	r := &request{id: ev.Request, class: &d.s.Classes[ev.Class], slots: 1}
	d.requests[r.id] = r
	r.deadline = d.now + min(ev.TimeLeft, r.class.Deadline) - 2*d.s.Tick
	if ev.Slots > 0 && ev.Slots < math.MaxInt32 {
		r.slots = ev.Slots
	}
	r.work, r.mean = d.classWork[ev.Class], d.classWork[ev.Class]
	if ev.Work > 0 {
		r.work = max(min(ev.Work, 10*r.class.Deadline), d.s.Tick).Seconds()
		r.hold = r.work
		d.classWork[ev.Class] += (r.work - d.classWork[ev.Class]) / fewJobs
	}
	r.cost, r.value = r.slots*r.work, r.class.PriorityWeight
	if d.s.WeightByWork {
		r.value *= r.work
	}
	// The aim runs from the client's first try: a repeat, or what a stall held, has less time left.
	full := &d.fullLeft[ev.Class]
	*full = max(*full, min(ev.TimeLeft, r.class.Deadline))
	gone := max(*full-ev.TimeLeft, 0)
	if ev.ClientRetry {
		gone = max(r.class.Deadline-ev.TimeLeft, 0)
	}
	ev.ClientRetry = ev.ClientRetry || !d.s.ClientsMarkRetries && gone > d.beat
	over := d.overQuota(ev)
	if over {
		r.value *= d.s.OverQuotaWeight
	}
	r.aim = min(d.now+r.class.LatencyObjective+seconds(r.class.ObjectiveStretch*r.work), r.deadline) - gone
	if !ev.ClientRetry {
		d.observe(r, pointKey{ev.Class, over, int(math.Log2(r.slots)), int(math.Log2(r.work) / 2)})
	}
	if r.deadline <= d.now || d.worthless(r) || !d.worthIts(r) || d.inTheWay(r) {
		d.giveUp(r)
		return
	}
	if home, met := d.meet(ev.Key); d.s.CacheMissCost > 0 || !met && d.suspects == 0 && d.bad < crowded {
		r.home = home
	}
	if r.class.Serialized && ev.Key != "" {
		d.lineUp(r, ev.Key)
	}
	d.act(Action{Kind: SetTimer, Timer: r.id, Delay: r.deadline - d.now})
	d.live = append(d.live, r)
	d.startBeat()
	d.enqueue(r)
	d.probe()
}

// overQuota tells whether an arrival is beyond its tenant's quota: an even part, or that of the traffic here.
func (d *Machine) overQuota(ev Event) bool {
	if ev.Tenant < 0 || ev.Tenant >= len(d.tenants) {
		return false
	}
	t := &d.tenants[ev.Tenant]
	if ev.ClientRetry {
		return t.level < 1 // it was counted at its first try
	}
	t.arrivals.add(d.now, d.horizon, 1)
	arrivals, quotas := d.tenantTraffic()
	part := max(1/float64(d.s.Peers), arrivals/max(quotas, math.SmallestNonzeroFloat32))
	allowed := part * d.s.TenantQuotas[ev.Tenant]
	depth := max(allowed*d.horizon.Seconds()/2, 1)
	if t.at == 0 {
		t.level = depth
	}
	t.level, t.at = min(t.level+allowed*(d.now-t.at).Seconds(), depth), d.now
	if t.level < 1 {
		return true
	}
	t.level--
	return false
}

// worthIts is the price filter. It runs before any debit.
func (d *Machine) worthIts(r *request) bool {
	return r.value >= (d.priceC*r.cost+d.priceK*r.hold)*(1-1e-9)
}

// worthless tells whether an answer earns nothing any more. Given up means answered: no such job is held.
func (d *Machine) worthless(r *request) bool { return d.now >= r.aim && r.class.LateWeight <= 0 }

// byDensity orders the queue: the highest value per cost first, then the nearest aim.
func byDensity(a, b *request) int {
	density := cmp.Compare(b.value/b.cost, a.value/a.cost)
	return cmp.Or(density, cmp.Compare(a.aim, b.aim), cmp.Compare(a.id, b.id))
}

// drain places waiting jobs, the highest value per cost first, and passes over a few of each class in vain.
func (d *Machine) drain() {
	d.wake()
	clear(d.misses)
	d.queue = slices.DeleteFunc(d.queue, func(r *request) bool {
		if !r.ended && (d.now < r.notBefore || d.awaitsTurn(r) || d.misses[r.class] >= passOver) {
			return false
		}
		if !r.ended && !d.affordable(r) { // others have spent the budget meanwhile
			d.giveUp(r)
		}
		if r.queued = !r.ended && !d.place(r); r.queued {
			d.misses[r.class]++
		}
		return !r.queued
	})
}

// ceiling is what may be in flight; the room guards against refusals beside idle workers where it is tiny.
func (d *Machine) ceiling() float64 { return d.perSlot*d.ready() + leaseRoom }

// leaseFree tells whether the in-flight ceiling lets the request in; one is always let in.
func (d *Machine) leaseFree(r *request) bool {
	return d.held() <= 0 || d.held()+r.slots <= d.ceiling()
}

// place ANDs the lease with the bucket and starts an attempt; a deny frees the lease.
func (d *Machine) place(r *request) bool {
	if r.ended || d.awaitsTurn(r) || !d.affordable(r) || !d.leaseFree(r) {
		return false
	}
	d.inflight += r.slots
	rate, depth := d.perRate*d.ready(), d.depth()
	d.bucket, d.bucketAt = min(d.bucket+rate*(d.now-d.bucketAt).Seconds(), depth), d.now
	var w *worker
	if d.bucket >= min(r.cost, depth) {
		w = d.pick(r)
	}
	if w == nil {
		d.inflight -= r.slots
		return false
	}
	d.bucket -= r.cost
	if n := len(w.idle); n > 0 && d.now-w.idle[n-1] > d.idleSafe {
		d.closeIdle(w)
	}
	if w.suspect { // a trial: the next one comes later
		d.backOff(w)
	}
	d.sent(r, w)
	return true
}

// ---- The pick: of two sampled ready workers, the lower expected delay.

func (d *Machine) pick(r *request) *worker {
	// A cold worker with room comes first. Guards against newcomers, in few own sets, idle until warm.
	if w := d.lower(r, d.nextFresh(), inFresh); w != nil {
		return w
	}
	w := d.lower(r, d.pool, inPool)
	left, price := max(r.aim-d.now, 0).Seconds(), max(homeBias*d.s.CacheMissCost, homeShare)
	if n := d.lowerHome(r); n != nil && (w == nil || d.delay(r, n)-d.delay(r, w) < price*left) {
		return n
	}
	if price = nearBias * d.s.CrossZoneCost; price > 0 && (w == nil || w.Zone != d.s.Zone) { // two near
		n := d.lower(r, d.near, inNear)
		if n != nil && (w == nil || d.delay(r, n)-d.delay(r, w) < price*left) {
			return n
		}
	}
	return w
}

// lowerHome samples a key's homes: where a fetch has a price, the next two on a common ring, else more.
func (d *Machine) lowerHome(r *request) (w *worker) {
	for n := d.homesFrom; n <= mostHomes && w == nil && r.home != 0; n *= 2 {
		w = d.lower(r, d.homesOf(r.home, n), inHomes)
	}
	return w
}

// lower draws workers until two are ready and returns the one with the lower expected delay. The own set, the
// head of a random stable order, comes first, lest knowledge of all be old. Draws are bounded for CPU.
func (d *Machine) lower(r *request, from []*worker, id listID) (best *worker) {
	for i, found, drawn := 0, 0, 0; i < len(from) && drawn < mostDraws && found < 2; i++ {
		span := len(from)
		if i < d.own { // the own set first, all others only when it has not two ready
			span = min(span, d.own)
		}
		swap(from, id, i, i+d.rng.IntN(span-i))
		w := from[i]
		weight := 2 // of the cold ones the first with room is taken
		if d.warmth(w) >= 1 {
			drawn, weight = drawn+1, 1
		}
		if !d.allowed(r, w) || d.busy(r, w) || !d.healthy(r, w) || !d.coldRoom(r, w) {
			continue
		}
		if found += weight; best == nil || weight > 1 || d.delay(r, w) < d.delay(r, best) {
			best = w
		}
	}
	return best
}

// delay is outstanding slots, own and others' as told, times learned seconds a slot, and the wait seen there.
// What was told fades, and the mean wait takes its place, lest workers unheard of look the best to all.
func (d *Machine) delay(r *request, w *worker) float64 {
	fade := math.Exp((max(w.wait.at, w.othersAt) - d.now).Seconds() / d.horizon.Seconds())
	return (w.out+w.others*fade+r.slots)*d.runTime(r, w) + d.startWait(w) + strangeness*d.meanWait*(1-fade)
}

func (d *Machine) runTime(r *request, w *worker) float64 {
	return r.work * cmp.Or(w.pace, d.kindPace[w.Kind], 1) / d.warmth(w)
}

// startWait is the wait for a start there: learned, fading, at least the oldest own job's so far.
func (d *Machine) startWait(w *worker) float64 {
	wait := w.wait.get(d.now, d.horizon/4)
	if d.s.StartNotices && w.unstarted > 0 {
		wait = max(wait, (d.now - w.waitFrom).Seconds())
	}
	return wait
}

// mayRunOn tells whether a worker is open to the class, by its kind and zone in the latest list.
func (c *Class) mayRunOn(w *worker) bool {
	return (c.Kinds == nil || slices.Contains(c.Kinds, w.Kind)) &&
		(c.Zones == nil || slices.Contains(c.Zones, w.Zone))
}

// awaitsTurn tells whether an earlier request with its key is not over, or may still run where this has not.
func (d *Machine) awaitsTurn(r *request) bool {
	t := r.turn
	return t != nil && (t.requests[0] != r || len(r.attempts) == 0 && d.now < t.rested)
}

// affordable tells whether the budget of attempts beyond a request's first has room, to be safe a tick less.
func (d *Machine) affordable(r *request) bool {
	if len(r.attempts) == 0 || d.s.RetryBudgetWindow <= 0 {
		return true
	}
	d.taken = since(d.taken, d.now-d.s.RetryBudgetWindow+d.s.Tick)
	d.extra = since(d.extra, d.now-d.s.RetryBudgetWindow-d.s.Tick)
	return float64(len(d.extra)+1) <= d.s.RetryBudgetFloor+d.s.RetryBudgetRatio*float64(len(d.taken))
}

// allowed is the gate of the rules: open to the class, not draining, no effect that could happen twice.
func (d *Machine) allowed(r *request, w *worker) bool {
	if w.State != Running || w.suspended || !r.class.mayRunOn(w) || d.sealed(r) {
		return false
	}
	for _, a := range r.attempts {
		if a.w == w && d.now-a.sent < d.horizon && len(d.fleet) > 1 {
			return false // it has just failed this job
		}
		if !a.neverRan && r.class.Idempotency == Deduplicated && !r.class.DedupScope.holds(a.w, w) {
			return false
		}
	}
	return true
}

// sealed tells whether no attempt may follow one that may have run: by the class, or as its window is over.
func (d *Machine) sealed(r *request) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool {
		over := r.class.Idempotency == Deduplicated && d.now-a.sent >= r.class.DedupWindow-d.s.Tick
		return !a.neverRan && (over || r.class.Idempotency == NonIdempotent)
	})
}

// busy tells whether a job would wait there in vain, by what the worker has told.
func (d *Machine) busy(r *request, w *worker) bool {
	left := (r.aim - d.now).Seconds() - d.runTime(r, w)
	if d.now < max(w.full, w.refusal(r.class).until) ||
		d.s.StartNotices && w.unstarted > 0 && d.now-w.waitFrom > 4*d.s.Tick ||
		!r.late && d.startWait(w) > left { // late there; held here, the first free worker takes it
		return true
	}
	return w.freeAt > 0 && d.now-w.freeAt < max(seconds(d.roundTrip), d.beat) && w.free < r.slots
}

// trustAll: if most look bad, the trouble is not theirs, and all are used.
func (d *Machine) trustAll() bool { return 2*(d.running-d.suspects) <= len(d.fleet) }

// healthy ejects lost zones, and suspects but for a due trial, a fragile one only when half has faded.
func (d *Machine) healthy(r *request, w *worker) bool {
	return !d.dark(w) && (!w.suspect || d.trustAll() || d.now >= w.retryAt &&
		(r.class.Idempotency != NonIdempotent || w.fail.get(d.now, d.horizon) < suspectFrom/2))
}

// dark tells whether a worker's zone looks lost: connects there fail in a row, and others are heard of since.
// Guards against a time-out for each of its workers at each dispatcher, until the list tells of it.
func (d *Machine) dark(w *worker) bool {
	z := d.zone(w.Zone)
	rest := min(d.s.ConnectTimeout<<min(z.failed, 8), d.horizon) // then a trial is due, ever later
	return z.failed >= zoneLost && d.now-z.tried < rest && d.heard > z.since
}

// coldRoom keeps to this dispatcher's part of what all may send a cold worker, by what warm ones take. It is
// staked on the first job and on any above it, and never on twice the mean: a busy one thinks all peers busy.
func (d *Machine) coldRoom(r *request, w *worker) bool {
	if d.warmth(w) >= 1 || d.s.OverloadWindow <= 0 { // a rule of length 0 is off
		return true
	}
	rate := coldSafety * d.s.OverloadMultiple * d.warmth(w) * d.warmShare(w.Kind)
	part := rate * d.s.OverloadWindow.Seconds()
	charge := r.charge()
	most := max(part, min(coldSaved*part, charge))
	w.cold, w.coldAt = min(w.cold+rate*(d.now-w.coldAt).Seconds(), most), d.now
	if w.cold < 0 || charge > max(w.cold, min(coldGrain*part*float64(d.s.Peers), 2*r.slots*r.mean)) {
		return false
	}
	if (charge > part || w.sent.at == 0) && d.rng.Float64()*charge >= w.cold {
		w.cold = 0
		return false
	}
	return charge > part || charge <= w.cold+part/2 // what goes beyond is half a window's part at the most
}

// ---- What becomes of attempts.

func (d *Machine) note(ev Event) {
	r, a := d.attempt(ev)
	if a == nil {
		return
	}
	a.heard, a.w.heard = d.now, d.heardOf(a.w)
	if q, lost := d.overtaken(r, a); q != nil {
		d.lostOn(lost)
		d.giveUp(q)
	}
	d.started(r.class, a)
	d.alone(r, ev.Attempt)
	if d.s.StartNotices && ev.Kind == AttemptProgressed && ev.Fraction > 0 && ev.Fraction <= 1 {
		d.learnPace(a.w, (d.now-a.started).Seconds()/ev.Fraction/r.work)
	}
}

// alone calls off the copies of a job that has started elsewhere, or this one if an earlier one is heard of.
func (d *Machine) alone(r *request, now int) {
	for i := range r.attempts {
		if a := &r.attempts[i]; i == now || a.done || !d.s.StartNotices || !d.s.Cancellation || r.class.Streaming {
			continue
		} else if a.started == 0 {
			d.act(Action{Kind: CancelAttempt, Request: r.id, Attempt: i})
		} else if !a.mute && !a.w.suspect && a.started < r.attempts[now].started {
			d.act(Action{Kind: CancelAttempt, Request: r.id, Attempt: now})
		}
	}
}

func (d *Machine) response(ev Event) {
	d.report(ev)
	r, a := d.attempt(ev)
	if a == nil {
		return
	}
	w := a.w
	if ev.Outcome == InvalidRequest { // the job's fault, unless the worker says so of all that it gets
		if w.unusable++; w.unusable > oddJobs {
			ev.Outcome = Failed
		}
	}
	fail := w.fail.get(d.now, d.horizon)
	turnedAway := ev.Outcome == Saturated || ev.Outcome == ConnectionRefused || ev.Outcome == NotSent
	a.neverRan = turnedAway && !(ev.Outcome == Saturated && d.s.SaturatedMayHaveRun) // a fact about effects only
	d.returned(r, a, ev.Outcome)
	if r.turn != nil && (ev.Outcome == TimedOut || ev.Outcome == ConnectionLost || ev.Outcome == Cancelled) {
		d.rest(r.turn, d.s.KeyCooldown+d.s.Tick)
	}
	if turnedAway || ev.Outcome == InvalidRequest || ev.Outcome == Cancelled && a.started == 0 {
		d.bucket += r.cost
		// Guards the cold rule: work that warm workers turn away says nothing of what they can do.
		w.sent.add(d.now, d.horizon, -r.cost)
	}
	switch ev.Outcome {
	case Completed: // only this teaches speed: a fast error must not look like a fast worker
		w.heard, w.unusable = d.heardOf(w), 0
		a.taken(r.class)
		d.learnPace(w, (d.now-max(a.sent, a.started)).Seconds()/r.work)
		d.roundTrip += ((d.now - a.sent).Seconds() - d.roundTrip) / fewJobs
		d.judge(w, 0.7*fail, "answers again")
	case Saturated:
		d.turnedAway(w, r.class)
	case InvalidRequest: // guards against blaming all workers in turn, and the fleet, for what a client sent
		if !ev.Answered && !r.ended && r.out == 0 {
			d.act(Action{Kind: Fail, Request: r.id})
			d.end(r)
			return
		}
	case Failed, ConnectionRefused, ConnectionLost, TimedOut:
		if ev.Outcome == ConnectionRefused {
			d.unreachable(w)
		}
		if ev.Outcome == ConnectionLost && a.started == 0 && d.now-a.sent < d.s.ConnectTimeout && a.idle > d.beat {
			d.lostOn(a)
			break
		}
		d.judge(w, (1+fail)/2, "fails")
	}
	if ev.Outcome == Completed && d.now <= r.aim {
		d.served(r)
	} else if !r.counted && ev.Outcome != InvalidRequest &&
		(ev.Outcome == Completed || ev.Outcome != Cancelled && len(r.attempts) > 1) {
		// A first failure is about that worker; a job that fails at a second one is about the fleet.
		d.congested(r, a.sent)
	}
	if ev.Answered {
		d.end(r)
	} else if !r.ended && r.out == 0 && !r.queued {
		d.again(r)
	}
	d.forget(r)
}

// turnedAway books that a worker is full, or for a class whose jobs alone it turns away, ever more seldom.
func (d *Machine) turnedAway(w *worker, c *Class) {
	t := w.refusal(c)
	if t.n++; t.n == 1 {
		t.from = d.now
	}
	if t.n == 1 || !w.takesOthers(c, t.from) {
		w.full = d.now + seconds(d.roundTrip/4)
		return
	}
	t.backoff = min(max(2*t.backoff, d.horizon/8), 2*d.horizon)
	t.until = d.now + t.backoff
}

// lostOn learns when unused connections are dropped unseen. The worker is not blamed; older ones are closed.
func (d *Machine) lostOn(a *attempt) {
	if d.now < d.lostAt+4*d.horizon { // one may have another cause
		d.idleSafe = min(d.idleSafe, a.idle/2)
		d.log("connections unused for over %v look dead", d.idleSafe)
	}
	d.lostAt = d.now
}

// charge is what a job takes of a cold budget. One chosen for its small, rough hint is larger than it says.
func (r *request) charge() float64 {
	return r.cost + hintDoubt*r.slots*max(r.mean-r.work, 0)
}

// again finds another way for a request whose attempts have failed, as far as its class allows.
func (d *Machine) again(r *request) {
	left := d.s.MaxAttempts - len(r.attempts)
	if left <= 0 || d.now >= r.deadline || d.worthless(r) || d.sealed(r) || !d.affordable(r) {
		d.giveUp(r)
		return
	}
	if len(r.attempts) > 1 { // guards against spending all attempts in a burst while workers are full
		r.notBefore = d.now + max(r.aim-d.now-seconds(r.work), d.beat)/time.Duration(left)
	}
	d.enqueue(r)
}

// giveUp answers a request: turned away where that promises no more than is known, else failed.
func (d *Machine) giveUp(r *request) {
	if c := r.class; c.Idempotency == Idempotent || c.Idempotency == Deduplicated && c.DedupScope == DedupEverywhere || !r.mayHaveRun() {
		// Little's law: a slot comes free within a round trip. The jitter keeps clients apart.
		wait := seconds(d.meanTrip() * (0.5 + d.rng.Float64()))
		d.act(Action{Kind: Reject, Request: r.id, Delay: min(wait, max(d.s.MaxRetryAfter, 0))})
	} else {
		d.act(Action{Kind: Fail, Request: r.id})
	}
	d.end(r)
}

// end marks a request that needs no further decision and calls off what is out for it.
func (d *Machine) end(r *request) {
	r.ended = true
	for i := range r.attempts {
		if !r.attempts[i].done && d.s.Cancellation && !r.class.Streaming {
			d.act(Action{Kind: CancelAttempt, Request: r.id, Attempt: i})
		}
	}
	d.forget(r)
}

// ---- Ceilings.

// bucketBinds tells whether the bucket limits what is sent. Cut unused, it would price work away later.
func (d *Machine) bucketBinds() bool {
	return d.bucket < d.depth()/2 || d.priceC > 0
}

// served raises the ceilings that bind: one that grew unused would be stale when it is needed.
func (d *Machine) served(r *request) {
	d.bad -= d.bad / badSpan
	step := raiseStep * math.Pow(1-d.bad, 4) / d.ready()
	if d.held()+r.slots > d.perSlot*d.ready()/2 || d.priceK > 0 {
		d.perSlot += step * r.slots
	}
	if d.bucketBinds() {
		d.perRate += step * r.cost / d.meanTrip()
	}
}

// congested cuts the ceilings, once a round trip, by half the recent share of bad outcomes, each weighed by
// the part of the fleet open to its job. What was sent before the last cut counts no more.
func (d *Machine) congested(r *request, sent time.Duration) {
	if r.counted = true; sent < d.cutAt {
		return
	}
	share := d.share(r.class)
	d.bad += share * (1 - d.bad) / badSpan
	if d.now-d.cutAt <= seconds(d.meanTrip()) {
		return
	}
	d.cutAt = d.now
	least, keep := floorShare*startSlots/float64(d.s.Peers), 1-share*d.bad/2
	d.perSlot = max(d.perSlot*keep, least)
	if d.bucketBinds() {
		d.perRate = max(d.perRate*keep, least)
	}
}

// ---- Health of a worker.

func (d *Machine) judge(w *worker, fail float64, why string) {
	w.fail = fading{fail, d.now} // fades, lest a worker without repeatable jobs stay ejected for good
	if bad := fail >= suspectFrom; bad != w.suspect {
		d.setSuspect(w, bad)
		d.backOff(w)
		d.log("worker %s %s, failure score %.2f", w.Name, why, fail)
	}
}

func (d *Machine) backOff(w *worker) {
	w.backoff = min(max(2*w.backoff, d.horizon/8), 2*d.horizon)
	w.retryAt = d.now + w.backoff
}

// ---- Timers and the sweep.

func (d *Machine) timer(token uint64) {
	switch r := d.requests[token]; {
	case token == beatTimer:
		d.sweep()
	case token == listTimer:
		d.act(Action{Kind: Subscribe})
	case r != nil && !r.ended && d.now >= r.deadline: // its last moment: never lose a request
		d.giveUp(r)
	}
}

// sweep looks after unanswered requests and solves for new prices.
func (d *Machine) sweep() {
	d.live = slices.DeleteFunc(d.live, func(r *request) bool { return r.ended })
	for _, r := range d.live {
		if !r.late && d.now+seconds(r.work)+d.beat >= r.aim {
			d.lapse(r)
		} else if r.queued && (d.worthless(r) || d.sealed(r)) || r.late && d.inTheWay(r) {
			d.giveUp(r)
		}
		if a := len(r.attempts) - 1; r.out == 1 && !r.attempts[a].done {
			d.watch(r, &r.attempts[a])
		}
	}
	d.dropWarm()
	slices.SortFunc(d.queue, byDensity) // what has lapsed is worth less now
	if d.now >= d.solveAt {
		d.solveAt = d.now + d.horizon/8
		d.idleSafe = min(d.idleSafe+d.idleSafe/32, cmp.Or(d.s.ConnectionIdleTimeout, d.idleSafe))
		d.solve()
	}
	if d.beating = false; len(d.live) > 0 {
		d.startBeat()
	}
}

// lapse marks a job that can hardly be in time. If it waits while room is scarce, it is turned away at once.
func (d *Machine) lapse(r *request) {
	r.late = true
	if r.out > 1 && d.s.StartNotices && !r.counted && !r.started() {
		d.congested(r, r.attempts[0].sent)
	}
	if a := r.unstarted(); a != nil && d.s.StartNotices { // its end would tell that a job later
		if a.idle > d.idleSafe {
			d.giveUp(r)
			return
		}
		if a.idle > d.beat && d.s.StartsInOrder { // lost on a dead connection? the next job there will tell
			d.inDoubt(r, a)
		} else {
			d.congested(r, a.sent)
		}
	}
	r.value *= r.class.LateWeight
	if r.queued && (d.priceC+d.priceK > 0 || !d.leaseFree(r) || d.allSuspended()) || d.inTheWay(r) {
		d.giveUp(r)
	}
}

// inTheWay tells whether a job that can hardly be in time, and has not started, makes others late: it waits
// in a worker's queue and earns nothing late, or may be repeated, so called off whole, while many are bad.
func (d *Machine) inTheWay(r *request) bool {
	idle := r.class.LateWeight <= 0 || d.bad > crowded && r.class.Idempotency == Idempotent && r.class.LateWeight < 1
	return idle && d.s.StartNotices && d.s.Cancellation && d.now+seconds(r.work)+d.beat >= r.aim && !r.started()
}

// watch notices silence, the only sign of a vanished machine, and sends a second copy of a job that a suspect
// holds, or that waits for its start where the first to start has the other called off, unless it has lapsed.
func (d *Machine) watch(r *request, a *attempt) {
	limit := 2*d.s.ProgressInterval + d.s.ConnectTimeout
	running := a.started > 0 || !d.s.StartNotices // a job in a worker's queue is silent by nature
	if d.s.ProgressInterval > 0 && running && !a.w.suspect && d.now-max(a.heard, a.w.heard) > limit {
		d.judge(a.w, 1, "is silent")
	}
	stuck := (a.w.suspect || d.dark(a.w) || a.started == 0 && a.idle > d.idleSafe) && d.now-a.heard > d.beat
	stuck = d.mute(r, a) || stuck
	stuck = stuck || a.started == 0 && !r.late && d.s.StartNotices && d.s.Cancellation && d.now-a.sent > d.beat/2
	if stuck && d.s.Hedging && r.class.Idempotency != NonIdempotent && len(r.attempts) < d.s.MaxAttempts {
		d.place(r)
	}
}

// mute tells whether the connection of an attempt looks dead though its worker lives: notes are overdue,
// or the start is while nothing waits there by what the worker has told since. If it has not, it is asked.
func (d *Machine) mute(r *request, a *attempt) bool {
	w, wait := a.w, d.s.ProgressInterval/2+d.s.ConnectTimeout
	if d.s.ProgressInterval <= 0 || !d.s.StartNotices || a.mute {
		return a.mute
	}
	if a.started > 0 {
		return d.now-a.heard > d.s.ProgressInterval+wait
	}
	if !d.s.StartsInOrder || d.now-a.sent <= wait || d.priceC+d.priceK > 0 || len(d.queue) > 0 {
		return false
	}
	if w.toldAt > a.sent+d.s.ConnectTimeout {
		if a.mute = w.backlog < 1; a.mute {
			d.unblock(r, a)
		}
	} else if d.s.HealthChecks && d.now-w.probedAt > wait*time.Duration(max(d.s.Peers/herdFrom, 1)) {
		w.probedAt = d.now
		d.act(Action{Kind: CheckHealth, Worker: w.Name})
	}
	return a.mute
}

// ---- The worker list.

func (d *Machine) list(ev Event) {
	if ev.ListKind == ListFailed { // the old list stands; ask again, ever more slowly and not all at once
		d.listBackoff = min(max(2*d.listBackoff, d.s.ListPollInterval/20), max(d.s.ListPollInterval/2, d.s.Tick))
		wait := seconds(d.listBackoff.Seconds()*(0.5+d.rng.Float64()/2)) + d.spread()
		d.act(Action{Kind: SetTimer, Timer: listTimer, Delay: wait})
		d.log("worker list unavailable, asking again in %v", wait)
		return
	}
	if d.listBackoff = 0; ev.ListKind == ListCached && d.s.ListBySubscription {
		if wait := d.spread(); wait > 0 {
			d.act(Action{Kind: SetTimer, Timer: listTimer, Delay: wait})
		} else {
			d.act(Action{Kind: Subscribe})
		}
	}
	d.roster(ev)
}

// spread is a random wait before a call for the list, lest a herd of dispatchers call at once and in vain.
func (d *Machine) spread() time.Duration {
	if !d.s.LargeFleet() {
		return 0
	}
	part := min(float64(d.s.Peers-herdFrom)*herdPart, mostSpread)
	return seconds(part * d.s.ListPollInterval.Seconds() * d.rng.Float64())
}

// ---- Prices: the dual of the fluid LP over the recent mix.

// solve sets the prices from the recent mix, for what bucket and lease let through in the same span.
func (d *Machine) solve() {
	bids, jobs := d.recentMix()
	d.own = max(int(jobs/ownJobs), leastOwn)
	if d.priceC, d.priceK = 0, 0; jobs >= fewJobs { // a handful of jobs prices nothing
		d.priceC, d.priceK = solveDual(bids, d.depth(), d.ceiling()*d.horizon.Seconds())
	}
}

// solveDual minimises C*pC + K*pK + sum max(0, value - pC*cost - pK*hold) over prices >= 0: convex and
// piecewise linear, so some vertex of the bid lines is a minimum; of equal ones the most selective is taken.
func solveDual(bids []bid, budgetC, budgetK float64) (bestC, bestK float64) {
	best := math.MaxFloat64
	try := func(c, k float64) {
		if !(c >= 0 && k >= 0) || math.IsInf(c+k, 0) {
			return
		}
		dual := budgetC*c + budgetK*k
		for _, b := range bids {
			dual += max(0, b.value-c*b.cost-k*b.hold)
		}
		tie := dual <= best*(1+1e-9) && dual >= best*(1-1e-9)
		if !tie && dual < best || tie && c+k > bestC+bestK {
			best, bestC, bestK = dual, c, k
		}
	}
	try(0, 0)
	for i, p := range bids {
		try(p.value/p.cost, 0)
		try(0, p.value/p.hold)
		for _, q := range bids[:i] {
			det := p.cost*q.hold - q.cost*p.hold
			try((p.value*q.hold-q.value*p.hold)/det, (p.cost*q.value-q.cost*p.value)/det)
		}
	}
	return bestC, bestK
}
