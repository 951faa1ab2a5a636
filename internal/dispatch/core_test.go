package dispatch

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/settings"
)

// model follows the reqs of one core. It is the front and the carrier, too.
type model struct {
	t      *testing.T
	now    time.Duration // the loop's clock
	core   *Dispatcher
	reqs   []*modelReq
	out    map[uint64]*modelReq // by attempt
	order  []uint64             // attempts that are out
	states map[string]decision.WorkerState
}

type modelReq struct {
	handle   uint64
	class    int
	answers  int
	verdict  Outcome
	hungUp   bool
	ran, out int // attempts that may have run, and that are out
	released int
}

func (m *model) Respond(token uint64, a Response) {
	r := m.reqs[token]
	r.answers++
	r.verdict = a.Outcome
	if r.answers > 1 || r.hungUp {
		m.t.Fatalf("req %d: %d answers, hung up: %v", token, r.answers, r.hungUp)
	}
	if a.Outcome == Rejected && r.class == 1 && r.ran+r.out > 0 {
		m.t.Fatalf("req %d: refused though it may have run", token)
	}
	if a.MayHaveRun != (r.ran+r.out > 0) {
		m.t.Fatalf("req %d: may have run: %v, but %d ran and %d are out", token, a.MayHaveRun, r.ran, r.out)
	}
}

func (m *model) Start(f Attempt) {
	r := m.reqs[f.Request.Body[0]]
	if m.states[f.Worker] != decision.Running {
		m.t.Fatalf("an attempt for %s, which is %v", f.Worker, m.states[f.Worker])
	}
	if r.class == 1 && r.ran+r.out > 0 {
		m.t.Fatalf("a fragile req sent on again: %d ran, %d out", r.ran, r.out)
	}
	if r.answers > 0 || r.hungUp || r.released > 0 {
		m.t.Fatalf("a req that is over was sent on")
	}
	r.out++
	m.out[f.Handle] = r
	m.order = append(m.order, f.Handle)
}

// take removes an attempt from those out.
func (m *model) take(handle uint64) *modelReq {
	r := m.out[handle]
	delete(m.out, handle)
	m.order = slices.DeleteFunc(m.order, func(h uint64) bool { return h == handle })
	r.out--
	return r
}

func (m *model) Cancel(handle uint64) bool {
	r := m.take(handle)
	if handle%3 == 0 {
		return true // as if its request had not left
	}
	r.ran++
	return false
}

func (m *model) end(handle uint64, o decision.AttemptOutcome) {
	r := m.take(handle)
	if o != decision.Saturated && o != decision.ConnectionRefused {
		r.ran++
	}
	m.core.AttemptEnded(handle, o, decision.LoadReport{}, nil)
	m.core.AttemptEnded(handle, decision.Completed, decision.LoadReport{}, nil) // a second end must change nothing
}

func (m *model) CloseIdle(string)   {}
func (m *model) CheckHealth(string) {}
func (m *model) Subscribe()         {}
func (m *model) advance(span int)   { m.now += time.Duration(span) * time.Millisecond }

