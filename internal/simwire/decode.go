// Package simwire translates the simulator's line protocol to the types of package
// decision and back. Each line is a batch: a JSON object with a clock, a number and
// the messages to several dispatcher instances; each is answered with one line of
// their actions. The package takes no decisions.
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

// maxMoment is the last moment of the clock, in microseconds, that a time.Duration can hold.
const maxMoment = math.MaxInt64 / int64(time.Microsecond)

// Operation says what a Message asks of the host of the instances.
type Operation uint8

// The operations.
const (
	Deliver Operation = iota // pass Event to the instance
	Boot                     // start the instance with Settings and Seed
	Exit                     // drop the instance
)

// Message is one decoded message of a batch, addressed to one instance.
type Message struct {
	Operation Operation
	Instance  int64
	Event     decision.Event    // of Deliver
	Settings  decision.Settings // of Boot
	Seed      uint64            // of Boot: of the instance's random numbers
}

// Batch is the frame of a line: its clock and its number.
type Batch struct {
	Now  time.Duration
	Turn int64
}

// Decoder reads batches. It holds the endpoint tables and the names of instances'
// load values, which outlive a batch. It is created by [NewDecoder].
type Decoder struct {
	parser         fastjson.Parser
	tables         [tableCount]endpointTable
	workerNames    map[string]string // interned
	freeSlotsNames map[int64]string  // by instance: the reported value that counts free slots
}

// NewDecoder returns a Decoder without tables.
func NewDecoder() *Decoder {
	return &Decoder{workerNames: map[string]string{}, freeSlotsNames: map[int64]string{}}
}

// Decode reads one line. It calls begin, and then handle for each message in
// order, and stops at the first error. The Message is reused after handle returns.
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

// readBatch reads the clock and the number of a batch.
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
