package simwire

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"hollyyoke.example/hollyyoke/decision"
)

// maxTimer is the longest timer that the protocol allows.
const maxTimer = 71 * time.Minute

// commandNames are the names of actions on the wire.
var commandNames = [...]string{
	decision.Assign:        "assign",
	decision.Reject:        "not_now",
	decision.Fail:          "finish_error",
	decision.CancelAttempt: "stop_attempt",
	decision.SetTimer:      "set_alarm",
	decision.CheckHealth:   "probe",
	decision.Subscribe:     "listen",
	decision.CloseIdle:     "release",
	decision.Log:           "say_log",
}

// Encoder builds the reply to one batch: Begin, Add for each message, End.
type Encoder struct {
	buffer    []byte
	hasAction bool
}

// Begin starts the reply to the batch with the number turn.
func (e *Encoder) Begin(turn int64) {
	e.buffer = append(e.buffer[:0], `{"turn":`...)
	e.buffer = strconv.AppendInt(e.buffer, turn, 10)
	e.buffer = append(e.buffer, `,"cmds":[`...)
	e.hasAction = false
}

// Add appends the actions of one instance.
func (e *Encoder) Add(instance int64, actions []decision.Action) {
	for i := range actions {
		e.appendAction(instance, &actions[i])
	}
}

// End closes the reply and returns its line, which is valid until the next Begin.
func (e *Encoder) End() []byte {
	e.buffer = append(e.buffer, "]}\n"...)
	return e.buffer
}

// appendAction appends one action of an instance.
func (e *Encoder) appendAction(instance int64, action *decision.Action) {
	if e.hasAction {
		e.buffer = append(e.buffer, ',')
	}
	e.hasAction = true
	e.buffer = append(e.buffer, `{"cmd":"`...)
	e.buffer = append(e.buffer, commandNames[action.Kind]...)
	e.buffer = append(e.buffer, `","dispatcher":`...)
	e.buffer = strconv.AppendInt(e.buffer, instance, 10)
	switch action.Kind {
	case decision.Assign:
		e.appendNumber("corr", action.Request)
		e.appendText("worker", action.Worker)
	case decision.Reject:
		e.appendNumber("corr", action.Request)
		if action.Delay > 0 {
			e.appendNumber("come_back_us", microsecondsRoundedUp(action.Delay))
		}
	case decision.Fail:
		e.appendNumber("corr", action.Request)
	case decision.CancelAttempt:
		e.appendNumber("corr", action.Request)
		e.appendNumber("trial", uint64(action.Attempt))
	case decision.SetTimer:
		e.appendNumber("handle", action.Timer)
		e.appendNumber("span_us", microsecondsRoundedUp(min(action.Delay, maxTimer)))
	case decision.CheckHealth, decision.CloseIdle:
		e.appendText("worker", action.Worker)
	case decision.Subscribe:
		e.buffer = append(e.buffer, `,"active":true`...)
	case decision.Log:
		e.appendText("reason_text", action.Text)
	}
	e.buffer = append(e.buffer, '}')
}

// appendName appends a comma and the name of the next field.
func (e *Encoder) appendName(name string) {
	e.buffer = append(e.buffer, `,"`...)
	e.buffer = append(e.buffer, name...)
	e.buffer = append(e.buffer, `":`...)
}

// appendNumber appends a number field.
func (e *Encoder) appendNumber(name string, number uint64) {
	e.appendName(name)
	e.buffer = strconv.AppendUint(e.buffer, number, 10)
}

// appendText appends a string field. Only text that needs escapes goes through
// encoding/json.
func (e *Encoder) appendText(name, text string) {
	e.appendName(name)
	if needsEscapes(text) {
		quoted, _ := json.Marshal(text) // a string always marshals
		e.buffer = append(e.buffer, quoted...)
		return
	}
	e.buffer = append(e.buffer, '"')
	e.buffer = append(e.buffer, text...)
	e.buffer = append(e.buffer, '"')
}

// needsEscapes reports whether a text has characters that must be escaped in a JSON string.
func needsEscapes(text string) bool {
	for i := range len(text) {
		char := text[i]
		if char < ' ' || char == '"' || char == '\\' || char >= 0x7f {
			return true
		}
	}
	return false
}

// microsecondsRoundedUp converts a span to microseconds, rounded up so that a timer never fires early.
func microsecondsRoundedUp(span time.Duration) uint64 {
	if span <= 0 {
		return 0
	}
	return uint64(math.Ceil(float64(span) / float64(time.Microsecond)))
}
