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
	flags := map[string]string{"rapid.seed": "20", "rapid.nofailfile": "true", "rapid.checks": "300"}
	for name, value := range flags {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// answerSlack is how long after its deadline a request may still be answered.
const answerSlack = 8 * time.Millisecond

// simulation plays clients, workers and discovery to one dispatcher, and checks its actions against
// the rules. Its record of what was sent and reported is independent of the machine's.
type simulation struct {
	t             *rapid.T
	settings      Settings
	machine       *Machine
	now           time.Duration
	listed        map[string]Endpoint // as last listed, gone ones included
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
	cooldownUntil map[string]time.Duration // by key
}

// simTimer is a timer that the machine has set.
type simTimer struct {
	at    time.Duration
	token uint64
}

// simRequest is the simulation's record of a request.
type simRequest struct {
	id       uint64
	key      string
	class    Class
	deadline time.Duration
	answered bool // by a completed attempt or by the dispatcher
	attempts []simAttempt
}

// simAttempt is the simulation's record of an attempt.
type simAttempt struct {
	worker    Endpoint
	at        time.Duration
	done      bool
	neverRan  bool
	cancelled bool
}

// newSimulation draws settings and workers, and starts a dispatcher.
func newSimulation(t *rapid.T) *simulation {
	classes := []Class{
		{Idempotency: Idempotent},
		{Idempotency: NonIdempotent},
		{Idempotency: Deduplicated, DedupScope: DedupEverywhere},
		{Idempotency: Deduplicated, DedupScope: DedupWithinZone},
		{Idempotency: Deduplicated, DedupScope: DedupWithinCell},
	}
	settings := Settings{
		Peers: 3, Tick: 2 * time.Millisecond,
		ListBySubscription: rapid.Bool().Draw(t, "ask"), ListPollInterval: 10 * time.Second,
		SlowStartFloor: 0.3, SlowStartDuration: 8 * time.Second,
		OverloadMultiple: 3, OverloadWindow: 2 * time.Second,
		MaxAttempts: rapid.IntRange(1, 5).Draw(t, "attempts"), Hedging: rapid.Bool().Draw(t, "hedging"),
		Cancellation: rapid.Bool().Draw(t, "cancel"), StartNotices: rapid.Bool().Draw(t, "start notices"),
		ProgressInterval: time.Second, WeightByWork: rapid.Bool().Draw(t, "by work"), OverQuotaWeight: 0.2,
		MaxRetryAfter: 2 * time.Second, ConnectTimeout: 200 * time.Millisecond, CrossZoneCost: 0.05,
	}
	if rapid.Bool().Draw(t, "tenants") {
		settings.TenantQuotas = []float64{5, 10}
	}
	settings.SaturatedMayHaveRun = rapid.Bool().Draw(t, "full is no proof")
	if rapid.Bool().Draw(t, "budget") {
		settings.RetryBudgetWindow = 2 * time.Second
		settings.RetryBudgetFloor = float64(rapid.IntRange(0, 2).Draw(t, "floor"))
		settings.RetryBudgetRatio = 0.2
	}
	order := rapid.Bool().Draw(t, "order")
	if order {
		cooldowns := []time.Duration{0, 300 * time.Millisecond}
		settings.KeyCooldown = rapid.SampledFrom(cooldowns).Draw(t, "cooldown")
	}
	for i, class := range classes {
		class.PriorityWeight = float64(i + 1)
		class.LateWeight = 0.3
		class.LatencyObjective = 200 * time.Millisecond
		class.ObjectiveStretch = 2
		class.Deadline = 5 * time.Second
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
	sim := &simulation{t: t, settings: settings, now: time.Hour, listed: map[string]Endpoint{}, nextID: 1}
	for i := range rapid.IntRange(1, 8).Draw(t, "workers") {
		name := fmt.Sprintf("w%d", i)
		sim.names = append(sim.names, name)
		sim.listed[name] = Endpoint{Name: name, Zone: i % 2, Kind: i % 2, Cell: i % 4, State: Running}
	}
	sim.restart()
	return sim
}

// restart replaces the dispatcher by one that knows nothing of the requests so far.
func (s *simulation) restart() {
	machine, err := New(s.settings, rapid.Uint64().Draw(s.t, "seed"))
	if err != nil {
		s.t.Fatal(err)
	}
	s.machine = machine
	s.requests = map[uint64]*simRequest{}
	s.arrivalOrder = nil
	s.timers = nil
	s.pending = nil
	s.watching = false
	s.arrivals = nil
	s.retries = nil
	s.cooldownUntil = map[string]time.Duration{}
	s.handle(Event{Kind: ListUpdated, ListKind: ListCached, Endpoints: s.entries()})
}

// entries returns the workers that are listed now.
func (s *simulation) entries() (list []Endpoint) {
	for _, name := range s.names {
		if endpoint := s.listed[name]; endpoint.State != Removed {
			list = append(list, endpoint)
		}
	}
	return list
}

// handle feeds an event and checks the actions.
func (s *simulation) handle(event Event) {
	for _, action := range s.machine.Handle(s.now, event, nil) {
		s.check(action)
	}
}

// check fails for an action that breaks a rule, and records it.
func (s *simulation) check(action Action) {
	request := s.requests[action.Request]
	switch action.Kind {
	case Assign:
		s.checkAssign(request, action)
	case Reject, Fail:
		if request == nil || request.answered {
			s.t.Fatalf("a second answer, or one for an unknown request: %+v", action)
		}
		if action.Delay < 0 {
			s.t.Fatalf("negative delay: %+v", action)
		}
		if action.Kind == Reject && !request.rejectable() {
			s.t.Fatalf("rejected though it may have run: %+v", request)
		}
		request.answered = true
	case CancelAttempt:
		if !s.settings.Cancellation || request == nil || action.Attempt >= len(request.attempts) {
			s.t.Fatalf("a stop that is not allowed or names no attempt: %+v", action)
		}
		request.attempts[action.Attempt].cancelled = true
	case SetTimer:
		if action.Delay < 0 {
			s.t.Fatalf("timer in the past: %+v", action)
		}
		s.timers = append(s.timers, simTimer{s.now + action.Delay, action.Timer})
	case Subscribe:
		if s.watching || !s.settings.ListBySubscription {
			s.t.Fatal("subscribed twice, or where the list is pushed")
		}
		s.watching = true
	case CheckHealth:
		s.t.Fatal("a health check where they are not allowed")
	}
}

// rejectable reports whether a repeat by the client is safe.
func (r *simRequest) rejectable() bool {
	for _, attempt := range r.attempts {
		mayRepeat := r.class.Idempotency == Idempotent ||
			r.class.Idempotency == Deduplicated && r.class.DedupScope == DedupEverywhere
		if !attempt.neverRan && !mayRepeat {
			return false
		}
	}
	return true
}

// checkAssign fails for an attempt that breaks a rule, and records it.
func (s *simulation) checkAssign(request *simRequest, action Action) {
	if request == nil || request.answered {
		s.t.Fatalf("work sent for a request that is answered or unknown: %+v", action)
	}
	endpoint, ok := s.listed[action.Worker]
	if !ok || endpoint.State != Running {
		s.t.Fatalf("work sent to a worker that is draining or gone: %+v %+v", action, endpoint)
	}
	if request.class.Kinds != nil && request.class.Kinds[0] != endpoint.Kind ||
		request.class.Zones != nil && request.class.Zones[0] != endpoint.Zone {
		s.t.Fatalf("a worker that is not open to the class: %+v", action)
	}
	s.checkSerialization(request)
	if len(request.attempts) > 0 {
		s.retries = append(s.retries, s.now)
		extra := 0
		taken := 0
		for _, at := range s.retries {
			if s.now-at <= s.settings.RetryBudgetWindow {
				extra++
			}
		}
		for _, at := range s.arrivals {
			if s.now-at < s.settings.RetryBudgetWindow {
				taken++
			}
		}
		if s.settings.RetryBudgetWindow > 0 &&
			float64(extra) > s.settings.RetryBudgetFloor+s.settings.RetryBudgetRatio*float64(taken) {
			s.t.Fatalf("%d further attempts for %d requests", extra, taken)
		}
	}
	if len(request.attempts) >= s.settings.MaxAttempts {
		s.t.Fatalf("too many attempts: %+v", action)
	}
	for _, attempt := range request.attempts {
		if !attempt.done && !s.settings.Hedging {
			s.t.Fatalf("a second attempt: %+v", action)
		}
		if attempt.neverRan || request.class.Idempotency == Idempotent {
			continue
		}
		same := request.class.DedupScope == DedupEverywhere ||
			request.class.DedupScope == DedupWithinZone && attempt.worker.Zone == endpoint.Zone ||
			request.class.DedupScope == DedupWithinCell && attempt.worker.Cell == endpoint.Cell &&
				attempt.worker.Zone == endpoint.Zone
		if request.class.Idempotency == NonIdempotent || !same ||
			s.now-attempt.at >= request.class.DedupWindow {
			s.t.Fatalf("an effect may happen twice: %+v", request)
		}
	}
	request.attempts = append(request.attempts, simAttempt{worker: endpoint, at: s.now})
}

// checkSerialization checks the order by key: all earlier requests of the key are over, and so is its
// cooldown.
func (s *simulation) checkSerialization(request *simRequest) {
	if request.key == "" || !request.class.Serialized {
		return
	}
	for _, id := range s.arrivalOrder {
		earlier := s.requests[id]
		if earlier == request {
			break
		}
		if !earlier.class.Serialized || earlier.key != request.key {
			continue
		}
		if !earlier.answered ||
			slices.ContainsFunc(earlier.attempts, func(attempt simAttempt) bool { return !attempt.done }) {
			s.t.Fatalf("sent out of order: %+v before %+v", request, earlier)
		}
	}
	if len(request.attempts) == 0 && s.now < s.cooldownUntil[request.key] {
		s.t.Fatalf("the key's cooldown is not over: %+v", request)
	}
}

// advance moves the clock in ticks; deadlines and timers come due on the way.
func (s *simulation) advance(span time.Duration) {
	for end := s.now + span; s.now < end; {
		s.now += s.settings.Tick
		var batch []Event
		for _, id := range s.arrivalOrder {
			request := s.requests[id]
			if s.now < request.deadline {
				continue
			}
			for n := range request.attempts {
				if !request.attempts[n].done {
					batch = append(batch, s.endAttempt(request, n, TimedOut))
				}
			}
		}
		rest := s.timers[:0]
		for _, t := range s.timers {
			if t.at <= s.now {
				batch = append(batch, Event{Kind: TimerFired, Timer: t.token})
			} else {
				rest = append(rest, t)
			}
		}
		s.timers = append([]simTimer(nil), rest...)
		for _, event := range batch {
			s.handle(event)
		}
		for _, id := range s.arrivalOrder {
			if request := s.requests[id]; !request.answered && s.now >= request.deadline+answerSlack+s.stall {
				s.t.Fatalf("request lost: %+v", request)
			}
		}
	}
}

// endAttempt records the outcome of an attempt and returns its event.
func (s *simulation) endAttempt(request *simRequest, n int, outcome AttemptOutcome) Event {
	attempt := &request.attempts[n]
	attempt.done = true
	attempt.neverRan = outcome == Saturated && !s.settings.SaturatedMayHaveRun ||
		outcome == ConnectionRefused || outcome == NotSent
	if request.class.Serialized &&
		(outcome == TimedOut || outcome == ConnectionLost || outcome == Cancelled) {
		s.cooldownUntil[request.key] = s.now + s.settings.KeyCooldown
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
func (s *simulation) drawOutstanding() (request *simRequest, n int, ok bool) {
	var all [][2]int
	for i, id := range s.arrivalOrder {
		for n := range s.requests[id].attempts {
			if !s.requests[id].attempts[n].done {
				all = append(all, [2]int{i, n})
			}
		}
	}
	if len(all) == 0 {
		return nil, 0, false
	}
	at := rapid.SampledFrom(all).Draw(s.t, "attempt")
	return s.requests[s.arrivalOrder[at[0]]], at[1], true
}

// Whatever clients, workers and discovery do, each action keeps the rules, each request gets its answer,
// and nothing is held once all has ended.
func TestRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			sim.step()
		}
		sim.advance(6 * time.Second) // past every deadline
		for _, request := range sim.requests {
			if !request.answered {
				t.Fatalf("no answer: %+v", request)
			}
		}
		if n := len(sim.machine.requests) + len(sim.machine.queue.waiting); n != 0 {
			t.Fatalf("%d requests held after all have ended", n)
		}
		sim.advance(sim.settings.KeyCooldown + 2*sim.settings.Tick)
		if n := len(sim.machine.serializer.queues) + len(sim.machine.serializer.coolingDown); n != 0 {
			t.Fatalf("%d keys held after all have ended and cooled down", n)
		}
		if slots := sim.machine.ceilings.inFlight; slots != 0 {
			t.Fatalf("%v slots in flight after all have ended", slots)
		}
	})
}

