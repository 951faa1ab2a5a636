package durable

import (
	"maps"
	"slices"
)

// openCalls holds the calls of a Service that have not been answered yet.
type openCalls struct {
	lastNumber uint64
	byNumber   map[uint64]func(error) // the callbacks, by the number of their call
}

func newOpenCalls() openCalls { return openCalls{byNumber: map[uint64]func(error){}} }

// add adds a call, and returns the function that answers it. Only the first answer to a call has an effect.
func (o *openCalls) add(done func(error)) (answer func(error)) {
	o.lastNumber++
	number := o.lastNumber
	o.byNumber[number] = done
	return func(err error) { o.answer(number, err) }
}

// answer removes a call and calls its callback. It does nothing if the call has been answered.
func (o *openCalls) answer(number uint64, err error) {
	done, open := o.byNumber[number]
	if !open {
		return
	}
	delete(o.byNumber, number)
	done(err)
}

// answerAll answers all open calls with err, in the order in which they were made.
func (o *openCalls) answerAll(err error) {
	for _, number := range slices.Sorted(maps.Keys(o.byNumber)) {
		o.answer(number, err)
	}
}
