// Package eventloop runs callbacks and deadlines on one goroutine, in real or in virtual time. State that only its
// callbacks access needs no locks.
//
// Other goroutines pass functions to the loop with [Loop.Post]. Within the loop, a [Deadline] calls a function at a time of the
// loop's clock. Deadlines never fire early. They fire in the order of their times, and in the order in which they were
// set where the times are equal. The loop also detects stalls, in which it or its process was blocked;
// [Loop.QueuedSince] takes them into account.
package eventloop

import (
	"sync"
	"time"
)

// maxSleep is the longest time for which Run sleeps if nothing is due. Post and Stop wake it earlier. It is short so
// that a stall of the process is detected even if no deadline fires late.
const maxSleep = 40 * time.Millisecond

// Loop runs callbacks and deadlines. Post, Now and Stop may be called from any goroutine. Everything else may be used
// only on the loop's goroutine, which is the one that calls Run or RunOnce.
type Loop struct {
	// OnStall, if not nil, is called when a stall of more than half a second is detected: at the beginning of the turn
	// after the stall, or at the end of a turn that took so long.
	OnStall func()

	started     time.Time
	startedUnix time.Duration        // started, as Unix time
	clock       func() time.Duration // clock of virtual time; nil in real time

	mu      sync.Mutex // guards posted and stopped
	posted  []func()   // functions that the next turn calls, in this order
	stopped bool
	wake    chan struct{} // has capacity 1; holds a value when Run must check posted and stopped
	spare   []func()      // the emptied slice of the previous turn, reused for posted

	deadlines    deadlineHeap
	lastSequence uint64        // sequence number of the last call of Set; see Deadline.sequence
	lastFiredAt  time.Duration // when deadlines were last fired

	turnBeganAt time.Duration // when the last turn began, which is taken as the beginning of a stall
	wakeAt      time.Duration // when Run intended to wake up; 0 if it has not slept since the last turn
	lastStall   stall
}

// New returns a loop in real time.
func New() *Loop {
	now := time.Now()
	return &Loop{started: now, startedUnix: time.Duration(now.UnixNano()), wake: make(chan struct{}, 1)}
}

// NewVirtual returns a loop in virtual time. The caller controls the clock and, instead of Run, calls RunOnce whenever
// the clock has reached the time that NextDue returns.
func NewVirtual(clock func() time.Duration) *Loop {
	return &Loop{clock: clock, wake: make(chan struct{}, 1)}
}

// Now returns the time of the loop's clock. In real time this is the Unix time at which the loop was created, plus the
// time since then by the monotonic clock. So it can be compared with times of other machines, and steps of the wall
// clock do not affect it.
func (l *Loop) Now() time.Duration {
	if l.clock != nil {
		return l.clock()
	}
	return l.startedUnix + time.Since(l.started)
}

// Post calls f on the loop's goroutine, after the functions that were posted before.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.posted = append(l.posted, f)
	l.mu.Unlock()
	l.wakeUp()
}

// Stop makes Run return after the present turn.
func (l *Loop) Stop() {
	l.mu.Lock()
	l.stopped = true
	l.mu.Unlock()
	l.wakeUp()
}

func (l *Loop) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default: // a wake-up is pending already
	}
}

// Run runs turns until Stop is called, and sleeps between them while nothing is due.
func (l *Loop) Run() {
	timer := time.NewTimer(maxSleep)
	defer timer.Stop()
	for {
		stopped := l.RunOnce()
		if stopped {
			return
		}
		sleep := l.untilNextDue()
		if sleep == 0 {
			continue
		}
		l.wakeAt = l.Now() + sleep
		timer.Reset(sleep)
		select {
		case <-l.wake:
		case <-timer.C:
		}
	}
}

// RunOnce runs one turn: it calls the posted functions and then fires the deadlines that are due. Functions that are
// posted during the turn, and deadlines that are set while deadlines fire, are left to the next turn. After Stop it
// does nothing and returns true.
func (l *Loop) RunOnce() (stopped bool) {
	calls, stopped := l.takePosted()
	if stopped {
		return true
	}
	l.detectStall()
	l.turnBeganAt = l.Now()
	l.wakeAt = 0
	for _, f := range calls {
		f()
	}
	clear(calls) // so that the spare slice does not keep the functions alive
	l.spare = calls[:0]
	l.fireDeadlines()
	l.detectLongTurn()
	return false
}

// takePosted removes and returns the posted functions, and returns whether the loop was stopped.
func (l *Loop) takePosted() (calls []func(), stopped bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	calls = l.posted
	l.posted = l.spare[:0]
	return calls, l.stopped
}

// NextDue returns the clock time at which the next turn is due; ok is false if no function is posted and no deadline is
// set.
func (l *Loop) NextDue() (at time.Duration, ok bool) {
	l.mu.Lock()
	pending := len(l.posted) > 0 || l.stopped
	l.mu.Unlock()
	switch {
	case pending:
		return l.Now(), true
	case len(l.deadlines) == 0:
		return 0, false
	}
	return max(l.deadlines[0].at, l.Now()), true
}

// untilNextDue returns the time until the next turn is due, at most maxSleep.
func (l *Loop) untilNextDue() time.Duration {
	at, ok := l.NextDue()
	if !ok {
		return maxSleep
	}
	return min(max(at-l.Now(), 0), maxSleep)
}
