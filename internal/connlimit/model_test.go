package connlimit

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelRun applies the same random steps to a Limiter and to its model.
type modelRun struct {
	t       *rapid.T
	config  Config
	limiter *Limiter
	model   *modelLimiter
	now     time.Duration
	step    int
	open    []ID // open connections in the order of admission
}

func newModelRun(t *rapid.T) *modelRun {
	config := Config{
		Capacity: rapid.IntRange(3, 19).Draw(t, "capacity"),
		V4Bits:   24,
		Known:    []netip.Prefix{netip.MustParsePrefix("10.0.3.0/24")},
		Address: Limits{
			Open:      rapid.IntRange(0, 4).Draw(t, "open"),
			Opening:   rapid.IntRange(0, 3).Draw(t, "opening"),
			PerSecond: 5,
			Burst:     3,
		},
		Prefix: Limits{Open: rapid.IntRange(0, 9).Draw(t, "prefix"), PerSecond: 9, Burst: 6},
	}
	config.Reserve = rapid.IntRange(0, config.Capacity-1).Draw(t, "reserve")
	limiter, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	model := &modelLimiter{
		config:         config,
		connections:    map[ID]*modelConn{},
		nextConforming: map[string]time.Duration{},
	}
	return &modelRun{t: t, config: config, limiter: limiter, model: model}
}

// Actions of a step. Values below actionClose open a connection, those below actionStartRequest close one.
const (
	actionClose         = 4
	actionStartRequest  = 6
	actionFinishRequest = 7
	actionIdle          = 8
	actionSetPressure   = 9
)

// takeStep lets some time pass and applies one action.
func (r *modelRun) takeStep() {
	r.now += time.Duration(rapid.IntRange(0, 300).Draw(r.t, "ms")) * time.Millisecond
	action := rapid.IntRange(0, actionSetPressure).Draw(r.t, "action")
	if action < actionClose || len(r.open) == 0 {
		r.admit()
		return
	}
	index := rapid.IntRange(0, len(r.open)-1).Draw(r.t, "index")
	r.applyAction(action, index)
}

// admit compares the decisions of the Limiter and the model on a new connection.
func (r *modelRun) admit() {
	network := byte(rapid.IntRange(0, 3).Draw(r.t, "net"))
	host := byte(rapid.IntRange(1, 4).Draw(r.t, "host"))
	addr := netip.AddrFrom4([4]byte{10, 0, network, host})
	want := r.model.admit(r.now, addr)
	id, got := r.limiter.Admit(r.now, addr, Token(r.step+1))
	if got != want {
		r.t.Fatalf("step %d: %v at %v: the limiter returns %v, the model %v", r.step, addr, r.now, got, want)
	}
	if got != Allowed {
		return
	}
	prefix, _ := addr.Prefix(r.config.V4Bits)
	r.model.connections[id] = &modelConn{
		addr:   addr.String(),
		prefix: prefix.String(),
		trust:  r.model.trustOf(addr),
		stage:  Silent,
	}
	r.open = append(r.open, id)
}

// applyAction applies an action to the open connection with that index in r.open, or changes the pressure.
func (r *modelRun) applyAction(action, index int) {
	id := r.open[index]
	conn := r.model.connections[id]
	switch action {
	case actionClose, actionClose + 1: // two values, so that closing is chosen twice as often as the actions below
		r.limiter.Closed(id)
		delete(r.model.connections, id)
		r.open = slices.Delete(r.open, index, index+1)
	case actionStartRequest:
		r.limiter.RequestStarted(r.now, id)
		conn.stage = HalfRead
	case actionFinishRequest:
		r.limiter.RequestComplete(r.now, id)
		conn.stage = Busy
	case actionIdle:
		r.limiter.BecameIdle(r.now, id, r.step%2 == 0)
		conn.stage = Unserved
	case actionSetPressure:
		r.model.pressure = Pressure(rapid.IntRange(int(PressureNone), int(PressureHigh)).Draw(r.t, "level"))
		r.limiter.SetPressure(r.model.pressure)
	}
}

// check checks the Limiter's counts, and that neither the capacity is exceeded nor the
// reserve is used by unknown addresses.
func (r *modelRun) check() {
	if err := r.limiter.CheckInvariants(); err != nil {
		r.t.Fatalf("step %d: %v", r.step, err)
	}
	unknown := r.model.count(func(c *modelConn) bool { return c.trust == Unknown })
	total := len(r.model.connections)
	if unknown > r.config.Capacity-r.config.Reserve || total > r.config.Capacity {
		r.t.Fatalf("step %d: %d unknown of %d connections, capacity %d, reserve %d",
			r.step, unknown, total, r.config.Capacity, r.config.Reserve)
	}
}

// randomSteps compares a Limiter with the model over random steps, and checks the
// Limiter's invariants after each step.
func randomSteps(t *rapid.T) {
	run := newModelRun(t)
	for run.step = range rapid.IntRange(1, 150).Draw(t, "steps") {
		run.takeStep()
		run.check()
	}
}

func TestAgainstModel(t *testing.T) { rapid.Check(t, randomSteps) }

func FuzzAgainstModel(f *testing.F) { f.Fuzz(rapid.MakeFuzz(randomSteps)) }