// step lets one thing happen.
func (s *simulation) step() {
	t := s.t
	switch rapid.IntRange(0, 16).Draw(t, "step") {
	case 16: // a stall: no turn for a while, then all that came meanwhile at once, timers last or first
		stall := time.Duration(rapid.IntRange(1, 200).Draw(t, "stall")) * s.settings.Tick
		s.now += stall
		if rapid.Bool().Draw(t, "timers first") {
			s.now -= s.settings.Tick
			s.stall = stall
			s.advance(s.settings.Tick)
		}
		for range rapid.IntRange(1, 5).Draw(t, "late events") {
			s.arrive()
			if request, n, ok := s.drawOutstanding(); ok {
				s.handle(
					s.endAttempt(
						request,
						n,
						rapid.SampledFrom([]AttemptOutcome{Completed, Saturated, ConnectionLost}).
							Draw(t, "late outcome"),
					),
				)
			}
		}
	case 0, 1, 2, 3, 4:
		s.arrive()
	case 5, 6, 7, 8:
		if request, n, ok := s.drawOutstanding(); ok {
			outcome := rapid.SampledFrom([]AttemptOutcome{
				Completed, Completed, Failed, Saturated, TimedOut,
				ConnectionRefused, ConnectionLost, Cancelled,
			}).Draw(t, "outcome")
			if outcome == Cancelled && !request.attempts[n].cancelled {
				outcome = ConnectionLost
			}
			event := s.endAttempt(request, n, outcome)
			if rapid.Bool().Draw(t, "hang up in the same batch") && !request.answered {
				s.handle(Event{Kind: ClientDisconnected, Request: request.id})
				request.answered = true
				event.Answered = true
			}
			s.handle(event)
			s.handle(event) // a late echo must change nothing
		}
	case 9:
		if request, n, ok := s.drawOutstanding(); ok {
			kind := rapid.SampledFrom([]EventKind{AttemptStarted, AttemptProgressed}).Draw(t, "report")
			s.handle(
				Event{Kind: kind, Request: request.id, Attempt: n, Worker: request.attempts[n].worker.Name,
					Fraction: rapid.SampledFrom([]float64{-1, 0, 0.5, 1, 7}).Draw(t, "fraction")},
			)
		}
	case 10, 11:
		s.changeList()
	case 12:
		if s.settings.ListBySubscription && s.watching {
			s.watching = false
			s.handle(Event{Kind: ListUpdated, ListKind: ListFailed})
		}
	case 13:
		if rapid.IntRange(0, 5).Draw(t, "crash") == 0 {
			s.restart()
		}
		s.handle(Event{Kind: ClientDisconnected, Request: 1 << 50})
		s.handle(Event{Kind: AttemptEnded, Request: 1 << 50, Worker: "unknown"})
		s.handle(Event{Kind: TimerFired, Timer: 1 << 50})
	default:
		s.advance(time.Duration(rapid.SampledFrom([]int{1, 5, 50, 400}).Draw(t, "ticks")) * s.settings.Tick)
	}
}

