// Package wire translates the simulator's line protocol to the types of package
// hollyyoke and back. It takes no decisions.
package simwire

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/valyala/fastjson"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/settings"
)

// Op tells what a Message asks of the host of the instances.
type Op uint8

// The operations.
const (
	Deliver Op = iota // hand Event to the instance
	Boot              // start the instance with Settings and Seed
	Exit              // forget the instance
)

// Message is one decoded message of a batch, addressed to one instance.
type Message struct {
	Op       Op
	Instance int64
	Event    decision.Event
	Settings decision.Settings
	Seed     uint64
}

// Batch is the frame of a line: its clock and number.
type Batch struct {
	Now  time.Duration
	Turn int64
}

const tableCount = 16

// Decoder reads batches. The numbered worker lists belong to it, since they
// outlive a batch.
type Decoder struct {
	parser fastjson.Parser
	tables [tableCount][]decision.Endpoint
	filled [tableCount]bool
	names  map[string]string // interned worker names
	free   map[int64]string  // by instance: the report value that tells free slots
}

// NewDecoder returns an empty Decoder.
func NewDecoder() *Decoder { return &Decoder{names: map[string]string{}, free: map[int64]string{}} }

// Decode reads one line and calls handle for each message in order. It stops at
// the first error.
func (d *Decoder) Decode(line []byte, begin func(Batch), handle func(*Message) error) error {
	v, err := d.parser.ParseBytes(line)
	if err != nil {
		return fmt.Errorf("malformed batch: %w", err)
	}
	if v.Type() != fastjson.TypeObject {
		return errors.New("malformed batch: not an object")
	}
	now, err := integer(v, "moment_us")
	if err != nil {
		return fmt.Errorf("malformed batch: %w", err)
	}
	turn, err := integer(v, "turn")
	if err != nil {
		return fmt.Errorf("malformed batch: %w", err)
	}
	if now < 0 || now > math.MaxInt64/1000 {
		return fmt.Errorf("batch %d: clock out of range", turn)
	}
	if m := v.Get("msgs"); m == nil || m.Type() != fastjson.TypeArray {
		return fmt.Errorf("batch %d: no array msgs", turn)
	}
	msgs := v.GetArray("msgs")
	begin(Batch{Now: micros(now), Turn: turn})
	var m Message
	for i, raw := range msgs {
		m = Message{}
		ok, err := d.message(raw, &m)
		if err == nil && ok {
			err = handle(&m)
		}
		if err != nil {
			return fmt.Errorf("batch %d, message %d: %w", turn, i, err)
		}
	}
	return nil
}

// message decodes one message; ok is false when it is for no instance.
func (d *Decoder) message(v *fastjson.Value, m *Message) (ok bool, err error) {
	if v.Type() != fastjson.TypeObject {
		return false, errors.New("not an object")
	}
	cmd := v.GetStringBytes("cmd")
	if string(cmd) == "table" {
		return false, d.table(v)
	}
	if m.Instance, err = integer(v, "dispatcher"); err != nil {
		return false, fmt.Errorf("%q: %w", cmd, err)
	}
	ev := &m.Event
	switch string(cmd) {
	case "boot":
		m.Op = Boot
		m.Seed = v.GetUint64("rng_seed")
		params := v.Get("params")
		if params == nil || params.Type() != fastjson.TypeObject {
			return false, errors.New("boot without params")
		}
		m.Settings, err = settings.Read(params.MarshalTo(nil))
		d.free[m.Instance] = m.Settings.FreeSlots
		return true, err
	case "exit":
		m.Op = Exit
		return true, nil
	case "roster_change":
		return true, d.roster(v, ev)
	case "ingress":
		ev.Kind = decision.RequestArrived
		ev.Class, ev.Tenant = v.GetInt("class"), v.GetInt("client_group")
		ev.Slots = v.GetFloat64("needs")
		ev.Work, ev.TimeLeft = duration(v, "effort_us"), duration(v, "left_us")
		ev.ClientRetry = v.GetBool("retry")
		ev.Key = string(v.GetStringBytes("key"))
	case "first_byte":
		ev.Kind = decision.FirstByte
	case "response":
		ev.Kind = decision.AttemptEnded
		ev.Answered = v.GetBool("settled")
		ev.Load = d.load(m.Instance, v.Get("gauge"))
		if ev.Outcome, err = outcome(v.GetStringBytes("rc")); err != nil {
			return false, err
		}
	case "interim":
		switch v.GetInt("kind") {
		case 1:
			ev.Kind = decision.AttemptStarted
		case 2:
			ev.Kind = decision.AttemptProgressed
			ev.Fraction = v.GetFloat64("x")
		default:
			return false, nil
		}
	case "pong":
		ev.Kind = decision.HealthChecked
		ev.Load = d.load(m.Instance, v.Get("gauge"))
		ev.Worker = d.intern(v.GetStringBytes("worker"))
		ev.Outcome, err = outcome(v.GetStringBytes("rc"))
		return err == nil, err
	case "hangup":
		ev.Kind = decision.ClientDisconnected
	case "due":
		ev.Kind = decision.TimerFired
		ev.Timer, err = identity(v, "handle")
		return err == nil, err
	case "peer_data":
		ev.Kind = decision.PeerMessage
		return true, nil
	default:
		return false, fmt.Errorf("unknown message %q", cmd)
	}
	if ev.Request, err = identity(v, "corr"); err != nil {
		return false, fmt.Errorf("%q: %w", cmd, err)
	}
	ev.Attempt = v.GetInt("trial")
	ev.Worker = d.intern(v.GetStringBytes("worker"))
	return true, nil
}

