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

// world plays clients, workers and discovery to one dispatcher, and audits its actions against the
// rules. Its own record of what was sent and told is independent of the module's.
type world struct {
	t        *rapid.T
	s        Settings
	d        *Machine
	now      time.Duration
	listed   map[string]Endpoint // as last told, gone ones included
	names    []string
	late     time.Duration // how long it may have stood still
	requests map[uint64]*job
	order    []uint64
	nextID   uint64
	timers   []timer
	watching bool
	pending  []Event         // events of this batch, fixed before any is answered
	taken    []time.Duration // when requests came since the start, and when further attempts were sent
	extra    []time.Duration
	rested   map[string]time.Duration // until when a key rests
}

type timer struct {
	at    time.Duration
	token uint64
}

type job struct {
	id       uint64
	key      string
	class    Class
	deadline time.Duration
	answered bool // told to the dispatcher, or answered by it
	sends    []send
}

type send struct {
	worker    Endpoint
	at        time.Duration
	done      bool
	neverRan  bool
	cancelled bool
}

func newWorld(t *rapid.T) *world {
	repeats := []Class{
		{Idempotency: Idempotent}, {Idempotency: NonIdempotent},
		{Idempotency: Deduplicated, DedupScope: DedupEverywhere}, {Idempotency: Deduplicated, DedupScope: DedupWithinZone}, {Idempotency: Deduplicated, DedupScope: DedupWithinCell},
	}
	s := Settings{
		Peers: 3, Tick: 2 * time.Millisecond,
		ListBySubscription: rapid.Bool().Draw(t, "ask"), ListPollInterval: 10 * time.Second,
		SlowStartFloor: 0.3, SlowStartDuration: 8 * time.Second, OverloadMultiple: 3, OverloadWindow: 2 * time.Second,
		MaxAttempts: rapid.IntRange(1, 5).Draw(t, "attempts"), Hedging: rapid.Bool().Draw(t, "copies"),
		Cancellation: rapid.Bool().Draw(t, "cancel"), StartNotices: rapid.Bool().Draw(t, "tells start"),
		ProgressInterval: time.Second, WeightByWork: rapid.Bool().Draw(t, "by work"), OverQuotaWeight: 0.2,
		MaxRetryAfter: 2 * time.Second, ConnectTimeout: 200 * time.Millisecond, CrossZoneCost: 0.05,
	}
	if rapid.Bool().Draw(t, "tenants") {
		s.TenantQuotas = []float64{5, 10}
	}
	s.SaturatedMayHaveRun = rapid.Bool().Draw(t, "full is no proof")
	if rapid.Bool().Draw(t, "budget") {
		s.RetryBudgetWindow, s.RetryBudgetFloor, s.RetryBudgetRatio = 2*time.Second, float64(rapid.IntRange(0, 2).Draw(t, "floor")), 0.2
	}
	order := rapid.Bool().Draw(t, "order")
	if order {
		s.KeyCooldown = rapid.SampledFrom([]time.Duration{0, 300 * time.Millisecond}).Draw(t, "rest")
	}
	for i, c := range repeats {
		c.PriorityWeight, c.LateWeight = float64(i+1), 0.3
		c.LatencyObjective, c.ObjectiveStretch, c.Deadline = 200*time.Millisecond, 2, 5*time.Second
		c.DedupWindow = rapid.SampledFrom([]time.Duration{100 * time.Millisecond, 3 * time.Second}).Draw(t, "window")
		if i == 1 && rapid.Bool().Draw(t, "kind") {
			c.Kinds = []int{1}
		}
		if i == 3 && rapid.Bool().Draw(t, "zone") {
			c.Zones = []int{0}
		}
		c.Serialized = i != 2 && order
		s.Classes = append(s.Classes, c)
	}
	w := &world{t: t, s: s, now: time.Hour, listed: map[string]Endpoint{}, nextID: 1}
	for i := range rapid.IntRange(1, 8).Draw(t, "workers") {
		name := fmt.Sprintf("w%d", i)
		w.names = append(w.names, name)
		w.listed[name] = Endpoint{Name: name, Zone: i % 2, Kind: i % 2, Cell: i % 4, State: Running}
	}
	w.boot()
	return w
}

