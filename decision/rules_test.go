package decision

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20", "rapid.nofailfile": "true", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// answerSlack is how long after its deadline a request may still be answered.
const answerSlack = 8 * time.Millisecond

// simulation plays clients, workers and discovery to one dispatcher, and audits its actions against the
// rules. Its own record of what was sent and told is independent of the module's.
type simulation struct {
	t             *rapid.T
	s             Settings
	d             *Machine
	now           time.Duration
	listed        map[string]Endpoint // as last told, gone ones included
	names         []string
	stall         time.Duration // how long it may have stood still
	requests      map[uint64]*simRequest
	arrivalOrder  []uint64
	nextID        uint64
	timers        []simTimer
	watching      bool
	pending       []Event         // events of this batch, fixed before any is answered
	arrivals      []time.Duration // when requests came since the start, and when further attempts were sent
	retries       []time.Duration
	cooldownUntil map[string]time.Duration // until when a key rests
}

type simTimer struct {
	at    time.Duration
	token uint64
}

type simRequest struct {
	id       uint64
	key      string
	class    Class
	deadline time.Duration
	answered bool // told to the dispatcher, or answered by it
	attempts []simAttempt
}

type simAttempt struct {
	worker    Endpoint
	at        time.Duration
	done      bool
	neverRan  bool
	cancelled bool
}

func newWorld(t *rapid.T) *simulation {
	repeats := []Class{
		{Idempotency: Idempotent}, {Idempotency: NonIdempotent},
		{
			Idempotency: Deduplicated,
			DedupScope:  DedupEverywhere,
		}, {Idempotency: Deduplicated, DedupScope: DedupWithinZone}, {Idempotency: Deduplicated, DedupScope: DedupWithinCell},
	}
	settings := Settings{
		Peers: 3, Tick: 2 * time.Millisecond,
		ListBySubscription: rapid.Bool().Draw(t, "ask"), ListPollInterval: 10 * time.Second,
		SlowStartFloor: 0.3, SlowStartDuration: 8 * time.Second, OverloadMultiple: 3, OverloadWindow: 2 * time.Second,
		MaxAttempts: rapid.IntRange(1, 5).Draw(t, "attempts"), Hedging: rapid.Bool().Draw(t, "copies"),
		Cancellation: rapid.Bool().Draw(t, "cancel"), StartNotices: rapid.Bool().Draw(t, "tells start"),
		ProgressInterval: time.Second, WeightByWork: rapid.Bool().Draw(t, "by work"), OverQuotaWeight: 0.2,
		MaxRetryAfter: 2 * time.Second, ConnectTimeout: 200 * time.Millisecond, CrossZoneCost: 0.05,
	}
	if rapid.Bool().Draw(t, "tenants") {
		settings.TenantQuotas = []float64{5, 10}
	}
	settings.SaturatedMayHaveRun = rapid.Bool().Draw(t, "full is no proof")
	if rapid.Bool().Draw(t, "budget") {
		settings.RetryBudgetWindow, settings.RetryBudgetFloor, settings.RetryBudgetRatio = 2*time.Second, float64(
			rapid.IntRange(0, 2).Draw(t, "floor"),
		), 0.2
	}
	order := rapid.Bool().Draw(t, "order")
	if order {
		settings.KeyCooldown = rapid.SampledFrom([]time.Duration{0, 300 * time.Millisecond}).Draw(t, "rest")
	}
	for i, class := range repeats {
		class.PriorityWeight, class.LateWeight = float64(i+1), 0.3
		class.LatencyObjective, class.ObjectiveStretch, class.Deadline = 200*time.Millisecond, 2, 5*time.Second
		class.DedupWindow = rapid.SampledFrom([]time.Duration{100 * time.Millisecond, 3 * time.Second}).
			Draw(t, "window")
		if i == 1 && rapid.Bool().Draw(t, "kind") {
			class.Kinds = []int{1}
		}
		if i == 3 && rapid.Bool().Draw(t, "zone") {
			class.Zones = []int{0}
		}
		class.Serialized = i != 2 && order
		settings.Classes = append(settings.Classes, class)
	}
	sim := &simulation{t: t, s: settings, now: time.Hour, listed: map[string]Endpoint{}, nextID: 1}
	for i := range rapid.IntRange(1, 8).Draw(t, "workers") {
		name := fmt.Sprintf("w%d", i)
		sim.names = append(sim.names, name)
		sim.listed[name] = Endpoint{Name: name, Zone: i % 2, Kind: i % 2, Cell: i % 4, State: Running}
	}
	sim.restart()
	return sim
}

