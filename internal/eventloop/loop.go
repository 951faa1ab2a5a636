// Package core is the dispatcher between a front and the decision module. It
// owns the module, the clock, the tables of reqs and attempts, and the one
// ordered structure that all deadlines hang in. It deals in reqs, attempts and
// outcomes; it must never know a wire, a socket or a file.
package eventloop

import (
	"container/heap"
	"sync"
	"time"
)

// This file owns time: the clock, the deadlines and the goroutine on which all
// state lives. It must never call back on another goroutine, nor fire a
// deadline before its time.

// Loop runs everything that touches state on one goroutine. Only Post, Now and
// Stop may be called from elsewhere.
type Loop struct {
	start time.Time
	unix  time.Duration
	clock func() time.Duration // virtual time; nil: the system's clock

	mu      sync.Mutex
	posted  []func()
	stopped bool
	wake    chan struct{}

	// OnStall is called on the loop's goroutine, before anything else, when the loop
	// goes on after it was held up for longer than stallTime; nil: nobody wants to know.
	OnStall func()

	stallFrom, stallTo time.Duration // the latest stall; 0: there was none
	turned             time.Duration // when the latest turn ended

	spare []func()
	due   deadlines
	seq   uint64
	fired time.Duration // up to when deadlines have been fired
}

// stallTime is by how much a deadline is late that tells of a process that was held up.
const stallTime = 500 * time.Millisecond

// New returns a loop whose clock reads Unix time.
func New() *Loop {
	now := time.Now()
	return &Loop{start: now, unix: time.Duration(now.UnixNano()), wake: make(chan struct{}, 1)}
}

// Now is Unix time at the start plus what has passed since by the monotonic
// clock: it compares with times told by others, and never steps.
func (l *Loop) Now() time.Duration {
	if l.clock != nil {
		return l.clock()
	}
	return l.unix + time.Since(l.start)
}

// NewVirtual returns a loop in virtual time. Its driver owns the clock, calls
// Turn when Next says so, and does not call Run.
func NewVirtual(clock func() time.Duration) *Loop {
	return &Loop{clock: clock, wake: make(chan struct{}, 1)}
}

// RunOnce does what is posted and fires what is due, once.
func (l *Loop) RunOnce() (stopped bool) {
	l.mu.Lock()
	work, stopped := l.posted, l.stopped
	l.posted = l.spare[:0]
	l.mu.Unlock()
	if stopped {
		return true
	}
	l.noticeStall()
	for _, f := range work {
		f()
	}
	clear(work)
	l.spare = work[:0]
	l.fire()
	l.turned = l.Now()
	return false
}

// noticeStall books that the loop was held up, which a deadline shows that is long past.
func (l *Loop) noticeStall() {
	now := l.Now()
	if len(l.due) == 0 || now-l.due[0].at <= stallTime {
		return
	}
	l.stallFrom, l.stallTo = l.turned, now
	if l.OnStall != nil {
		l.OnStall()
	}
}

// afterStall is how long after a stall what is read may have waited for its end.
const afterStall = 100 * time.Millisecond

// QueuedSince is since when what is read now may have been waiting: since now, but right
// after a stall of the process since its begin.
func (l *Loop) QueuedSince() time.Duration {
	now := l.Now()
	if l.stallTo > 0 && now < l.stallTo+afterStall {
		return l.stallFrom
	}
	return now
}

// NextDue is when the next Turn has something to do; false: never, as things stand.
func (l *Loop) NextDue() (at time.Duration, ok bool) {
	l.mu.Lock()
	busy := len(l.posted) > 0 || l.stopped
	l.mu.Unlock()
	switch {
	case busy:
		return l.Now(), true
	case len(l.due) == 0:
		return 0, false
	}
	return max(l.due[0].at, l.Now()), true
}

// Post hands f over to the loop's goroutine, in order.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.posted = append(l.posted, f)
	l.mu.Unlock()
	l.kick()
}

// Stop makes Run return after the work at hand.
func (l *Loop) Stop() {
	l.mu.Lock()
	l.stopped = true
	l.mu.Unlock()
	l.kick()
}

func (l *Loop) kick() {
	select {
	case l.wake <- struct{}{}:
	default: // it is awake already
	}
}

// Run does what is posted and fires what is due until Stop.
func (l *Loop) Run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		if l.RunOnce() {
			return
		}
		if wait := l.wait(); wait > 0 {
			timer.Reset(wait)
			select {
			case <-l.wake:
			case <-timer.C:
			}
		}
	}
}

// wait is how long nothing is due, 0 if something is or work was posted.
func (l *Loop) wait() time.Duration {
	at, ok := l.NextDue()
	if !ok {
		return time.Hour
	}
	return max(at-l.Now(), 0)
}

// fire fires what was due at its start; what that sets for now waits for the next turn.
func (l *Loop) fire() {
	now, last := l.Now(), l.seq
	l.fired = now
	for len(l.due) > 0 && l.due[0].at <= now && l.due[0].seq <= last {
		d := l.due[0]
		heap.Pop(&l.due)
		d.Fire()
	}
}

// Deadline is a moment at which Fire is called on the loop's goroutine. Its
// owner embeds it, and may set it again and again.
type Deadline struct {
	Fire func()
	at   time.Duration
	seq  uint64
	pos  int // in the heap, counted from 1; 0: not set
}

// Set sets d, or moves it, to the time at. One in the past counts as due now:
// guards against an owner that sets its own again and again before all others.
func (l *Loop) Set(d *Deadline, at time.Duration) {
	l.seq++
	d.at, d.seq = max(at, l.fired), l.seq
	if d.pos > 0 {
		heap.Fix(&l.due, d.pos-1)
		return
	}
	heap.Push(&l.due, d)
}

// Clear withdraws d if it is set.
func (l *Loop) Clear(d *Deadline) {
	if d.pos > 0 {
		heap.Remove(&l.due, d.pos-1)
	}
}

// After calls f once, span from now.
func (l *Loop) After(span time.Duration, f func()) {
	l.Set(&Deadline{Fire: f}, l.Now()+span)
}

// deadlines is a heap by time, then by the order in which they were set.
type deadlines []*Deadline

func (h deadlines) Len() int { return len(h) }
func (h deadlines) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h deadlines) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos, h[j].pos = i+1, j+1
}
func (h *deadlines) Push(x any) {
	d := x.(*Deadline)
	*h = append(*h, d)
	d.pos = len(*h)
}
func (h *deadlines) Pop() any {
	old := *h
	d := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	d.pos = 0
	return d
}
