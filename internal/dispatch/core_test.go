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
	core   *Core
	reqs   []*modelReq
	out    map[uint64]*modelReq // by attempt
	order  []uint64             // attempts that are out
	states map[string]decision.WorkerState
}

type modelReq struct {
	handle   uint64
	class    int
	answers  int
	verdict  Verdict
	hungUp   bool
	ran, out int // attempts that may have run, and that are out
	released int
}

func (m *model) Answer(token uint64, a Answer) {
	r := m.reqs[token]
	r.answers++
	r.verdict = a.Verdict
	if r.answers > 1 || r.hungUp {
		m.t.Fatalf("req %d: %d answers, hung up: %v", token, r.answers, r.hungUp)
	}
	if a.Verdict == Refused && r.class == 1 && r.ran+r.out > 0 {
		m.t.Fatalf("req %d: refused though it may have run", token)
	}
	if a.MayHaveRun != (r.ran+r.out > 0) {
		m.t.Fatalf("req %d: may have run: %v, but %d ran and %d are out", token, a.MayHaveRun, r.ran, r.out)
	}
}

func (m *model) Start(f Attempt) {
	r := m.reqs[f.Job.Body[0]]
	if m.states[f.Backend] != decision.Running {
		m.t.Fatalf("an attempt for %s, which is %v", f.Backend, m.states[f.Backend])
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

func (m *model) Stop(handle uint64) bool {
	r := m.take(handle)
	if handle%3 == 0 {
		return true // as if its request had not left
	}
	r.ran++
	return false
}

func (m *model) end(handle uint64, o decision.Outcome) {
	r := m.take(handle)
	if o != decision.Saturated && o != decision.RefusedConn {
		r.ran++
	}
	m.core.Ended(handle, o, decision.Load{}, nil)
	m.core.Ended(handle, decision.Completed, decision.Load{}, nil) // a second end must change nothing
}

func (m *model) Release(string)   {}
func (m *model) Probe(string)     {}
func (m *model) Subscribe()       {}
func (m *model) advance(span int) { m.now += time.Duration(span) * time.Millisecond }

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
				{Worth: 3, LateWorth: 0.25, Aim: 300 * time.Millisecond, Deadline: 2 * time.Second},
				{Worth: 5, LateWorth: 0.5, Aim: 300 * time.Millisecond, Deadline: 3 * time.Second, Repeat: decision.Fragile},
			},
			Tick: time.Millisecond, MaxAttempts: 3, SecondCopies: true, Cancel: len(steps)%2 == 0, TellsStart: true,
			Progress: 100 * time.Millisecond, ConnectTimeout: 50 * time.Millisecond, MaxRetryAfter: time.Second,
		}, 7)
		if err != nil {
			t.Fatal(err)
		}
		m.core = c
		c.Listen(m)
		change := func(name string, s decision.WorkerState) {
			m.states[name] = s
			c.List(m, decision.ListChanges, []decision.Entry{{Worker: name, State: s}})
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
				r.handle = c.Take(m, uint64(n), Job{
					Class: x % 2, Body: []byte{byte(n)}, Left: time.Duration(x) * 20 * time.Millisecond,
					Work: time.Duration(x%7) * 10 * time.Millisecond, Release: func() { r.released++ },
				})
			case 1, 2: // an attempt ends
				if len(m.order) > 0 {
					m.end(m.order[x/8%len(m.order)], []decision.Outcome{0, 1, 2, 3, 4, 5, decision.Unusable}[x%7])
				}
			case 3: // an attempt tells its start, or its progress
				if len(m.order) > 0 {
					c.Started(m.order[x%len(m.order)])
					c.Progress(m.order[x%len(m.order)], float64(x)/255)
				}
			case 4, 5: // a client hangs up
				if len(m.reqs) > 0 {
					r := m.reqs[x%len(m.reqs)]
					r.hungUp = r.hungUp || r.answers == 0
					c.HangUp(r.handle)
				}
			case 6: // a backend comes, drains or goes
				change([]string{"a", "b", "c"}[x%3], decision.WorkerState(x/3%3))
			case 7:
				c.List(m, decision.ListError, nil)
			default: // time passes
				m.advance(x * 4)
				c.Loop.Turn()
			}
		}
		for range 8 { // all deadlines pass
			m.advance(1000)
			c.Loop.Turn()
		}
		for len(m.order) > 0 {
			m.end(m.order[0], decision.Severed)
		}
		for i, r := range m.reqs {
			if r.answers == 0 != r.hungUp || r.released != 1 {
				t.Fatalf("req %d: %d answers, hung up: %v, released %d times", i, r.answers, r.hungUp, r.released)
			}
		}
		if n := c.Counts(); c.Owed() != 0 || c.reqs.Len() != 0 || c.outstanding.Len() != 0 ||
			n.Taken != n.Served+n.Refused+n.Failed+n.HungUp {
			t.Fatalf("owed %d, reqs %d, attempts %d, counts %+v", c.Owed(), c.reqs.Len(), c.outstanding.Len(), n)
		}
	})
}

