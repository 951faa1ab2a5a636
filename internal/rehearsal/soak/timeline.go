package soak

import (
	"slices"
	"sync"
	"time"
)

// excuse is a cause for which the rules accept that a request has no answer in time.
type excuse string

// The excuses. Only SIGKILL and SIGSTOP excuse a missing answer. SIGKILL excuses only requests that were in flight or
// for which no connection could be opened. The SIGKILL after a SIGTERM excuses only requests that arrived by
// readAfterTerm and whose time was not over.
const (
	excuseKilledInFlight excuse = "killed, in flight"
	excuseKilledRefused  excuse = "killed, not accepted"
	excuseKilledShutdown excuse = "killed after SIGTERM, in its time"
	excuseStopped        excuse = "stopped"
)

// shutdown is a graceful shutdown of a dispatcher's process by SIGTERM.
type shutdown struct {
	terminatedAt time.Time // time of the first SIGTERM
	killedAt     time.Time // when the process was killed because its shutdown took too long; zero if it ended by itself
}

// timeline records what a run does to a dispatcher, and when. It is safe for concurrent use.
type timeline struct {
	mutex             sync.Mutex
	clientsMayConnect bool       // whether clients may open new connections
	connectUntil      time.Time  // when they must stop doing so; zero if no time is set
	kills             []interval // from SIGKILL until the next process is ready
	stops             []interval // from SIGSTOP to SIGCONT
	floods            []interval // in which silent connections fill its descriptors
	shutdowns         []shutdown
	shuttingDown      bool // a graceful shutdown is in progress, or the next process is starting after one
}

// recordReady records that the dispatcher accepts clients.
func (t *timeline) recordReady() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.clientsMayConnect = true
	t.connectUntil = time.Time{}
	t.shuttingDown = false
	endLast(t.kills)
}

// endLast ends the last interval if it has not ended.
func endLast(intervals []interval) {
	if last := len(intervals) - 1; last >= 0 && !intervals[last].hasEnded() {
		intervals[last].to = time.Now()
	}
}

// recordKill records a SIGKILL. Clients still try to open connections for a short time, until they have noticed that
// the process is gone.
func (t *timeline) recordKill() {
	const noticeTime = 300 * time.Millisecond
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.kills = append(t.kills, interval{from: time.Now()})
	t.connectUntil = time.Now().Add(noticeTime)
}

// recordTerm records the first SIGTERM of a graceful shutdown. Clients continue to open connections for the given time.
func (t *timeline) recordTerm(newConnectionsFor time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	t.shutdowns = append(t.shutdowns, shutdown{terminatedAt: now})
	t.connectUntil = now.Add(newConnectionsFor)
	t.shuttingDown = true
}

// recordKillAfterTerm records that the process is killed because its graceful shutdown takes too long.
func (t *timeline) recordKillAfterTerm() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.shutdowns[len(t.shutdowns)-1].killedAt = time.Now()
}

// beginInterval adds an interval that begins now to a list of the timeline. The function that it returns ends the
// interval.
func (t *timeline) beginInterval(list *[]interval) (end func()) {
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

// acceptsNewConnections reports whether clients may open new connections now.
func (t *timeline) acceptsNewConnections() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.clientsMayConnect && (t.connectUntil.IsZero() || time.Now().Before(t.connectUntil))
}

// isShuttingDown reports whether a graceful shutdown is in progress, or the next process is starting after one.
func (t *timeline) isShuttingDown() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.shuttingDown
}

// overlapsAny reports whether any of the intervals overlaps the time between from and to.
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
func (t *timeline) wasFlooded(from, to time.Time) bool { return t.overlapsAny(&t.floods, from, to) }

// allShutdowns returns all graceful shutdowns so far.
func (t *timeline) allShutdowns() []shutdown {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.Clone(t.shutdowns)
}

// killedAfterTerm returns the first shutdown whose process was killed between from and to because it took too long.
// found is false if there is none.
func (t *timeline) killedAfterTerm(from, to time.Time) (killed shutdown, found bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, one := range t.shutdowns {
		if !one.killedAt.IsZero() && !one.killedAt.Before(from) && !one.killedAt.After(to) {
			return one, true
		}
	}
	return shutdown{}, false
}
