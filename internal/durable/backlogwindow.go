package durable

import "time"

const (
	// minBacklogWindow is the least size of a backlogWindow, so that one worker that hangs does not stop the backlog.
	minBacklogWindow = 2

	// startDelayShare is the fraction of its class's latency objective within which a job must begin to run at its worker.
	// Requests of clients that come meanwhile wait there as long as it did.
	startDelayShare = 0.25

	// windowDecrease is the factor by which the window shrinks when a job waits longer.
	windowDecrease = 0.5
)

// backlogWindow limits how many jobs of the backlog, for which no client waits, are at the workers of other front ends or
// on their way there. It lets the backlog use the capacity that clients leave, as low-priority congestion control does
// for a network path: it grows by one for each round of jobs that begin to run soon after they were sent, and shrinks
// when one has to wait at its worker.
type backlogWindow struct {
	size      float64
	decreased time.Duration // clock time of the latest decrease
}

// limit returns the number of jobs. fairShare is this dispatcher's number of ready workers, as one of several.
func (w *backlogWindow) limit(fairShare int) int {
	w.size = max(w.size, float64(fairShare), minBacklogWindow)
	return int(w.size)
}

// onStarted records that a job that was sent at a clock time has begun to run now. inUse is the number of jobs that the
// window counts.
func (w *backlogWindow) onStarted(sentAt, now, maxDelay time.Duration, inUse int) {
	switch {
	case now-sentAt > maxDelay:
		w.decrease(sentAt, now)
	case inUse+1 >= int(w.size): // a window that is not used up says nothing about a larger one
		w.size += 1 / w.size
	}
}

// decrease shrinks the window because of a job that was sent at a clock time. A job from before the latest decrease says
// nothing about the window since then.
func (w *backlogWindow) decrease(sentAt, now time.Duration) {
	if sentAt < w.decreased {
		return
	}
	w.decreased = now
	w.size *= windowDecrease
}