func (w *simulation) restart() {
	machine, err := New(w.s, rapid.Uint64().Draw(w.t, "seed"))
	if err != nil {
		w.t.Fatal(err)
	}
	w.d, w.requests, w.arrivalOrder, w.timers, w.pending, w.watching = machine, map[uint64]*simRequest{}, nil, nil, nil, false
	w.arrivals, w.retries, w.cooldownUntil = nil, nil, map[string]time.Duration{}
	w.handle(Event{Kind: ListUpdated, ListKind: ListCached, Endpoints: w.entries()})
}

func (w *simulation) entries() (list []Endpoint) {
	for _, name := range w.names {
		if endpoint := w.listed[name]; endpoint.State != Removed {
			list = append(list, endpoint)
		}
	}
	return list
}

func (w *simulation) handle(event Event) {
	for _, action := range w.d.Handle(w.now, event, nil) {
		w.check(action)
	}
}

func (w *simulation) check(action Action) {
	request := w.requests[action.Request]
	switch action.Kind {
	case Assign:
		w.checkAssign(request, action)
	case Reject, Fail:
		if request == nil || request.answered {
			w.t.Fatalf("a second answer, or one for an unknown request: %+v", action)
		}
		if action.Delay < 0 {
			w.t.Fatalf("negative delay: %+v", action)
		}
		if action.Kind == Reject && !request.rejectable() {
			w.t.Fatalf("turned away though it may have run: %+v", request)
		}
		request.answered = true
	case CancelAttempt:
		if !w.s.Cancellation || request == nil || action.Attempt >= len(request.attempts) {
			w.t.Fatalf("a stop that is not allowed or names no attempt: %+v", action)
		}
		request.attempts[action.Attempt].cancelled = true
	case SetTimer:
		if action.Delay < 0 {
			w.t.Fatalf("timer in the past: %+v", action)
		}
		w.timers = append(w.timers, simTimer{w.now + action.Delay, action.Timer})
	case Subscribe:
		if w.watching || !w.s.ListBySubscription {
			w.t.Fatal("subscribed twice, or where the list is pushed")
		}
		w.watching = true
	case CheckHealth:
		w.t.Fatal("a probe where probing is not allowed")
	}
}

func (j *simRequest) rejectable() bool {
	for _, attempt := range j.attempts {
		if !attempt.neverRan &&
			(j.class.Idempotency == NonIdempotent || j.class.Idempotency == Deduplicated && j.class.DedupScope != DedupEverywhere) {
			return false
		}
	}
	return true
}

func (w *simulation) checkAssign(request *simRequest, action Action) {
	if request == nil || request.answered {
		w.t.Fatalf("work sent for a request that is answered or unknown: %+v", action)
	}
	endpoint, ok := w.listed[action.Worker]
	if !ok || endpoint.State != Running {
		w.t.Fatalf("work sent to a worker told to be draining or gone: %+v %+v", action, endpoint)
	}
	if request.class.Kinds != nil && request.class.Kinds[0] != endpoint.Kind ||
		request.class.Zones != nil && request.class.Zones[0] != endpoint.Zone {
		w.t.Fatalf("a worker that is not open to the class: %+v", action)
	}
	w.checkSerialization(request)
	if len(request.attempts) > 0 {
		w.retries = append(w.retries, w.now)
		extra, taken := 0, 0
		for _, at := range w.retries {
			if w.now-at <= w.s.RetryBudgetWindow {
				extra++
			}
		}
		for _, at := range w.arrivals {
			if w.now-at < w.s.RetryBudgetWindow {
				taken++
			}
		}
		if w.s.RetryBudgetWindow > 0 &&
			float64(extra) > w.s.RetryBudgetFloor+w.s.RetryBudgetRatio*float64(taken) {
			w.t.Fatalf("%d further attempts for %d requests", extra, taken)
		}
	}
	if len(request.attempts) >= w.s.MaxAttempts {
		w.t.Fatalf("too many attempts: %+v", action)
	}
	for _, attempt := range request.attempts {
		if !attempt.done && !w.s.Hedging {
			w.t.Fatalf("a second copy: %+v", action)
		}
		if attempt.neverRan || request.class.Idempotency == Idempotent {
			continue
		}
		same := request.class.DedupScope == DedupEverywhere ||
			request.class.DedupScope == DedupWithinZone && attempt.worker.Zone == endpoint.Zone ||
			request.class.DedupScope == DedupWithinCell && attempt.worker.Cell == endpoint.Cell &&
				attempt.worker.Zone == endpoint.Zone
		if request.class.Idempotency == NonIdempotent || !same ||
			w.now-attempt.at >= request.class.DedupWindow {
			w.t.Fatalf("an effect may happen twice: %+v", request)
		}
	}
	request.attempts = append(request.attempts, simAttempt{worker: endpoint, at: w.now})
}

