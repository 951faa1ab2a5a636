// Package eventloop runs callbacks and deadlines on one goroutine, in real or in virtual time. State that only its
// callbacks touch needs no locks.
//
// Other goroutines hand work over with [Loop.Post]. Within the loop, a [Deadline] calls a function at a time of the
// loop's clock: never before it, in the order of the times, and in the order of setting where times are equal. The loop
// also notices when its process was held up, which [Loop.QueuedSince] accounts for.
package eventloop

import (
	"sync"
	"time"
)

// maxSleep is how long Run sleeps where nothing is due. Post and Stop wake it before. It is short so that a hold-up of the
// process is noticed where no deadline would show it.
const maxSleep = 40 * time.Millisecond

// Loop runs callbacks and deadlines. Post, Now and Stop may be called from any goroutine; all else belongs to the loop's
// own goroutine, which is the one that calls Run or RunOnce.
type Loop struct {
	// OnStall is called at the beginning of a turn that finds that the loop was held up; nil: nothing is called.
	OnStall func()

	started     time.Time
	startedUnix time.Duration        // started, as Unix time
	clock       func() time.Duration // of virtual time; nil: the system's monotonic clock

	mu      sync.Mutex // guards posted and stopped
	posted  []func()   // calls that the next turn makes, in their order
	stopped bool
	wake    chan struct{} // of capacity 1; holds a value when Run is to look at posted and stopped
	spare   []func()      // the emptied slice of the turn before, reused for posted

	deadlines    deadlineHeap
	lastSequence uint64        // of Set; see Deadline.sequence
	firedAt      time.Duration // when deadlines were last fired

	turnBeganAt time.Duration // of the last turn, from which a stall counts
	wakeAt      time.Duration // when Run meant to wake; 0: it has not slept since the last turn
	lastStall   stall
}

// New returns a loop in real time.
func New() *Loop {
	now := time.Now()
	return &Loop{started: now, startedUnix: time.Duration(now.UnixNano()), wake: make(chan struct{}, 1)}
}

// NewVirtual returns a loop in virtual time. Its driver owns the clock and calls RunOnce whenever NextDue says so, instead
// of Run.
func NewVirtual(clock func() time.Duration) *Loop {
	return &Loop{clock: clock, wake: make(chan struct{}, 1)}
}

// Now returns the time of the loop's clock: Unix time when the loop was made, plus what has passed since by the monotonic
// clock. It compares with times of other machines and is not affected by steps of the wall clock.
func (l *Loop) Now() time.Duration {
	if l.clock != nil {
		return l.clock()
	}
	return l.startedUnix + time.Since(l.started)
}

// Post calls f on the loop's goroutine, after what was posted before.
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
	default: // it is awake already
	}
}

// Run runs turns until Stop, and sleeps where nothing is due.
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

// RunOnce runs one turn: it calls what was posted and then fires the deadlines that are due. What is posted meanwhile, and
// what is set while deadlines fire, is left to the next turn. After Stop it does nothing and returns true.
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
	clear(calls) // so that the spare slice keeps nothing alive
	l.spare = calls[:0]
	l.fireDeadlines()
	l.detectLongTurn()
	return false
}

// takePosted removes and returns what was posted, and returns whether the loop was stopped.
func (l *Loop) takePosted() (calls []func(), stopped bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	calls = l.posted
	l.posted = l.spare[:0]
	return calls, l.stopped
}

// NextDue returns when the next turn has something to do; ok is false if nothing is posted or set.
func (l *Loop) NextDue() (at time.Duration, ok bool) {
	l.mu.Lock()
	busy := len(l.posted) > 0 || l.stopped
	l.mu.Unlock()
	switch {
	case busy:
		return l.Now(), true
	case len(l.deadlines) == 0:
		return 0, false
	}
	return max(l.deadlines[0].at, l.Now()), true
}

// untilNextDue returns how long there is nothing to do, at most maxSleep where nothing is set.
func (l *Loop) untilNextDue() time.Duration {
	at, ok := l.NextDue()
	if !ok {
		return maxSleep
	}
	return min(max(at-l.Now(), 0), maxSleep)
}
