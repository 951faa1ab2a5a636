package simwire

import (
	"errors"
	"fmt"

	"github.com/valyala/fastjson"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/settings"
)

// Kinds of interim messages.
const (
	interimStarted    = 1
	interimProgressed = 2
)

// readMessage decodes one message. isDelivered is false if it is not to be passed to an instance.
func (d *Decoder) readMessage(value *fastjson.Value, message *Message) (isDelivered bool, err error) {
	if value.Type() != fastjson.TypeObject {
		return false, errors.New("not an object")
	}
	command := value.GetStringBytes("cmd")
	if string(command) == "table" {
		return false, d.readTable(value)
	}
	message.Instance, err = readInteger(value, "dispatcher")
	if err != nil {
		return false, fmt.Errorf("%q: %w", command, err)
	}
	switch string(command) {
	case "boot":
		return true, d.readBoot(value, message)
	case "exit":
		message.Operation = Exit
		return true, nil
	}
	return d.readEvent(command, value, message)
}

// readBoot decodes the start of an instance.
func (d *Decoder) readBoot(value *fastjson.Value, message *Message) error {
	message.Operation = Boot
	message.Seed = value.GetUint64("rng_seed")
	params := value.Get("params")
	if params == nil || params.Type() != fastjson.TypeObject {
		return errors.New("boot without params")
	}
	read, err := settings.Read(params.MarshalTo(nil))
	if err != nil {
		return err
	}
	message.Settings = read
	d.freeSlotsNames[message.Instance] = read.FreeSlotsField
	return nil
}

// readEvent decodes an event. isDelivered is false for an interim message of an
// unknown kind.
func (d *Decoder) readEvent(command []byte, value *fastjson.Value, message *Message) (isDelivered bool, err error) {
	event := &message.Event
	switch string(command) {
	case "roster_change":
		return true, d.readListUpdate(value, event)
	case "pong":
		return true, d.readHealthCheck(value, message.Instance, event)
	case "due":
		event.Kind = decision.TimerFired
		event.Timer, err = readIdentifier(value, "handle")
		return true, err
	case "peer_data":
		event.Kind = decision.PeerMessage
		return true, nil
	}
	return d.readRequestEvent(command, value, message)
}

// readRequestEvent decodes an event of a request. isDelivered is false for an interim
// message of an unknown kind.
func (d *Decoder) readRequestEvent(command []byte, value *fastjson.Value, message *Message) (isDelivered bool, err error) {
	event := &message.Event
	switch string(command) {
	case "ingress":
		readArrival(value, event)
	case "first_byte":
		event.Kind = decision.FirstByte
	case "response":
		err := d.readResponse(value, message.Instance, event)
		if err != nil {
			return false, err
		}
	case "interim":
		if !readInterim(value, event) {
			return false, nil
		}
	case "hangup":
		event.Kind = decision.ClientDisconnected
	default:
		return false, fmt.Errorf("unknown message %q", command)
	}
	event.Request, err = readIdentifier(value, "corr")
	if err != nil {
		return false, fmt.Errorf("%q: %w", command, err)
	}
	event.Attempt = value.GetInt("trial")
	event.Worker = d.intern(value.GetStringBytes("worker"))
	return true, nil
}

// readArrival decodes the arrival of a request.
func readArrival(value *fastjson.Value, event *decision.Event) {
	event.Kind = decision.RequestArrived
	event.Class = value.GetInt("class")
	event.Tenant = value.GetInt("client_group")
	event.Slots = value.GetFloat64("needs")
	event.Work = readSpan(value, "effort_us")
	event.TimeLeft = readSpan(value, "left_us")
	event.ClientRetry = value.GetBool("retry")
	event.Key = string(value.GetStringBytes("key"))
}

// readResponse decodes the end of an attempt.
func (d *Decoder) readResponse(value *fastjson.Value, instance int64, event *decision.Event) (err error) {
	event.Kind = decision.AttemptEnded
	event.Answered = value.GetBool("settled")
	event.Load = d.readLoad(instance, value.Get("gauge"))
	event.Outcome, err = parseOutcome(value.GetStringBytes("rc"))
	return err
}

// readInterim decodes a start or progress notice, and returns false for any other kind.
func readInterim(value *fastjson.Value, event *decision.Event) bool {
	switch value.GetInt("kind") {
	case interimStarted:
		event.Kind = decision.AttemptStarted
	case interimProgressed:
		event.Kind = decision.AttemptProgressed
		event.Fraction = value.GetFloat64("x")
	default:
		return false
	}
	return true
}

// readHealthCheck decodes the outcome of a health check.
func (d *Decoder) readHealthCheck(value *fastjson.Value, instance int64, event *decision.Event) (err error) {
	event.Kind = decision.HealthChecked
	event.Load = d.readLoad(instance, value.Get("gauge"))
	event.Worker = d.intern(value.GetStringBytes("worker"))
	event.Outcome, err = parseOutcome(value.GetStringBytes("rc"))
	return err
}

// outcomeByName holds the outcomes of attempts and health checks by their names on the wire.
var outcomeByName = map[string]decision.AttemptOutcome{
	"completed":    decision.Completed,
	"errored":      decision.Failed,
	"saturated":    decision.Saturated,
	"overdue":      decision.TimedOut,
	"refused_conn": decision.ConnectionRefused,
	"severed":      decision.ConnectionLost,
	"recalled":     decision.Cancelled,
	"superseded":   decision.NotSent,
}

// parseOutcome returns the outcome with a name on the wire.
func parseOutcome(name []byte) (decision.AttemptOutcome, error) {
	outcome, known := outcomeByName[string(name)]
	if !known {
		return 0, fmt.Errorf("unknown outcome %q", name)
	}
	return outcome, nil
}

// readLoad reads a load report, which may be nil. Values that no decision uses are ignored.
func (d *Decoder) readLoad(instance int64, report *fastjson.Value) (load decision.LoadReport) {
	if report == nil {
		return load
	}
	freeSlotsName := d.freeSlotsNames[instance]
	if freeSlotsName != "" {
		load.FreeSlots, load.HasFreeSlots = readOptionalNumber(report, freeSlotsName)
	}
	load.Outstanding, load.HasOutstanding = readOptionalNumber(report, "outstanding")
	load.Backlog, load.HasBacklog = readOptionalNumber(report, "backlog")
	return load
}

// intern returns the Decoder's copy of a worker's name, so that a name is allocated
// only once.
func (d *Decoder) intern(name []byte) string {
	known, ok := d.workerNames[string(name)]
	if ok {
		return known
	}
	interned := string(name)
	d.workerNames[interned] = interned
	return interned
}