// checkSerialization checks the order by key: all earlier ones of the key are over, and it has rested.
func (w *simulation) checkSerialization(j *simRequest) {
	if j.key == "" || !j.class.Serialized {
		return
	}
	for _, id := range w.arrivalOrder {
		request := w.requests[id]
		if request == j {
			break
		}
		if !request.class.Serialized || request.key != j.key {
			continue
		}
		if !request.answered ||
			slices.ContainsFunc(request.attempts, func(attempt simAttempt) bool { return !attempt.done }) {
			w.t.Fatalf("sent out of turn: %+v before %+v", j, request)
		}
	}
	if len(j.attempts) == 0 && w.now < w.cooldownUntil[j.key] {
		w.t.Fatalf("the key has not rested: %+v", j)
	}
}

// advance moves the clock in ticks; deadlines and timers come due on the way.
func (w *simulation) advance(span time.Duration) {
	for end := w.now + span; w.now < end; {
		w.now += w.s.Tick
		var batch []Event
		for _, id := range w.arrivalOrder {
			request := w.requests[id]
			if w.now < request.deadline {
				continue
			}
			for n := range request.attempts {
				if !request.attempts[n].done {
					batch = append(batch, w.endAttempt(request, n, TimedOut))
				}
			}
		}
		rest := w.timers[:0]
		for _, t := range w.timers {
			if t.at <= w.now {
				batch = append(batch, Event{Kind: TimerFired, Timer: t.token})
			} else {
				rest = append(rest, t)
			}
		}
		w.timers = append([]simTimer(nil), rest...)
		for _, event := range batch {
			w.handle(event)
		}
		for _, id := range w.arrivalOrder {
			if request := w.requests[id]; !request.answered && w.now >= request.deadline+answerSlack+w.stall {
				w.t.Fatalf("request lost: %+v", request)
			}
		}
	}
}

// endAttempt records the outcome of a send and returns its event.
func (w *simulation) endAttempt(request *simRequest, n int, outcome AttemptOutcome) Event {
	attempt := &request.attempts[n]
	attempt.done = true
	attempt.neverRan = outcome == Saturated && !w.s.SaturatedMayHaveRun || outcome == ConnectionRefused ||
		outcome == NotSent
	if request.class.Serialized &&
		(outcome == TimedOut || outcome == ConnectionLost || outcome == Cancelled) {
		w.cooldownUntil[request.key] = w.now + w.s.KeyCooldown
	}
	if outcome == Completed {
		request.answered = true
	}
	return Event{
		Kind: AttemptEnded, Request: request.id, Attempt: n, Worker: attempt.worker.Name, Outcome: outcome,
		Answered: request.answered,
		Load:     LoadReport{HasFreeSlots: true, FreeSlots: 1},
	}
}

// drawOutstanding draws one of the attempts outstanding, if there is any: its request and its number.
func (w *simulation) drawOutstanding() (request *simRequest, n int, ok bool) {
	var all [][2]int
	for i, id := range w.arrivalOrder {
		for n := range w.requests[id].attempts {
			if !w.requests[id].attempts[n].done {
				all = append(all, [2]int{i, n})
			}
		}
	}
	if len(all) == 0 {
		return nil, 0, false
	}
	at := rapid.SampledFrom(all).Draw(w.t, "attempt")
	return w.requests[w.arrivalOrder[at[0]]], at[1], true
}

// Whatever clients, workers and discovery do, each action keeps the rules, each request gets its answer,
// and nothing is held once all has ended.
func TestRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newWorld(t)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			sim.step()
		}
		sim.advance(6 * time.Second) // past every deadline
		for _, request := range sim.requests {
			if !request.answered {
				t.Fatalf("no answer: %+v", request)
			}
		}
		if n := len(sim.d.requests) + len(sim.d.queue); n != 0 {
			t.Fatalf("%d requests held after all have ended", n)
		}
		sim.advance(sim.s.KeyCooldown + 2*sim.s.Tick)
		if n := len(sim.d.keyQueues) + len(sim.d.coolingDown); n != 0 {
			t.Fatalf("%d keys kept after all have ended and rested", n)
		}
		if sim.d.inFlight != 0 {
			t.Fatalf("%v slots leased after all have ended", sim.d.inFlight)
		}
	})
}

