// Package simwire translates the simulator's line protocol to the types of package
// decision and back. Each line is a batch: a JSON object with a time, a number and
// messages to one or more dispatcher instances. Each batch is answered with one line
// that has the actions of these instances. The package takes no decisions.
//
// A [Decoder] or [Encoder] must not be used by several goroutines at a time.
package simwire

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/valyala/fastjson"

	"hollyyoke.example/hollyyoke/decision"
)

// maxMoment is the latest time of a batch, in microseconds, that a time.Duration can hold.
const maxMoment = math.MaxInt64 / int64(time.Microsecond)

// Operation is what a Message asks the host of the instances to do.
type Operation uint8

// The operations.
const (
	Deliver Operation = iota // pass Event to the instance
	Boot                     // start the instance with Settings and Seed
	Exit                     // end the instance
)

// Message is one decoded message of a batch, addressed to one instance.
type Message struct {
	Operation Operation
	Instance  int64
	Event     decision.Event    // for Deliver
	Settings  decision.Settings // for Boot
	Seed      uint64            // for Boot: the seed of the instance's random numbers
}

// Batch is the time and the number of a batch.
type Batch struct {
	Now  time.Duration
	Turn int64
}

// Decoder reads batches. It keeps the endpoint tables and the names of instances'
// load values from one batch to the next. It is created by [NewDecoder].
type Decoder struct {
	parser         fastjson.Parser
	tables         [tableCount]endpointTable
	workerNames    map[string]string // interned
	freeSlotsNames map[int64]string  // by instance: the name of the load value that counts free slots
}

// NewDecoder returns a Decoder whose tables are empty.
func NewDecoder() *Decoder {
	return &Decoder{workerNames: map[string]string{}, freeSlotsNames: map[int64]string{}}
}

// Decode reads one line. It calls begin, and then handle for each message in
// order, and stops at the first error. The Message is overwritten after handle returns.
func (d *Decoder) Decode(line []byte, begin func(Batch), handle func(*Message) error) error {
	value, err := d.parser.ParseBytes(line)
	if err != nil {
		return fmt.Errorf("malformed batch: %w", err)
	}
	if value.Type() != fastjson.TypeObject {
		return errors.New("malformed batch: not an object")
	}
	batch, err := readBatch(value)
	if err != nil {
		return err
	}
	messages := value.Get("msgs")
	if messages == nil || messages.Type() != fastjson.TypeArray {
		return fmt.Errorf("batch %d: no array msgs", batch.Turn)
	}
	begin(batch)
	var message Message
	for i, raw := range messages.GetArray() {
		message = Message{}
		isDelivered, err := d.readMessage(raw, &message)
		if err == nil && isDelivered {
			err = handle(&message)
		}
		if err != nil {
			return fmt.Errorf("batch %d, message %d: %w", batch.Turn, i, err)
		}
	}
	return nil
}

// readBatch reads the time and the number of a batch.
func readBatch(value *fastjson.Value) (Batch, error) {
	now, err := readInteger(value, "moment_us")
	if err != nil {
		return Batch{}, fmt.Errorf("malformed batch: %w", err)
	}
	turn, err := readInteger(value, "turn")
	if err != nil {
		return Batch{}, fmt.Errorf("malformed batch: %w", err)
	}
	if now < 0 || now > maxMoment {
		return Batch{}, fmt.Errorf("batch %d: clock out of range", turn)
	}
	return Batch{Now: time.Duration(now) * time.Microsecond, Turn: turn}, nil
}
