package decision

import (
	"fmt"
	"time"

	"pgregory.net/rapid"
)

// simulation plays the clients, the workers and discovery for one dispatcher, and checks the dispatcher's
// actions against the rules. Its record of what was sent and reported is independent of the machine's.
type simulation struct {
	t             *rapid.T
	settings      Settings
	machine       *Machine
	now           time.Duration
	listed        map[string]Endpoint // each worker as last listed, including removed ones
	names         []string
	lateBy        time.Duration // length of the latest stall; responses may be late by as much
	requests      map[uint64]*simRequest
	arrivalOrder  []uint64
	nextID        uint64
	timers        []simTimer
	subscribed    bool
	arrivals      []time.Duration          // arrival times of the requests since the last restart
	retries       []time.Duration          // times of all attempts but each request's first, as arrivals
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
	answered bool // by a completed attempt or by the dispatcher, or the client has disconnected
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
	sim := &simulation{
		t:        t,
		settings: drawSettings(t),
		now:      time.Hour,
		listed:   map[string]Endpoint{},
		nextID:   1,
	}
	for i := range rapid.IntRange(1, 8).Draw(t, "workers") {
		name := fmt.Sprintf("w%d", i)
		sim.names = append(sim.names, name)
		sim.listed[name] = Endpoint{Name: name, Zone: i % 2, Kind: i % 2, Cell: i % 4, State: Running}
	}
	sim.restart()
	return sim
}

// drawSettings draws settings with a class for each kind of idempotency.
func drawSettings(t *rapid.T) Settings {
	settings := Settings{
		Peers:              3,
		Tick:               2 * time.Millisecond,
		ListBySubscription: rapid.Bool().Draw(t, "list by subscription"),
		ListPollInterval:   10 * time.Second,
		SlowStartFloor:     0.3,
		SlowStartDuration:  8 * time.Second,
		OverloadMultiple:   3,
		OverloadWindow:     2 * time.Second,
		MaxAttempts:        rapid.IntRange(1, 5).Draw(t, "attempts"),
		Hedging:            rapid.Bool().Draw(t, "hedging"),
		Cancellation:       rapid.Bool().Draw(t, "cancel"),
		StartNotices:       rapid.Bool().Draw(t, "start notices"),
		ProgressInterval:   time.Second,
		WeightByWork:       rapid.Bool().Draw(t, "weight by work"),
		OverQuotaWeight:    0.2,
		MaxRetryAfter:      2 * time.Second,
		ConnectTimeout:     200 * time.Millisecond,
		CrossZoneCost:      0.05,
	}
	if rapid.Bool().Draw(t, "tenants") {
		settings.TenantQuotas = []float64{5, 10}
	}
	settings.SaturatedMayHaveRun = rapid.Bool().Draw(t, "saturated may have run")
	if rapid.Bool().Draw(t, "budget") {
		settings.RetryBudgetWindow = 2 * time.Second
		settings.RetryBudgetFloor = float64(rapid.IntRange(0, 2).Draw(t, "floor"))
		settings.RetryBudgetRatio = 0.2
	}
	serialized := rapid.Bool().Draw(t, "serialized")
	if serialized {
		cooldowns := []time.Duration{0, 300 * time.Millisecond}
		settings.KeyCooldown = rapid.SampledFrom(cooldowns).Draw(t, "cooldown")
	}
	settings.Classes = drawClasses(t, serialized)
	return settings
}

// drawClasses draws a class for each kind of idempotency. If serialized, all classes but one are serialized.
func drawClasses(t *rapid.T, serialized bool) []Class {
	classes := []Class{
		{Idempotency: Idempotent},
		{Idempotency: NonIdempotent},
		{Idempotency: Deduplicated, DedupScope: DedupEverywhere},
		{Idempotency: Deduplicated, DedupScope: DedupWithinZone},
		{Idempotency: Deduplicated, DedupScope: DedupWithinCell},
	}
	for i := range classes {
		class := &classes[i]
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
		class.Serialized = i != 2 && serialized
	}
	return classes
}

// restart replaces the dispatcher by one that does not know the requests so far.
func (s *simulation) restart() {
	machine, err := New(s.settings, rapid.Uint64().Draw(s.t, "seed"))
	if err != nil {
		s.t.Fatal(err)
	}
	s.machine = machine
	s.requests = map[uint64]*simRequest{}
	s.arrivalOrder = nil
	s.timers = nil

	s.subscribed = false
	s.arrivals = nil
	s.retries = nil
	s.cooldownUntil = map[string]time.Duration{}
	s.handle(Event{Kind: ListUpdated, ListKind: ListCached, Endpoints: s.entries()})
}

// entries returns the endpoint list as it is now, without removed workers.
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

// advance moves the clock in ticks, and handles the deadlines and timers that become due.
func (s *simulation) advance(span time.Duration) {
	for end := s.now + span; s.now < end; {
		s.now += s.settings.Tick
		events := append(s.attemptsTimedOut(), s.timersDue()...)
		for _, event := range events {
			s.handle(event)
		}
		s.checkAllAnswered()
	}
}

// attemptsTimedOut ends the outstanding attempts of the requests whose deadline has passed, and returns the
// events.
func (s *simulation) attemptsTimedOut() (events []Event) {
	for _, id := range s.arrivalOrder {
		request := s.requests[id]
		if s.now < request.deadline {
			continue
		}
		for n := range request.attempts {
			if !request.attempts[n].done {
				events = append(events, s.endAttempt(request, n, TimedOut))
			}
		}
	}
	return events
}