func (w *simulation) step() {
	t := w.t
	switch rapid.IntRange(0, 16).Draw(t, "step") {
	case 16: // a stall: no turn for a while, then all that came meanwhile at once, timers last or first
		stall := time.Duration(rapid.IntRange(1, 200).Draw(t, "stall")) * w.s.Tick
		w.now += stall
		if rapid.Bool().Draw(t, "timers first") {
			w.now -= w.s.Tick
			w.stall = stall
			w.advance(w.s.Tick)
		}
		for range rapid.IntRange(1, 5).Draw(t, "late events") {
			w.arrive()
			if request, n, ok := w.drawOutstanding(); ok {
				w.handle(
					w.endAttempt(
						request,
						n,
						rapid.SampledFrom([]AttemptOutcome{Completed, Saturated, ConnectionLost}).
							Draw(t, "late outcome"),
					),
				)
			}
		}
	case 0, 1, 2, 3, 4:
		w.arrive()
	case 5, 6, 7, 8:
		if request, n, ok := w.drawOutstanding(); ok {
			outcome := rapid.SampledFrom([]AttemptOutcome{Completed, Completed, Failed, Saturated, TimedOut, ConnectionRefused, ConnectionLost, Cancelled}).
				Draw(t, "outcome")
			if outcome == Cancelled && !request.attempts[n].cancelled {
				outcome = ConnectionLost
			}
			event := w.endAttempt(request, n, outcome)
			if rapid.Bool().Draw(t, "hang up in the same batch") && !request.answered {
				w.handle(Event{Kind: ClientDisconnected, Request: request.id})
				request.answered, event.Answered = true, true
			}
			w.handle(event)
			w.handle(event) // a late echo must change nothing
		}
	case 9:
		if request, n, ok := w.drawOutstanding(); ok {
			kind := rapid.SampledFrom([]EventKind{AttemptStarted, AttemptProgressed}).Draw(t, "note")
			w.handle(
				Event{Kind: kind, Request: request.id, Attempt: n, Worker: request.attempts[n].worker.Name,
					Fraction: rapid.SampledFrom([]float64{-1, 0, 0.5, 1, 7}).Draw(t, "fraction")},
			)
		}
	case 10, 11:
		w.changeList()
	case 12:
		if w.s.ListBySubscription && w.watching {
			w.watching = false
			w.handle(Event{Kind: ListUpdated, ListKind: ListFailed})
		}
	case 13:
		if rapid.IntRange(0, 5).Draw(t, "crash") == 0 {
			w.restart()
		}
		w.handle(Event{Kind: ClientDisconnected, Request: 1 << 50})
		w.handle(Event{Kind: AttemptEnded, Request: 1 << 50, Worker: "nobody"})
		w.handle(Event{Kind: TimerFired, Timer: 1 << 50})
	default:
		w.advance(time.Duration(rapid.SampledFrom([]int{1, 5, 50, 400}).Draw(t, "ticks")) * w.s.Tick)
	}
}

func (w *simulation) arrive() {
	t := w.t
	n := rapid.IntRange(0, len(w.s.Classes)-1).Draw(t, "class")
	left := rapid.SampledFrom([]time.Duration{-time.Second, 0, time.Millisecond, 300 * time.Millisecond, 5 * time.Second}).
		Draw(t, "left")
	for range rapid.IntRange(1, 12).Draw(t, "burst") {
		request := &simRequest{id: w.nextID, class: w.s.Classes[n], deadline: w.now + max(left, 0)}
		w.nextID++
		if rapid.Bool().Draw(t, "keyed") {
			request.key = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
		}
		w.arrivals = append(w.arrivals, w.now)
		w.requests[request.id] = request
		w.arrivalOrder = append(w.arrivalOrder, request.id)
		w.handle(Event{
			Kind: RequestArrived, Request: request.id, Class: n, TimeLeft: left,
			Tenant: rapid.IntRange(-1, 2).Draw(t, "tenant"),
			Slots:  rapid.SampledFrom([]float64{1, 2, 4, 0, -3, 1e18}).Draw(t, "slots"),
			Work: rapid.SampledFrom([]time.Duration{0, -1, time.Millisecond, time.Second, 1 << 62}).
				Draw(t, "work"),
			ClientRetry: rapid.Bool().Draw(t, "retry"), Key: request.key,
		})
	}
}

func (w *simulation) changeList() {
	if w.s.ListBySubscription && !w.watching {
		return
	}
	name := rapid.SampledFrom(w.names).Draw(w.t, "worker")
	endpoint := w.listed[name]
	switch endpoint.State = rapid.SampledFrom([]WorkerState{Running, Running, Draining, Removed}).Draw(w.t, "state"); {
	case endpoint.State == Running && rapid.Bool().Draw(w.t, "restart"):
		endpoint.StartedAt = w.now - time.Duration(rapid.IntRange(0, 9).Draw(w.t, "age"))*time.Second
	}
	w.listed[name] = endpoint
	if rapid.Bool().Draw(w.t, "complete") {
		w.handle(Event{Kind: ListUpdated, ListKind: ListSnapshot, Endpoints: w.entries()})
	} else {
		w.handle(Event{Kind: ListUpdated, ListKind: ListDelta, Endpoints: []Endpoint{endpoint}})
	}
}