// FuzzReqs checks random steps against the model: one final answer each, nothing
// that may have run is repeated or refused against its class, nothing is kept.
func FuzzReqs(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 1, 2, 0, 9, 0})
	f.Add([]byte{1, 0, 1, 0, 0, 0, 2, 4, 2, 5, 0, 1, 3, 0, 9, 60, 9, 250})
	f.Add([]byte{0, 0, 1, 1, 2, 6, 2, 6, 2, 6, 9, 200, 5, 0, 5, 1, 9, 250})
	f.Add([]byte{0, 1, 0, 1, 0, 1, 6, 0, 6, 1, 0, 0, 7, 0, 9, 9, 2, 0, 2, 1, 4, 0, 9, 255})
	f.Fuzz(func(t *testing.T, steps []byte) {
		if len(steps) > 400 {
			return
		}
		m := &model{t: t, now: time.Hour, out: map[uint64]*modelReq{}, states: map[string]decision.WorkerState{}}
		c, err := New(eventloop.NewVirtual(func() time.Duration { return m.now }), decision.Settings{
			Classes: []decision.Class{
				{PriorityWeight: 3, LateWeight: 0.25, LatencyObjective: 300 * time.Millisecond, Deadline: 2 * time.Second},
				{PriorityWeight: 5, LateWeight: 0.5, LatencyObjective: 300 * time.Millisecond, Deadline: 3 * time.Second, Idempotency: decision.NonIdempotent},
			},
			Tick: time.Millisecond, MaxAttempts: 3, Hedging: true, Cancellation: len(steps)%2 == 0, StartNotices: true,
			ProgressInterval: 100 * time.Millisecond, ConnectTimeout: 50 * time.Millisecond, MaxRetryAfter: time.Second,
		}, 7)
		if err != nil {
			t.Fatal(err)
		}
		m.core = c
		c.AddSource(m)
		change := func(name string, s decision.WorkerState) {
			m.states[name] = s
			c.UpdateWorkers(m, decision.ListDelta, []decision.Endpoint{{Name: name, State: s}})
		}
		change("a", decision.Running)
		change("b", decision.Running)
		for i := 0; i+1 < len(steps); i += 2 {
			x := int(steps[i+1])
			switch steps[i] % 10 {
			case 0: // a req comes
				if len(m.reqs) > 200 {
					continue
				}
				r := &modelReq{class: x % 2}
				m.reqs = append(m.reqs, r)
				n := len(m.reqs) - 1
				r.handle = c.Accept(m, uint64(n), Request{
					Class: x % 2, Body: []byte{byte(n)}, TimeLeft: time.Duration(x) * 20 * time.Millisecond,
					Work: time.Duration(x%7) * 10 * time.Millisecond, Release: func() { r.released++ },
				})
			case 1, 2: // an attempt ends
				if len(m.order) > 0 {
					m.end(m.order[x/8%len(m.order)], []decision.AttemptOutcome{0, 1, 2, 3, 4, 5, decision.InvalidRequest}[x%7])
				}
			case 3: // an attempt tells its start, or its progress
				if len(m.order) > 0 {
					c.AttemptStarted(m.order[x%len(m.order)])
					c.AttemptProgressed(m.order[x%len(m.order)], float64(x)/255)
				}
			case 4, 5: // a client hangs up
				if len(m.reqs) > 0 {
					r := m.reqs[x%len(m.reqs)]
					r.hungUp = r.hungUp || r.answers == 0
					c.Cancel(r.handle)
				}
			case 6: // a backend comes, drains or goes
				change([]string{"a", "b", "c"}[x%3], decision.WorkerState(x/3%3))
			case 7:
				c.UpdateWorkers(m, decision.ListFailed, nil)
			default: // time passes
				m.advance(x * 4)
				c.Loop.RunOnce()
			}
		}
		for range 8 { // all deadlines pass
			m.advance(1000)
			c.Loop.RunOnce()
		}
		for len(m.order) > 0 {
			m.end(m.order[0], decision.ConnectionLost)
		}
		for i, r := range m.reqs {
			if r.answers == 0 != r.hungUp || r.released != 1 {
				t.Fatalf("req %d: %d answers, hung up: %v, released %d times", i, r.answers, r.hungUp, r.released)
			}
		}
		if n := c.Counts(); c.Unanswered() != 0 || c.reqs.Len() != 0 || c.outstanding.Len() != 0 ||
			n.Accepted != n.Served+n.Rejected+n.Failed+n.Cancelled {
			t.Fatalf("owed %d, reqs %d, attempts %d, counts %+v", c.Unanswered(), c.reqs.Len(), c.outstanding.Len(), n)
		}
	})
}