// The latest names stay known when their reqs are over; the number kept is bounded.
func TestNamesAreBounded(t *testing.T) {
	c, err := New(eventloop.NewLoop(), decision.Settings{Classes: []decision.Class{{Deadline: time.Second}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	m := &model{t: t, core: c, reqs: make([]*modelReq, 2*pastIDs)}
	name := func(i int) string { return string(rune('a'+i%20)) + time.Duration(i).String() }
	for i := range m.reqs {
		m.reqs[i] = &modelReq{}
		handle := c.Take(m, uint64(i), Job{ID: name(i)})
		if !c.Named(name(i)) {
			t.Fatalf("%d is open, but unknown", i)
		}
		if m.reqs[i].answers == 0 {
			m.reqs[i].hungUp = true
			c.HangUp(handle)
		}
	}
	last := len(m.reqs) - 1
	if !c.Named(name(last)) || !c.Named(name(last-pastIDs+1)) || c.Named(name(last-pastIDs)) || c.Named("other") {
		t.Error("the latest names are not those known")
	}
	if len(c.ids.open) != 0 || len(c.ids.past) != pastIDs {
		t.Errorf("%d open, %d past", len(c.ids.open), len(c.ids.past))
	}
}

// Two sources of backends do not overwrite each other's lists.
func TestSourcesKeepTheirOwnLists(t *testing.T) {
	c, err := New(eventloop.NewLoop(), decision.Settings{Classes: []decision.Class{{Deadline: time.Second}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	a, b := &model{core: c}, &model{core: c}
	c.List(a, decision.ListComplete, []decision.Entry{{Worker: "a1"}, {Worker: "a2"}})
	c.List(b, decision.ListChanges, []decision.Entry{{Worker: "b1"}, {Worker: "b2", State: decision.Stopping}})
	c.List(a, decision.ListComplete, []decision.Entry{{Worker: "a2"}})
	if len(c.listed) != 3 || c.listed["b1"].source != b || c.Backends() != 2 {
		t.Fatalf("listed %v", c.listed)
	}
	c.List(b, decision.ListChanges, []decision.Entry{{Worker: "b1", State: decision.Deleted}})
	if len(c.listed) != 2 || c.Backends() != 1 {
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
		repeat decision.Repeat
		ends   []decision.Outcome
		opened []int // the attempt whose window binds; -1: none
	}{
		{"may have run at once", decision.Dedup, []decision.Outcome{decision.Errored}, []int{-1, 0}},
		{"never ran", decision.Dedup, []decision.Outcome{decision.RefusedConn}, []int{-1, -1}},
		{"may be repeated", decision.Retryable, []decision.Outcome{decision.Errored}, []int{-1, -1}},
		{"must not run twice", decision.Fragile, []decision.Outcome{decision.RefusedConn}, []int{-1, -1}},
	} {
		now := time.Hour
		c, err := New(eventloop.NewVirtual(func() time.Duration { return now }), decision.Settings{
			Classes: []decision.Class{{Worth: 3, Aim: 300 * time.Millisecond, Deadline: 9 * time.Second, Repeat: x.repeat, Window: window}},
			Tick:    time.Millisecond, MaxAttempts: 4, Cancel: true, ConnectTimeout: connect, MaxRetryAfter: time.Second,
		}, 7)
		if err != nil {
			t.Fatal(err)
		}
		w := &windows{}
		w.states = map[string]decision.WorkerState{}
		c.Listen(w)
		c.List(w, decision.ListComplete, []decision.Entry{{Worker: "a"}, {Worker: "b"}, {Worker: "c"}, {Worker: "d"}})
		c.Take(answers(func(Answer) {}), 0, Job{ID: "one", Left: 9 * time.Second, Work: 10 * time.Millisecond})
		var at []time.Duration
		for i, o := range x.ends {
			for len(w.got) == i {
				now += time.Millisecond
				if c.Loop.Turn(); now > time.Hour+window {
					t.Fatalf("%s: attempt %d does not come", x.name, i)
				}
			}
			at = append(at, now)
			now += 50 * time.Millisecond
			c.Ended(w.got[i].Handle, o, decision.Load{}, nil)
		}
		for len(w.got) == len(x.ends) {
			now += time.Millisecond
			if c.Loop.Turn(); now > time.Hour+window {
				t.Fatalf("%s: the last attempt does not come", x.name)
			}
		}
		for i, f := range w.got {
			want := time.Duration(0)
			if n := x.opened[i]; n >= 0 {
				want = at[n] + window - connect/2
			}
			if f.Until != want || f.Settled != (x.repeat != decision.Retryable) {
				t.Errorf("%s: attempt %d until %v, want %v; settled %v", x.name, i, f.Until-time.Hour, want-time.Hour, f.Settled)
			}
		}
		for _, y := range []struct {
			attempts []attempt
			want     time.Duration
		}{
			{[]attempt{{at: 9, neverRan: true}, {at: 20}, {at: 10}}, 10 + window - connect/2},
			{[]attempt{{at: 9, neverRan: true}, {at: 20, neverRan: true}}, 0},
		} {
			if x.repeat != decision.Dedup {
				y.want = 0
			}
			if got := c.until(&req{attempts: y.attempts}); got != y.want {
				t.Errorf("%s: after %v until %v, want %v", x.name, y.attempts, got, y.want)
			}
		}
	}
}

// answers is a front that calls the test on each answer.
type answers func(Answer)

func (f answers) Answer(_ uint64, a Answer) { f(a) }

// The number of backends that take new work is kept by difference; it must be that of a count anew.
func TestBackendsAreCountedByDifference(t *testing.T) {
	c, err := New(eventloop.NewLoop(), decision.Settings{Classes: []decision.Class{{Deadline: time.Second}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	one, other := &model{t: t, core: c}, &model{t: t, core: c}
	entry := func(name string, state decision.WorkerState) decision.Entry {
		return decision.Entry{Worker: name, State: state}
	}
	const running, stopping, deleted = decision.Running, decision.Stopping, decision.Deleted
	for i, step := range []struct {
		source  *model
		kind    decision.ListKind
		entries []decision.Entry
		want    int
	}{
		{one, decision.ListPersisted, []decision.Entry{entry("a", running), entry("b", stopping), entry("a", running)}, 1},
		{other, decision.ListComplete, []decision.Entry{entry("c", running), entry("d", running)}, 3},
		{one, decision.ListChanges, []decision.Entry{entry("b", running), entry("a", stopping), entry("e", deleted)}, 3},
		{one, decision.ListChanges, []decision.Entry{entry("b", deleted), entry("b", deleted), entry("a", stopping)}, 2},
		{other, decision.ListComplete, []decision.Entry{entry("d", running)}, 1},
		{one, decision.ListError, nil, 1},
		{other, decision.ListComplete, nil, 0},
	} {
		c.List(step.source, step.kind, step.entries)
		anew := 0
		for _, l := range c.listed {
			if l.entry.State == running {
				anew++
			}
		}
		if c.Backends() != step.want || anew != step.want {
			t.Errorf("step %d: %d backends take new work, counted anew %d, want %d", i, c.Backends(), anew, step.want)
		}
	}
}

// Settings change while a request is open, or not at all.
func TestReconfigure(t *testing.T) {
	class := decision.Class{Worth: 1, Deadline: time.Second}
	c, err := New(eventloop.NewLoop(), decision.Settings{Classes: []decision.Class{class}, TenantQuotas: []float64{5}}, 1)
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
	if err != nil || c.Settings.TenantQuotas[0] != 7 || c.Settings.Classes[0].Worth != 2 || before.TenantQuotas[0] != 5 {
		t.Fatalf("%v, %+v, before %+v", err, c.Settings, before)
	}
}