// arrive brings a burst of requests of one class.
func (s *simulation) arrive() {
	t := s.t
	n := rapid.IntRange(0, len(s.settings.Classes)-1).Draw(t, "class")
	left := rapid.SampledFrom([]time.Duration{
		-time.Second, 0, time.Millisecond, 300 * time.Millisecond, 5 * time.Second,
	}).Draw(t, "left")
	for range rapid.IntRange(1, 12).Draw(t, "burst") {
		request := &simRequest{id: s.nextID, class: s.settings.Classes[n], deadline: s.now + max(left, 0)}
		s.nextID++
		if rapid.Bool().Draw(t, "keyed") {
			request.key = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
		}
		s.arrivals = append(s.arrivals, s.now)
		s.requests[request.id] = request
		s.arrivalOrder = append(s.arrivalOrder, request.id)
		s.handle(Event{
			Kind: RequestArrived, Request: request.id, Class: n, TimeLeft: left,
			Tenant: rapid.IntRange(-1, 2).Draw(t, "tenant"),
			Slots:  rapid.SampledFrom([]float64{1, 2, 4, 0, -3, 1e18}).Draw(t, "slots"),
			Work: rapid.SampledFrom([]time.Duration{0, -1, time.Millisecond, time.Second, 1 << 62}).
				Draw(t, "work"),
			ClientRetry: rapid.Bool().Draw(t, "retry"), Key: request.key,
		})
	}
}

// changeList changes what is listed of one worker, and tells the dispatcher.
func (s *simulation) changeList() {
	if s.settings.ListBySubscription && !s.watching {
		return
	}
	name := rapid.SampledFrom(s.names).Draw(s.t, "worker")
	endpoint := s.listed[name]
	states := []WorkerState{Running, Running, Draining, Removed}
	endpoint.State = rapid.SampledFrom(states).Draw(s.t, "state")
	if endpoint.State == Running && rapid.Bool().Draw(s.t, "restart") {
		endpoint.StartedAt = s.now - time.Duration(rapid.IntRange(0, 9).Draw(s.t, "age"))*time.Second
	}
	s.listed[name] = endpoint
	if rapid.Bool().Draw(s.t, "complete") {
		s.handle(Event{Kind: ListUpdated, ListKind: ListSnapshot, Endpoints: s.entries()})
	} else {
		s.handle(Event{Kind: ListUpdated, ListKind: ListDelta, Endpoints: []Endpoint{endpoint}})
	}
}