// The latest names stay known when their reqs are over; the number kept is bounded.
func TestNamesAreBounded(t *testing.T) {
	c, err := New(eventloop.New(), decision.Settings{Classes: []decision.Class{{Deadline: time.Second}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	m := &model{t: t, core: c, reqs: make([]*modelReq, 2*pastIDs)}
	name := func(i int) string { return string(rune('a'+i%20)) + time.Duration(i).String() }
	for i := range m.reqs {
		m.reqs[i] = &modelReq{}
		handle := c.Accept(m, uint64(i), Request{ID: name(i)})
		if !c.IsKnownID(name(i)) {
			t.Fatalf("%d is open, but unknown", i)
		}
		if m.reqs[i].answers == 0 {
			m.reqs[i].hungUp = true
			c.Cancel(handle)
		}
	}
	last := len(m.reqs) - 1
	if !c.IsKnownID(name(last)) || !c.IsKnownID(name(last-pastIDs+1)) || c.IsKnownID(name(last-pastIDs)) || c.IsKnownID("other") {
		t.Error("the latest names are not those known")
	}
	if len(c.ids.open) != 0 || len(c.ids.past) != pastIDs {
		t.Errorf("%d open, %d past", len(c.ids.open), len(c.ids.past))
	}
}

// Two sources of backends do not overwrite each other's lists.
func TestSourcesKeepTheirOwnLists(t *testing.T) {
	c, err := New(eventloop.New(), decision.Settings{Classes: []decision.Class{{Deadline: time.Second}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	a, b := &model{core: c}, &model{core: c}
	c.UpdateWorkers(a, decision.ListSnapshot, []decision.Endpoint{{Name: "a1"}, {Name: "a2"}})
	c.UpdateWorkers(b, decision.ListDelta, []decision.Endpoint{{Name: "b1"}, {Name: "b2", State: decision.Draining}})
	c.UpdateWorkers(a, decision.ListSnapshot, []decision.Endpoint{{Name: "a2"}})
	if len(c.listed) != 3 || c.listed["b1"].source != b || c.ReadyWorkers() != 2 {
		t.Fatalf("listed %v", c.listed)
	}
	c.UpdateWorkers(b, decision.ListDelta, []decision.Endpoint{{Name: "b1", State: decision.Removed}})
	if len(c.listed) != 2 || c.ReadyWorkers() != 1 {
		t.Fatalf("listed %v", c.listed)
	}
}

// windows is a carrier that keeps what it is told of the windows for repeats.
type windows struct {
	model
	got []Attempt
}

func (w *windows) Start(f Attempt) { w.got = append(w.got, f) }

// A repeat must leave within the window of the first attempt that may have run,
// less the way there; an attempt that never ran opens none. No other class is bound.
func TestRepeatsKeepToTheWindow(t *testing.T) {
	const window, connect = 2 * time.Second, 200 * time.Millisecond
	for _, x := range []struct {
		name   string
		repeat decision.Idempotency
		ends   []decision.AttemptOutcome
		opened []int // the attempt whose window binds; -1: none
	}{
		{"may have run at once", decision.Deduplicated, []decision.AttemptOutcome{decision.Failed}, []int{-1, 0}},
		{"never ran", decision.Deduplicated, []decision.AttemptOutcome{decision.ConnectionRefused}, []int{-1, -1}},
		{"may be repeated", decision.Idempotent, []decision.AttemptOutcome{decision.Failed}, []int{-1, -1}},
		{"must not run twice", decision.NonIdempotent, []decision.AttemptOutcome{decision.ConnectionRefused}, []int{-1, -1}},
	} {
		now := time.Hour
		c, err := New(eventloop.NewVirtual(func() time.Duration { return now }), decision.Settings{
			Classes: []decision.Class{{PriorityWeight: 3, LatencyObjective: 300 * time.Millisecond, Deadline: 9 * time.Second, Idempotency: x.repeat, DedupWindow: window}},
			Tick:    time.Millisecond, MaxAttempts: 4, Cancellation: true, ConnectTimeout: connect, MaxRetryAfter: time.Second,
		}, 7)
		if err != nil {
			t.Fatal(err)
		}
		w := &windows{}
		w.states = map[string]decision.WorkerState{}
		c.AddSource(w)
		c.UpdateWorkers(w, decision.ListSnapshot, []decision.Endpoint{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}})
		c.Accept(answers(func(Response) {}), 0, Request{ID: "one", TimeLeft: 9 * time.Second, Work: 10 * time.Millisecond})
		var at []time.Duration
		for i, o := range x.ends {
			for len(w.got) == i {
				now += time.Millisecond
				if c.Loop.RunOnce(); now > time.Hour+window {
					t.Fatalf("%s: attempt %d does not come", x.name, i)
				}
			}
			at = append(at, now)
			now += 50 * time.Millisecond
			c.AttemptEnded(w.got[i].Handle, o, decision.LoadReport{}, nil)
		}
		for len(w.got) == len(x.ends) {
			now += time.Millisecond
			if c.Loop.RunOnce(); now > time.Hour+window {
				t.Fatalf("%s: the last attempt does not come", x.name)
			}
		}
		for i, f := range w.got {
			want := time.Duration(0)
			if n := x.opened[i]; n >= 0 {
				want = at[n] + window - connect/2
			}
			if f.RepeatBy != want || f.RepeatUnsafe != (x.repeat != decision.Idempotent) {
				t.Errorf("%s: attempt %d until %v, want %v; settled %v", x.name, i, f.RepeatBy-time.Hour, want-time.Hour, f.RepeatUnsafe)
			}
		}
		for _, y := range []struct {
			attempts []attempt
			want     time.Duration
		}{
			{[]attempt{{at: 9, neverRan: true}, {at: 20}, {at: 10}}, 10 + window - connect/2},
			{[]attempt{{at: 9, neverRan: true}, {at: 20, neverRan: true}}, 0},
		} {
			if x.repeat != decision.Deduplicated {
				y.want = 0
			}
			if got := c.until(&req{attempts: y.attempts}); got != y.want {
				t.Errorf("%s: after %v until %v, want %v", x.name, y.attempts, got, y.want)
			}
		}
	}
}

// answers is a front that calls the test on each answer.
type answers func(Response)

func (f answers) Respond(_ uint64, a Response) { f(a) }

// The number of backends that take new work is kept by difference; it must be that of a count anew.
func TestBackendsAreCountedByDifference(t *testing.T) {
	c, err := New(eventloop.New(), decision.Settings{Classes: []decision.Class{{Deadline: time.Second}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	one, other := &model{t: t, core: c}, &model{t: t, core: c}
	entry := func(name string, state decision.WorkerState) decision.Endpoint {
		return decision.Endpoint{Name: name, State: state}
	}
	const running, stopping, deleted = decision.Running, decision.Draining, decision.Removed
	for i, step := range []struct {
		source  *model
		kind    decision.ListKind
		entries []decision.Endpoint
		want    int
	}{
		{one, decision.ListCached, []decision.Endpoint{entry("a", running), entry("b", stopping), entry("a", running)}, 1},
		{other, decision.ListSnapshot, []decision.Endpoint{entry("c", running), entry("d", running)}, 3},
		{one, decision.ListDelta, []decision.Endpoint{entry("b", running), entry("a", stopping), entry("e", deleted)}, 3},
		{one, decision.ListDelta, []decision.Endpoint{entry("b", deleted), entry("b", deleted), entry("a", stopping)}, 2},
		{other, decision.ListSnapshot, []decision.Endpoint{entry("d", running)}, 1},
		{one, decision.ListFailed, nil, 1},
		{other, decision.ListSnapshot, nil, 0},
	} {
		c.UpdateWorkers(step.source, step.kind, step.entries)
		anew := 0
		for _, l := range c.listed {
			if l.entry.State == running {
				anew++
			}
		}
		if c.ReadyWorkers() != step.want || anew != step.want {
			t.Errorf("step %d: %d backends take new work, counted anew %d, want %d", i, c.ReadyWorkers(), anew, step.want)
		}
	}
}

// Settings change while a request is open, or not at all.
func TestReconfigure(t *testing.T) {
	class := decision.Class{PriorityWeight: 1, Deadline: time.Second}
	c, err := New(eventloop.New(), decision.Settings{Classes: []decision.Class{class}, TenantQuotas: []float64{5}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	change := func(key, value string) settings.Change {
		return settings.Change{Key: key, Value: json.RawMessage(value)}
	}
	before := c.Settings
	err = c.Reconfigure([]settings.Change{change("projects[0].quota_per_s", "7"), change("classes[1].worth", "2")})
	if err == nil || !strings.Contains(err.Error(), "classes[1].worth") || !reflect.DeepEqual(c.Settings, before) {
		t.Fatalf("%v, %+v", err, c.Settings)
	}
	err = c.Reconfigure([]settings.Change{change("projects[0].quota_per_s", "7"), change("classes[0].worth", "2")})
	if err != nil || c.Settings.TenantQuotas[0] != 7 || c.Settings.Classes[0].PriorityWeight != 2 || before.TenantQuotas[0] != 5 {
		t.Fatalf("%v, %+v, before %+v", err, c.Settings, before)
	}
}