// timersDue removes the timers that are due, and returns their events.
func (s *simulation) timersDue() (events []Event) {
	var left []simTimer
	for _, timer := range s.timers {
		if timer.at <= s.now {
			events = append(events, Event{Kind: TimerFired, Timer: timer.token})
		} else {
			left = append(left, timer)
		}
	}
	s.timers = left
	return events
}

// checkAllAnswered checks that each request has its response once its deadline and the tolerance have passed.
func (s *simulation) checkAllAnswered() {
	for _, id := range s.arrivalOrder {
		if request := s.requests[id]; !request.answered && s.now >= request.deadline+responseSlack+s.lateBy {
			s.t.Fatalf("no response after the deadline: %+v", request)
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

// drawOutstanding draws one of the outstanding attempts, if there are any, and returns its request and its
// number.
func (s *simulation) drawOutstanding() (request *simRequest, n int, ok bool) {
	type outstanding struct {
		request *simRequest
		attempt int
	}
	var all []outstanding
	for _, id := range s.arrivalOrder {
		request := s.requests[id]
		for n := range request.attempts {
			if !request.attempts[n].done {
				all = append(all, outstanding{request, n})
			}
		}
	}
	if len(all) == 0 {
		return nil, 0, false
	}
	drawn := rapid.SampledFrom(all).Draw(s.t, "attempt")
	return drawn.request, drawn.attempt, true
}

// step simulates one random event.
func (s *simulation) step() {
	t := s.t
	switch rapid.IntRange(0, 16).Draw(t, "step") {
	case 0, 1, 2, 3, 4:
		s.arrive()
	case 5, 6, 7, 8:
		s.endOneAttempt()
	case 9:
		s.reportProgress()
	case 10, 11:
		s.changeList()
	case 12:
		s.breakSubscription()
	case 13:
		if rapid.IntRange(0, 5).Draw(t, "crash") == 0 {
			s.restart()
		}
		// Events with unknown IDs, as a dispatcher may get after a restart.
		s.handle(Event{Kind: ClientDisconnected, Request: 1 << 50})
		s.handle(Event{Kind: AttemptEnded, Request: 1 << 50, Worker: "unknown"})
		s.handle(Event{Kind: TimerFired, Timer: 1 << 50})
	case 16:
		s.stallProcess()
	default:
		s.advance(time.Duration(rapid.SampledFrom([]int{1, 5, 50, 400}).Draw(t, "ticks")) * s.settings.Tick)
	}
}

// endOneAttempt ends an outstanding attempt. Its client may disconnect at the same moment.
func (s *simulation) endOneAttempt() {
	request, n, ok := s.drawOutstanding()
	if !ok {
		return
	}
	outcome := rapid.SampledFrom([]AttemptOutcome{
		Completed, Completed, Failed, Saturated, TimedOut,
		ConnectionRefused, ConnectionLost, Cancelled,
	}).Draw(s.t, "outcome")
	if outcome == Cancelled && !request.attempts[n].cancelled {
		outcome = ConnectionLost
	}
	event := s.endAttempt(request, n, outcome)
	if rapid.Bool().Draw(s.t, "client disconnects") && !request.answered {
		s.handle(Event{Kind: ClientDisconnected, Request: request.id})
		request.answered = true
		event.Answered = true
	}
	s.handle(event)
	s.handle(event) // a duplicate of the event must have no effect
}

// reportProgress reports the start or the progress of an outstanding attempt. Fractions may be out of range.
func (s *simulation) reportProgress() {
	request, n, ok := s.drawOutstanding()
	if !ok {
		return
	}
	kind := rapid.SampledFrom([]EventKind{AttemptStarted, AttemptProgressed}).Draw(s.t, "report")
	s.handle(Event{
		Kind:     kind,
		Request:  request.id,
		Attempt:  n,
		Worker:   request.attempts[n].worker.Name,
		Fraction: rapid.SampledFrom([]float64{-1, 0, 0.5, 1, 7}).Draw(s.t, "fraction"),
	})
}

// breakSubscription ends the subscription to the list, if there is one.
func (s *simulation) breakSubscription() {
	if s.settings.ListBySubscription && s.subscribed {
		s.subscribed = false
		s.handle(Event{Kind: ListUpdated, ListKind: ListFailed})
	}
}

// stallProcess simulates a stall of the process. Afterwards all events that arrived meanwhile are handled at
// once. The timers that are due come before or after them.
func (s *simulation) stallProcess() {
	stall := time.Duration(rapid.IntRange(1, 200).Draw(s.t, "stall")) * s.settings.Tick
	s.now += stall
	if rapid.Bool().Draw(s.t, "timers first") {
		s.now -= s.settings.Tick
		s.lateBy = stall
		s.advance(s.settings.Tick)
	}
	for range rapid.IntRange(1, 5).Draw(s.t, "late events") {
		s.arrive()
		request, n, ok := s.drawOutstanding()
		if !ok {
			continue
		}
		outcomes := []AttemptOutcome{Completed, Saturated, ConnectionLost}
		outcome := rapid.SampledFrom(outcomes).Draw(s.t, "late outcome")
		s.handle(s.endAttempt(request, n, outcome))
	}
}

// arrive delivers a burst of requests of one class. Their time left, slots and work may be out of range.
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

// changeList changes the list entry of one worker, and delivers the list to the dispatcher.
func (s *simulation) changeList() {
	if s.settings.ListBySubscription && !s.subscribed {
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
