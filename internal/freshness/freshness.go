// Package freshness decides whether a list of workers is still good enough to act
// on. It owns what is known of the list's age: when its source was last heard whole,
// and how the calls since ended. It is pure: time is an argument, and it must never
// read a clock, a socket or a list.
//
// The protocol counts a change as notified a fixed time after its source had it and
// could be reached, whatever became of the calls meanwhile. That bound holds over all
// calls together, so it is measured here, from the last moment up to which everything
// is known, and no call or failure moves it.
package freshness

import "time"

// Knowledge says what may be done by a list.
type Knowledge uint8

const (
	// Current: no change can count as notified yet that the list lacks.
	Current Knowledge = iota
	// Unconfirmed: the list may be old. A worker may be sent to that shows by itself
	// that it still serves; where workers cannot be asked, the last list is served by.
	Unconfirmed
	// Unknown: the list may be old, and nothing else tells which workers may have been
	// removed. Nothing may be sent.
	Unknown
)

func (k Knowledge) String() string { return [...]string{"current", "unconfirmed", "unknown"}[k] }

// Failure says how far a call got that brought nothing.
type Failure uint8

const (
	// NotReached: no connection, a reset or refusal before an answer began, or an
	// answer that says that the source is down or crowded, which look alike.
	NotReached Failure = iota
	// BrokenOff: the source took the call and told nothing, or not all of it.
	BrokenOff
)

const (
	// NotificationBound is the protocol's bound: a change counts as notified this long
	// after its source had it and could be reached.
	NotificationBound = 6 * time.Second

	// margin is how much earlier the list counts as old. The grace that a removed
	// worker has beyond the bound is left to what is on its way.
	margin = 100 * time.Millisecond

	// failureLasts is for how long a failed call tells of its source: calls come
	// within 3.8 s of the last contact, and take 3 s at the most.
	failureLasts = 8 * time.Second

	// startHold is how long a process that has just started waits for its source, also
	// where calls fail: the list that it was given may be of any age, and workers that
	// came back after they had been removed answer before they are listed again.
	startHold = 4 * time.Second

	// longestHold is how long it waits, whatever becomes of its calls: it has to be
	// ready within 10 s.
	longestHold = 8 * time.Second

	// resettled is how long after a stall of the process what is read may have been
	// written before it.
	resettled = 100 * time.Millisecond
)

// Tracker follows the age of one list. Its zero value has heard nothing since time 0.
type Tracker struct {
	CanCheckHealth bool // workers may be asked whether they still serve

	startedAt  time.Duration
	unheard    bool          // the source has not been heard since the start
	heardAt    time.Duration // up to when everything is known
	failed     bool          // a call has ended in vain since
	failure    Failure       // the latest of those
	failedAt   time.Duration
	stallEnded time.Duration
}

// Start begins with a list that was complete at a time unknown, maybe long ago.
func (t *Tracker) Start(now time.Duration) {
	*t = Tracker{CanCheckHealth: t.CanCheckHealth, startedAt: now, unheard: true, heardAt: now - NotificationBound}
}

// Confirmed tells that a whole message of the source has come: its news, or word that
// there are none. A message that is read right after the process was held up may have
// waited for long, and renews nothing.
func (t *Tracker) Confirmed(now time.Duration) {
	if t.stallEnded > 0 && now < t.stallEnded+resettled {
		return
	}
	t.heardAt, t.failed, t.unheard = now, false, false
}

// HandedOver tells that another process of the same dispatcher has handed its list over,
// and how long ago that one heard its source.
func (t *Tracker) HandedOver(now, age time.Duration) {
	if at := now - age; at > t.heardAt && age < NotificationBound {
		t.heardAt, t.unheard = at, false
	}
}

// Stalled tells that the process was held up until now.
func (t *Tracker) Stalled(now time.Duration) { t.stallEnded = now }

// Failed tells that a call or watch has ended without news.
func (t *Tracker) Failed(now time.Duration, f Failure) {
	t.failed, t.failure, t.failedAt = true, f, now
}

// StaleAt is when the list ceases to be current, unless its source is heard before.
func (t *Tracker) StaleAt() time.Duration { return t.heardAt + NotificationBound - margin }

// ConfirmedAt is the time up to which everything is known.
func (t *Tracker) ConfirmedAt() time.Duration { return t.heardAt }

// Knowledge tells what the list is good for now.
func (t *Tracker) Knowledge(now time.Duration) Knowledge {
	notReached := t.failed && t.failure == NotReached && now < t.failedAt+failureLasts
	switch {
	case now < t.StaleAt():
		return Current
	case t.unheard && now >= t.startedAt+longestHold:
		return Unconfirmed
	case t.unheard && now < t.startedAt+startHold:
		return Unknown
	case notReached, t.CanCheckHealth && !t.unheard:
		return Unconfirmed
	}
	return Unknown
}

// NextChange is when Knowledge may change by itself; 0: it will not.
func (t *Tracker) NextChange(now time.Duration) time.Duration {
	next := time.Duration(0)
	for _, at := range []time.Duration{t.StaleAt(), t.startedAt + startHold, t.startedAt + longestHold, t.failedAt + failureLasts} {
		if at > now && (next == 0 || at < next) {
			next = at
		}
	}
	return next
}

// Proof is what a worker has shown of itself since the list was last current. Its
// zero value has shown nothing against it.
type Proof struct {
	denied bool
	by     time.Duration // the list's HeardAt by which denied holds
}

// Denied tells that the worker could not be reached, or said that it does not serve.
func (p *Proof) Denied(t *Tracker) { p.denied, p.by = true, t.ConfirmedAt() }

// Holds tells whether the worker may still be asked. One that denied itself may have
// been removed: what it answers after that proves nothing until the list is current.
func (p *Proof) Holds(t *Tracker) bool { return !p.denied || p.by != t.ConfirmedAt() }
