package soak

import (
	"sync"
	"time"
)

// excuse is a cause for which a client may be without an answer in time.
type excuse string

// The excuses: only SIGKILL and SIGSTOP excuse, and only what was in flight or could not be accepted.
const (
	excuseKilledInFlight excuse = "killed, in flight"
	excuseKilledRefused  excuse = "killed, not accepted"
	excuseStopped        excuse = "stopped"
)

// ending is the planned end of a dispatcher's process, by SIGTERM.
type ending struct {
	signaledAt time.Time // of the first SIGTERM
	killedAt   time.Time // when its time was over and it was killed; zero: it ended by itself
}

// timeline is what a run does to a dispatcher. It is safe for concurrent use.
type timeline struct {
	mutex         sync.Mutex
	acceptsNew    bool       // clients open new connections
	acceptsUntil  time.Time  // and no longer than that; zero: no end is known
	kills         []interval // from SIGKILL until the next process is ready
	stops         []interval // from SIGSTOP to SIGCONT
	crowds        []interval // connections that send nothing fill its descriptors
	endings       []ending
	currentEnding bool // a planned end is under way, or the next process is starting
}

// ready records that clients may come.
func (t *timeline) ready() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.acceptsNew = true
	t.acceptsUntil = time.Time{}
	t.currentEnding = false
	endLast(t.kills)
}

// endLast ends the last interval, if it is open.
func endLast(intervals []interval) {
	if last := len(intervals) - 1; last >= 0 && !intervals[last].hasEnded() {
		intervals[last].to = time.Now()
	}
}

// killed records a SIGKILL. Clients notice after a while that the process is gone.
func (t *timeline) killed() {
	const noticeTime = 300 * time.Millisecond
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.kills = append(t.kills, interval{from: time.Now()})
	t.acceptsUntil = time.Now().Add(noticeTime)
}

// terminated records the first SIGTERM of a planned end. New connections come for a while longer.
func (t *timeline) terminated(newConnectionsFor time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	t.endings = append(t.endings, ending{signaledAt: now})
	t.acceptsUntil = now.Add(newConnectionsFor)
	t.currentEnding = true
}

// outOfTime records that a process whose planned end took too long is killed.
func (t *timeline) outOfTime() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.endings[len(t.endings)-1].killedAt = time.Now()
}

// begin begins an interval of a list of the timeline, and returns the function that ends it.
func (t *timeline) begin(list *[]interval) (end func()) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	*list = append(*list, interval{from: time.Now()})
	index := len(*list) - 1
	return func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		(*list)[index].to = time.Now()
	}
}

// admitsNew reports whether clients open new connections now.
func (t *timeline) admitsNew() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.acceptsNew && (t.acceptsUntil.IsZero() || time.Now().Before(t.acceptsUntil))
}

// isEnding reports whether a planned end is under way.
func (t *timeline) isEnding() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.currentEnding
}

// overlapsAny reports whether any of the intervals overlaps a span.
func (t *timeline) overlapsAny(intervals *[]interval, from, to time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, one := range *intervals {
		if one.overlaps(from, to) {
			return true
		}
	}
	return false
}

func (t *timeline) wasKilled(from, to time.Time) bool  { return t.overlapsAny(&t.kills, from, to) }
func (t *timeline) wasStopped(from, to time.Time) bool { return t.overlapsAny(&t.stops, from, to) }
func (t *timeline) wasCrowded(from, to time.Time) bool { return t.overlapsAny(&t.crowds, from, to) }

// killedAfterTerm returns the planned end that was cut off by a kill between two times, if there is one.
func (t *timeline) killedAfterTerm(from, to time.Time) (cutOff ending, found bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, one := range t.endings {
		if !one.killedAt.IsZero() && !one.killedAt.Before(from) && !one.killedAt.After(to) {
			return one, true
		}
	}
	return ending{}, false
}