func (d *Decoder) table(v *fastjson.Value) error {
	n, err := tableNumber(v)
	if err != nil {
		return err
	}
	elements := v.GetArray("elements")
	// A new slice each time: dispatchers may still read the one it replaces.
	list := make([]decision.Endpoint, 0, len(elements))
	for _, e := range elements {
		entry := decision.Endpoint{
			Name: d.intern(e.GetStringBytes("worker")),
			Zone: e.GetInt("failure_domain"), Kind: e.GetInt("shape"), Cell: e.GetInt("pod"),
			StartedAt: duration(e, "last_start_us"), Weight: e.GetFloat64("capacity_hint"),
		}
		switch state := e.GetStringBytes("readiness"); string(state) {
		case "Running":
			entry.State = decision.Running
		case "Stopping":
			entry.State = decision.Draining
		case "Deleted":
			entry.State = decision.Removed
		default:
			return fmt.Errorf("table %d: unknown readiness %q", n, state)
		}
		if entry.Name == "" {
			return fmt.Errorf("table %d: an entry without a worker", n)
		}
		list = append(list, entry)
	}
	d.tables[n], d.filled[n] = list, true
	return nil
}

func tableNumber(v *fastjson.Value) (int, error) {
	n := v.GetInt("table")
	if n < 0 || n >= tableCount {
		return 0, fmt.Errorf("table number %d out of range", n)
	}
	return n, nil
}

func (d *Decoder) roster(v *fastjson.Value, ev *decision.Event) error {
	ev.Kind = decision.ListUpdated
	switch how := v.GetStringBytes("how"); string(how) {
	case "Partial":
		ev.ListKind = decision.ListDelta
	case "Complete":
		ev.ListKind = decision.ListSnapshot
	case "Persisted":
		ev.ListKind = decision.ListCached
	case "Error":
		ev.ListKind = decision.ListFailed
		return nil
	default:
		return fmt.Errorf("unknown kind of list %q", how)
	}
	n, err := tableNumber(v)
	if err != nil {
		return err
	}
	if !d.filled[n] {
		return fmt.Errorf("table %d was never sent", n)
	}
	ev.Endpoints = d.tables[n]
	return nil
}

// intern returns the one copy of a name, so that a known name costs no allocation.
func (d *Decoder) intern(b []byte) string {
	if s, ok := d.names[string(b)]; ok {
		return s
	}
	s := string(b)
	d.names[s] = s
	return s
}

var outcomes = map[string]decision.AttemptOutcome{
	"completed": decision.Completed, "errored": decision.Failed,
	"saturated": decision.Saturated, "overdue": decision.TimedOut,
	"refused_conn": decision.ConnectionRefused, "severed": decision.ConnectionLost,
	"recalled": decision.Cancelled, "superseded": decision.NotSent,
}

func outcome(b []byte) (decision.AttemptOutcome, error) {
	o, ok := outcomes[string(b)]
	if !ok {
		return 0, fmt.Errorf("unknown outcome %q", b)
	}
	return o, nil
}

// load reads a report. Values that no decision rests on are passed over.
func (d *Decoder) load(instance int64, v *fastjson.Value) (l decision.LoadReport) {
	if v == nil {
		return l
	}
	value := func(name string) (float64, bool) {
		x := v.Get(name)
		if name == "" || x == nil || x.Type() != fastjson.TypeNumber {
			return 0, false
		}
		return x.GetFloat64(), true
	}
	l.FreeSlots, l.HasFreeSlots = value(d.free[instance])
	l.Outstanding, l.HasOutstanding = value("outstanding")
	l.Backlog, l.HasBacklog = value("backlog")
	return l
}

// number finds a number that must be there.
func number(v *fastjson.Value, name string) (*fastjson.Value, error) {
	if f := v.Get(name); f != nil && f.Type() == fastjson.TypeNumber {
		return f, nil
	}
	return nil, fmt.Errorf("no number %s", name)
}

// integer reads a whole number.
func integer(v *fastjson.Value, name string) (int64, error) {
	f, err := number(v, name)
	if err != nil {
		return 0, err
	}
	return f.Int64()
}

// identity reads a request id or timer handle.
func identity(v *fastjson.Value, name string) (uint64, error) {
	f, err := number(v, name)
	if err != nil {
		return 0, err
	}
	return f.Uint64()
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// duration reads a time in microseconds, whole or not, and keeps it in range.
func duration(v *fastjson.Value, name string) time.Duration {
	f := v.GetFloat64(name)
	const most = float64(math.MaxInt64 / 4000)
	return micros(int64(min(max(f, -most), most)))
}
