package simwire

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"hollyyoke.example/hollyyoke/decision"
)

// Encoder builds the reply to one batch.
type Encoder struct {
	buf   []byte
	empty bool
}

// Begin starts the reply to batch number turn.
func (e *Encoder) Begin(turn int64) {
	e.buf = append(e.buf[:0], `{"turn":`...)
	e.buf = strconv.AppendInt(e.buf, turn, 10)
	e.buf = append(e.buf, `,"cmds":[`...)
	e.empty = true
}

// Add appends the actions of one instance.
func (e *Encoder) Add(instance int64, actions []decision.Action) {
	for i := range actions {
		e.add(instance, &actions[i])
	}
}

// End closes the reply and returns its line. It is valid until the next Begin.
func (e *Encoder) End() []byte {
	e.buf = append(e.buf, "]}\n"...)
	return e.buf
}

func (e *Encoder) add(instance int64, a *decision.Action) {
	if !e.empty {
		e.buf = append(e.buf, ',')
	}
	e.empty = false
	e.buf = append(e.buf, `{"cmd":"`...)
	e.buf = append(e.buf, actionNames[a.Kind]...)
	e.buf = append(e.buf, `","dispatcher":`...)
	e.buf = strconv.AppendInt(e.buf, instance, 10)
	switch a.Kind {
	case decision.Assign:
		e.number("corr", a.Request)
		e.text("worker", a.Worker)
	case decision.Reject:
		e.number("corr", a.Request)
		if a.Delay > 0 {
			e.number("come_back_us", microseconds(a.Delay))
		}
	case decision.Fail:
		e.number("corr", a.Request)
	case decision.CancelAttempt:
		e.number("corr", a.Request)
		e.number("trial", uint64(a.Attempt))
	case decision.SetTimer:
		e.number("handle", a.Timer)
		e.number("span_us", min(microseconds(a.Delay), longestTimer))
	case decision.CheckHealth, decision.CloseIdle:
		e.text("worker", a.Worker)
	case decision.Subscribe:
		e.buf = append(e.buf, `,"active":true`...)
	case decision.Log:
		e.text("reason_text", a.Text)
	}
	e.buf = append(e.buf, '}')
}

var actionNames = [...]string{
	decision.Assign: "assign", decision.Reject: "not_now", decision.Fail: "finish_error",
	decision.CancelAttempt: "stop_attempt", decision.SetTimer: "set_alarm", decision.CheckHealth: "probe",
	decision.Subscribe: "listen", decision.CloseIdle: "release", decision.Log: "say_log",
}

// longestTimer is the longest timer of the wire, 71 minutes, in microseconds.
const longestTimer = 71 * 60 * 1000 * 1000

func (e *Encoder) name(name string) {
	e.buf = append(e.buf, `,"`...)
	e.buf = append(e.buf, name...)
	e.buf = append(e.buf, `":`...)
}

func (e *Encoder) number(name string, n uint64) {
	e.name(name)
	e.buf = strconv.AppendUint(e.buf, n, 10)
}

func (e *Encoder) text(name, s string) {
	e.name(name)
	for i := 0; i < len(s); i++ {
		if c := s[i]; c < ' ' || c == '"' || c == '\\' || c >= 0x7f {
			quoted, _ := json.Marshal(s) // a string always marshals
			e.buf = append(e.buf, quoted...)
			return
		}
	}
	e.buf = append(e.buf, '"')
	e.buf = append(e.buf, s...)
	e.buf = append(e.buf, '"')
}

// microseconds rounds up, so that a timer is never early.
func microseconds(d time.Duration) uint64 {
	if d <= 0 {
		return 0
	}
	return uint64(math.Ceil(float64(d) / float64(time.Microsecond)))
}
