package eventloop

import (
	"container/heap"
	"time"
)

// Deadline calls Fire on the loop's goroutine when the time given to Loop.Set is reached. It can be embedded in the
// object to which it belongs, and can be set again before or after it has fired. The zero value is a deadline that is
// not set.
type Deadline struct {
	Fire func()

	at       time.Duration
	sequence uint64 // sequence number of the last call of Loop.Set; orders deadlines with the same time
	position int    // index in the heap plus 1, or 0 if the deadline is not set
}

// Set sets a deadline to the clock time at, or moves it there if it is set already. A time before the last firing of
// deadlines is replaced by the time of that firing, so that a deadline that is set to the past again and again does not
// always fire before all others.
func (l *Loop) Set(d *Deadline, at time.Duration) {
	l.lastSequence++
	d.at = max(at, l.lastFiredAt)
	d.sequence = l.lastSequence
	if d.position > 0 {
		heap.Fix(&l.deadlines, d.position-1)
		return
	}
	heap.Push(&l.deadlines, d)
}

// Clear cancels a deadline if it is set.
func (l *Loop) Clear(d *Deadline) {
	if d.position > 0 {
		heap.Remove(&l.deadlines, d.position-1)
	}
}

// After calls f once on the loop's goroutine, after a delay.
func (l *Loop) After(delay time.Duration, f func()) {
	l.Set(&Deadline{Fire: f}, l.Now()+delay)
}

// fireDeadlines fires the deadlines that are due now. Those that are set meanwhile are left to the next turn.
func (l *Loop) fireDeadlines() {
	now := l.Now()
	lastSetBefore := l.lastSequence
	l.lastFiredAt = now
	for len(l.deadlines) > 0 {
		d := l.deadlines[0]
		if d.at > now || d.sequence > lastSetBefore {
			return
		}
		heap.Pop(&l.deadlines)
		d.Fire()
	}
}

// deadlineHeap is a heap.Interface that orders deadlines by time, then by the order in which they were set.
type deadlineHeap []*Deadline

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i + 1
	h[j].position = j + 1
}

func (h *deadlineHeap) Push(x any) {
	d := x.(*Deadline)
	*h = append(*h, d)
	d.position = len(*h)
}

func (h *deadlineHeap) Pop() any {
	old := *h
	last := len(old) - 1
	d := old[last]
	old[last] = nil
	*h = old[:last]
	d.position = 0
	return d
}
