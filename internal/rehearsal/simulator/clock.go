package simulator

import (
	"container/heap"
	"time"
)

// runStart is the virtual time at which a run begins. It is far from 0, since the decision machine reads a time of 0
// as "long ago".
const runStart = 1_000_000 * time.Second

// event is a callback that is due at a virtual time.
type event struct {
	dueAt    time.Duration
	sequence uint64 // order among events of the same time
	callback func()
}

// eventQueue is a heap (container/heap) of events, the earliest first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].dueAt < q[j].dueAt || q[i].dueAt == q[j].dueAt && q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}

// clock is a virtual clock with its queue of events. Its time advances only in runUntil.
type clock struct {
	now          time.Duration
	queue        eventQueue
	lastSequence uint64
	eventCount   uint64 // events run so far
}

// scheduleAt schedules callback at a virtual time, or now if that time has passed.
func (c *clock) scheduleAt(due time.Duration, callback func()) {
	c.lastSequence++
	heap.Push(&c.queue, event{dueAt: max(due, c.now), sequence: c.lastSequence, callback: callback})
}

// scheduleAfter schedules callback for the time when span has passed.
func (c *clock) scheduleAfter(span time.Duration, callback func()) {
	c.scheduleAt(c.now+span, callback)
}

// runUntil runs all events that are due by a virtual time, in order, and then sets the clock to that time.
func (c *clock) runUntil(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].dueAt <= until {
		next := heap.Pop(&c.queue).(event)
		c.now = next.dueAt
		c.eventCount++
		next.callback()
	}
	c.now = until
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
