package eventloop

import (
	"container/heap"
	"time"
)

// Deadline calls Fire on the loop's goroutine at a time set with Loop.Set. Its owner embeds it and may set it again,
// before or after it has fired. The zero value is not set.
type Deadline struct {
	Fire func()

	at       time.Duration
	sequence uint64 // of Loop.Set; orders deadlines of the same time
	position int    // index in the heap plus 1; 0: not set
}

// Set sets a deadline to the clock time at, or moves it there. A time in the past counts as that of the present turn, so
// that an owner that sets its deadline again and again does not go before all others.
func (l *Loop) Set(d *Deadline, at time.Duration) {
	l.lastSequence++
	d.at = max(at, l.firedAt)
	d.sequence = l.lastSequence
	if d.position > 0 {
		heap.Fix(&l.deadlines, d.position-1)
		return
	}
	heap.Push(&l.deadlines, d)
}

// Clear withdraws a deadline if it is set.
func (l *Loop) Clear(d *Deadline) {
	if d.position > 0 {
		heap.Remove(&l.deadlines, d.position-1)
	}
}

// After calls f once, after a delay.
func (l *Loop) After(delay time.Duration, f func()) {
	l.Set(&Deadline{Fire: f}, l.Now()+delay)
}

// fireDeadlines fires what is due now; what is set meanwhile is left to the next turn.
func (l *Loop) fireDeadlines() {
	now := l.Now()
	lastSetBefore := l.lastSequence
	l.firedAt = now
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