func (w *world) boot() {
	d, err := New(w.s, rapid.Uint64().Draw(w.t, "seed"))
	if err != nil {
		w.t.Fatal(err)
	}
	w.d, w.requests, w.order, w.timers, w.pending, w.watching = d, map[uint64]*job{}, nil, nil, nil, false
	w.taken, w.extra, w.rested = nil, nil, map[string]time.Duration{}
	w.deliver(Event{Kind: ListUpdated, ListKind: ListCached, Endpoints: w.entries()})
}

func (w *world) entries() (list []Endpoint) {
	for _, name := range w.names {
		if endpoint := w.listed[name]; endpoint.State != Removed {
			list = append(list, endpoint)
		}
	}
	return list
}

func (w *world) deliver(event Event) {
	for _, action := range w.d.Handle(w.now, event, nil) {
		w.audit(action)
	}
}

func (w *world) audit(action Action) {
	j := w.requests[action.Request]
	switch action.Kind {
	case Assign:
		w.auditAssign(j, action)
	case Reject, Fail:
		if j == nil || j.answered {
			w.t.Fatalf("a second answer, or one for an unknown request: %+v", action)
		}
		if action.Delay < 0 {
			w.t.Fatalf("negative delay: %+v", action)
		}
		if action.Kind == Reject && !j.refusable() {
			w.t.Fatalf("turned away though it may have run: %+v", j)
		}
		j.answered = true
	case CancelAttempt:
		if !w.s.Cancellation || j == nil || action.Attempt >= len(j.sends) {
			w.t.Fatalf("a stop that is not allowed or names no attempt: %+v", action)
		}
		j.sends[action.Attempt].cancelled = true
	case SetTimer:
		if action.Delay < 0 {
			w.t.Fatalf("timer in the past: %+v", action)
		}
		w.timers = append(w.timers, timer{w.now + action.Delay, action.Timer})
	case Subscribe:
		if w.watching || !w.s.ListBySubscription {
			w.t.Fatal("subscribed twice, or where the list is pushed")
		}
		w.watching = true
	case CheckHealth:
		w.t.Fatal("a probe where probing is not allowed")
	}
}

func (j *job) refusable() bool {
	for _, s := range j.sends {
		if !s.neverRan && (j.class.Idempotency == NonIdempotent || j.class.Idempotency == Deduplicated && j.class.DedupScope != DedupEverywhere) {
			return false
		}
	}
	return true
}

func (w *world) auditAssign(j *job, action Action) {
	if j == nil || j.answered {
		w.t.Fatalf("work sent for a request that is answered or unknown: %+v", action)
	}
	endpoint, ok := w.listed[action.Worker]
	if !ok || endpoint.State != Running {
		w.t.Fatalf("work sent to a worker told to be draining or gone: %+v %+v", action, endpoint)
	}
	if j.class.Kinds != nil && j.class.Kinds[0] != endpoint.Kind || j.class.Zones != nil && j.class.Zones[0] != endpoint.Zone {
		w.t.Fatalf("a worker that is not open to the class: %+v", action)
	}
	w.auditTurn(j)
	if len(j.sends) > 0 {
		w.extra = append(w.extra, w.now)
		extra, taken := 0, 0
		for _, at := range w.extra {
			if w.now-at <= w.s.RetryBudgetWindow {
				extra++
			}
		}
		for _, at := range w.taken {
			if w.now-at < w.s.RetryBudgetWindow {
				taken++
			}
		}
		if w.s.RetryBudgetWindow > 0 && float64(extra) > w.s.RetryBudgetFloor+w.s.RetryBudgetRatio*float64(taken) {
			w.t.Fatalf("%d further attempts for %d requests", extra, taken)
		}
	}
	if len(j.sends) >= w.s.MaxAttempts {
		w.t.Fatalf("too many attempts: %+v", action)
	}
	for _, s := range j.sends {
		if !s.done && !w.s.Hedging {
			w.t.Fatalf("a second copy: %+v", action)
		}
		if s.neverRan || j.class.Idempotency == Idempotent {
			continue
		}
		same := j.class.DedupScope == DedupEverywhere || j.class.DedupScope == DedupWithinZone && s.worker.Zone == endpoint.Zone ||
			j.class.DedupScope == DedupWithinCell && s.worker.Cell == endpoint.Cell && s.worker.Zone == endpoint.Zone
		if j.class.Idempotency == NonIdempotent || !same || w.now-s.at >= j.class.DedupWindow {
			w.t.Fatalf("an effect may happen twice: %+v", j)
		}
	}
	j.sends = append(j.sends, send{worker: endpoint, at: w.now})
}

// auditTurn checks the order by key: all earlier ones of the key are over, and it has rested.
func (w *world) auditTurn(j *job) {
	if j.key == "" || !j.class.Serialized {
		return
	}
	for _, id := range w.order {
		q := w.requests[id]
		if q == j {
			break
		}
		if !q.class.Serialized || q.key != j.key {
			continue
		}
		if !q.answered || slices.ContainsFunc(q.sends, func(s send) bool { return !s.done }) {
			w.t.Fatalf("sent out of turn: %+v before %+v", j, q)
		}
	}
	if len(j.sends) == 0 && w.now < w.rested[j.key] {
		w.t.Fatalf("the key has not rested: %+v", j)
	}
}

// advance moves the clock in ticks; deadlines and timers come due on the way.
func (w *world) advance(span time.Duration) {
	for end := w.now + span; w.now < end; {
		w.now += w.s.Tick
		var batch []Event
		for _, id := range w.order {
			j := w.requests[id]
			if w.now < j.deadline {
				continue
			}
			for n := range j.sends {
				if !j.sends[n].done {
					batch = append(batch, w.end(j, n, TimedOut))
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
		w.timers = append([]timer(nil), rest...)
		for _, event := range batch {
			w.deliver(event)
		}
		for _, id := range w.order {
			if j := w.requests[id]; !j.answered && w.now >= j.deadline+answerSlack+w.late {
				w.t.Fatalf("request lost: %+v", j)
			}
		}
	}
}

// end records the outcome of a send and returns its event.
func (w *world) end(j *job, n int, o AttemptOutcome) Event {
	s := &j.sends[n]
	s.done = true
	s.neverRan = o == Saturated && !w.s.SaturatedMayHaveRun || o == ConnectionRefused || o == NotSent
	if j.class.Serialized && (o == TimedOut || o == ConnectionLost || o == Cancelled) {
		w.rested[j.key] = w.now + w.s.KeyCooldown
	}
	if o == Completed {
		j.answered = true
	}
	return Event{
		Kind: AttemptEnded, Request: j.id, Attempt: n, Worker: s.worker.Name, Outcome: o,
		Answered: j.answered,
		Load:     LoadReport{HasFreeSlots: true, FreeSlots: 1},
	}
}

// drawOut draws one of the attempts outstanding, if there is any: its request and its number.
func (w *world) drawOut() (j *job, n int, ok bool) {
	var all [][2]int
	for i, id := range w.order {
		for n := range w.requests[id].sends {
			if !w.requests[id].sends[n].done {
				all = append(all, [2]int{i, n})
			}
		}
	}
	if len(all) == 0 {
		return nil, 0, false
	}
	at := rapid.SampledFrom(all).Draw(w.t, "attempt")
	return w.requests[w.order[at[0]]], at[1], true
}

func TestRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			w.step()
		}
		w.advance(6 * time.Second) // past every deadline
		for _, j := range w.requests {
			if !j.answered {
				t.Fatalf("no answer: %+v", j)
			}
		}
		if n := len(w.d.requests) + len(w.d.queue); n != 0 {
			t.Fatalf("%d requests held after all have ended", n)
		}
		w.advance(w.s.KeyCooldown + 2*w.s.Tick)
		if n := len(w.d.keyQueues) + len(w.d.coolingDown); n != 0 {
			t.Fatalf("%d keys kept after all have ended and rested", n)
		}
		if w.d.inFlight != 0 {
			t.Fatalf("%v slots leased after all have ended", w.d.inFlight)
		}
	})
}

func (w *world) step() {
	t := w.t
	switch rapid.IntRange(0, 16).Draw(t, "step") {
	case 16: // a stall: no turn for a while, then all that came meanwhile at once, timers last or first
		stall := time.Duration(rapid.IntRange(1, 200).Draw(t, "stall")) * w.s.Tick
		w.now += stall
		if rapid.Bool().Draw(t, "timers first") {
			w.now -= w.s.Tick
			w.late = stall
			w.advance(w.s.Tick)
		}
		for range rapid.IntRange(1, 5).Draw(t, "late events") {
			w.arrive()
			if j, n, ok := w.drawOut(); ok {
				w.deliver(w.end(j, n, rapid.SampledFrom([]AttemptOutcome{Completed, Saturated, ConnectionLost}).Draw(t, "late outcome")))
			}
		}
	case 0, 1, 2, 3, 4:
		w.arrive()
	case 5, 6, 7, 8:
		if j, n, ok := w.drawOut(); ok {
			o := rapid.SampledFrom([]AttemptOutcome{Completed, Completed, Failed, Saturated, TimedOut, ConnectionRefused, ConnectionLost, Cancelled}).Draw(t, "outcome")
			if o == Cancelled && !j.sends[n].cancelled {
				o = ConnectionLost
			}
			event := w.end(j, n, o)
			if rapid.Bool().Draw(t, "hang up in the same batch") && !j.answered {
				w.deliver(Event{Kind: ClientDisconnected, Request: j.id})
				j.answered, event.Answered = true, true
			}
			w.deliver(event)
			w.deliver(event) // a late echo must change nothing
		}
	case 9:
		if j, n, ok := w.drawOut(); ok {
			kind := rapid.SampledFrom([]EventKind{AttemptStarted, AttemptProgressed}).Draw(t, "note")
			w.deliver(Event{Kind: kind, Request: j.id, Attempt: n, Worker: j.sends[n].worker.Name,
				Fraction: rapid.SampledFrom([]float64{-1, 0, 0.5, 1, 7}).Draw(t, "fraction")})
		}
	case 10, 11:
		w.changeList()
	case 12:
		if w.s.ListBySubscription && w.watching {
			w.watching = false
			w.deliver(Event{Kind: ListUpdated, ListKind: ListFailed})
		}
	case 13:
		if rapid.IntRange(0, 5).Draw(t, "crash") == 0 {
			w.boot()
		}
		w.deliver(Event{Kind: ClientDisconnected, Request: 1 << 50})
		w.deliver(Event{Kind: AttemptEnded, Request: 1 << 50, Worker: "nobody"})
		w.deliver(Event{Kind: TimerFired, Timer: 1 << 50})
	default:
		w.advance(time.Duration(rapid.SampledFrom([]int{1, 5, 50, 400}).Draw(t, "ticks")) * w.s.Tick)
	}
}

func (w *world) arrive() {
	t := w.t
	n := rapid.IntRange(0, len(w.s.Classes)-1).Draw(t, "class")
	left := rapid.SampledFrom([]time.Duration{-time.Second, 0, time.Millisecond, 300 * time.Millisecond, 5 * time.Second}).Draw(t, "left")
	for range rapid.IntRange(1, 12).Draw(t, "burst") {
		j := &job{id: w.nextID, class: w.s.Classes[n], deadline: w.now + max(left, 0)}
		w.nextID++
		if rapid.Bool().Draw(t, "keyed") {
			j.key = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
		}
		w.taken = append(w.taken, w.now)
		w.requests[j.id] = j
		w.order = append(w.order, j.id)
		w.deliver(Event{
			Kind: RequestArrived, Request: j.id, Class: n, TimeLeft: left,
			Tenant:      rapid.IntRange(-1, 2).Draw(t, "tenant"),
			Slots:       rapid.SampledFrom([]float64{1, 2, 4, 0, -3, 1e18}).Draw(t, "slots"),
			Work:        rapid.SampledFrom([]time.Duration{0, -1, time.Millisecond, time.Second, 1 << 62}).Draw(t, "work"),
			ClientRetry: rapid.Bool().Draw(t, "retry"), Key: j.key,
		})
	}
}

func (w *world) changeList() {
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
		w.deliver(Event{Kind: ListUpdated, ListKind: ListSnapshot, Endpoints: w.entries()})
	} else {
		w.deliver(Event{Kind: ListUpdated, ListKind: ListDelta, Endpoints: []Endpoint{endpoint}})
	}
}
