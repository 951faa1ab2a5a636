// Package freshness decides whether an endpoint list is still fresh enough to act on. A [Tracker] knows when the list was
// last confirmed by its source, and how the calls to the source have ended since.
//
// By the protocol, dispatchers count as notified of a change of the list a fixed time after its source had the change and
// could be reached, whatever became of their calls meanwhile. This bound holds over all calls together. It is therefore
// measured from the last confirmation, and no call and no failure of one extends it.
//
// The package does no I/O and takes the time as an argument.
package freshness

import "time"

// Knowledge says what the list may be used for.
type Knowledge uint8

const (
	// Current: dispatchers cannot count as notified yet of any change that the list lacks.
	Current Knowledge = iota
	// Unconfirmed: the list may be stale. A worker may be sent to if a health check shows that it still serves; where there
	// are no health checks, the list is used as it is.
	Unconfirmed
	// Unknown: the list may be stale, and nothing else tells which workers may have been removed. Nothing may be sent.
	Unknown
)

// String returns the name of the state in lower case.
func (k Knowledge) String() string { return [...]string{"current", "unconfirmed", "unknown"}[k] }

// Failure says how far a call to the source got that brought no update.
type Failure uint8

const (
	// NotReached: no connection, a reset or a refusal before a response began, or a response that says that the source is
	// down or overloaded. They cannot be distinguished.
	NotReached Failure = iota
	// BrokenOff: the source accepted the call and sent nothing, or an incomplete response.
	BrokenOff
)

const (
	// NotificationBound is the protocol's bound: dispatchers count as notified of a change this long after its source had
	// it and could be reached.
	NotificationBound = 6 * time.Second

	// staleMargin is how long before the bound the list ceases to be current. The grace that the protocol gives a removed
	// worker beyond the bound is left to what is under way.
	staleMargin = 100 * time.Millisecond

	// failureValidity is how long a failed call says something about the source. Calls begin within 3.8 s of the last
	// contact and take 3 s at most.
	failureValidity = 8 * time.Second

	// startupWait is how long after its start a process waits for its source, also where calls fail. The list that it was
	// given may be of any age, and workers that are restarted after their removal respond before they are listed again.
	startupWait = 4 * time.Second

	// maxStartupWait is how long it waits whatever becomes of its calls: it must be ready within 10 s.
	maxStartupWait = 8 * time.Second

	// stallRecoveryTime is how long after a stall of the process what is read may have been sent before the stall.
	stallRecoveryTime = 100 * time.Millisecond
)

// Tracker follows the age of one endpoint list. Its zero value was confirmed at time 0. A Tracker is not safe for
// concurrent use.
type Tracker struct {
	CanCheckHealth bool // workers have health checks

	startedAt      time.Duration
	neverConfirmed bool          // since the start
	confirmedAt    time.Duration // all changes up to then are in the list
	failed         bool          // a call has failed since
	lastFailure    Failure
	failedAt       time.Duration // of lastFailure
	stallEndedAt   time.Duration // 0: there was no stall
}

// Start begins with a list of unknown age.
func (t *Tracker) Start(now time.Duration) {
	*t = Tracker{
		CanCheckHealth: t.CanCheckHealth,
		startedAt:      now,
		neverConfirmed: true,
		confirmedAt:    now - NotificationBound,
	}
}

// Confirmed reports that a complete message of the source has arrived: an update, or that there is none. A message that
// is read right after a stall of the process may have been queued for long, and confirms nothing.
func (t *Tracker) Confirmed(now time.Duration) {
	if t.stallEndedAt > 0 && now < t.stallEndedAt+stallRecoveryTime {
		return
	}
	t.confirmedAt = now
	t.failed = false
	t.neverConfirmed = false
}

// HandedOver reports that another process of the same dispatcher has handed over its list, and how long ago that process
// had it confirmed.
func (t *Tracker) HandedOver(now, age time.Duration) {
	confirmedAt := now - age
	if confirmedAt <= t.confirmedAt || age >= NotificationBound {
		return
	}
	t.confirmedAt = confirmedAt
	t.neverConfirmed = false
}

// Stalled reports that the process was held up until now.
func (t *Tracker) Stalled(now time.Duration) { t.stallEndedAt = now }

// Failed reports that a call or watch has ended without an update.
func (t *Tracker) Failed(now time.Duration, failure Failure) {
	t.failed = true
	t.lastFailure = failure
	t.failedAt = now
}

// StaleAt returns when the list ceases to be current, unless it is confirmed before.
func (t *Tracker) StaleAt() time.Duration { return t.confirmedAt + NotificationBound - staleMargin }

// LastContact returns the time up to which all changes are in the list.
func (t *Tracker) LastContact() time.Duration { return t.confirmedAt }

// Knowledge returns what the list may be used for now:
//
//   - Current until StaleAt;
//   - after that, for a list that was never confirmed since the start: Unknown during startupWait; then Unconfirmed once a
//     call has failed to reach the source, and at the latest after maxStartupWait;
//   - after that, for a list that was confirmed: Unconfirmed if workers have health checks, or the last call has failed
//     to reach the source within failureValidity; otherwise Unknown.
func (t *Tracker) Knowledge(now time.Duration) Knowledge {
	switch {
	case now < t.StaleAt():
		return Current
	case t.neverConfirmed && now >= t.startedAt+maxStartupWait:
		return Unconfirmed
	case t.neverConfirmed && now < t.startedAt+startupWait:
		return Unknown
	case t.sourceUnreachable(now), t.CanCheckHealth && !t.neverConfirmed:
		return Unconfirmed
	}
	return Unknown
}

// sourceUnreachable reports whether the last call has failed lately because the source could not be reached.
func (t *Tracker) sourceUnreachable(now time.Duration) bool {
	return t.failed && t.lastFailure == NotReached && now < t.failedAt+failureValidity
}

// NextChange returns when Knowledge may change by the passing of time alone; 0: it will not.
func (t *Tracker) NextChange(now time.Duration) time.Duration {
	next := time.Duration(0)
	for _, at := range []time.Duration{
		t.StaleAt(),
		t.startedAt + startupWait,
		t.startedAt + maxStartupWait,
		t.failedAt + failureValidity,
	} {
		if at > now && (next == 0 || at < next) {
			next = at
		}
	}
	return next
}

// HealthEvidence says whether a health check of one worker can still prove that the worker is listed. The zero value says
// that it can. A HealthEvidence is not safe for concurrent use.
type HealthEvidence struct {
	denied      bool
	confirmedAt time.Duration // of the list, when the worker was denied
}

// Denied reports that the worker could not be reached, or said that it does not serve.
func (e *HealthEvidence) Denied(t *Tracker) {
	e.denied = true
	e.confirmedAt = t.LastContact()
}

// Holds reports whether the worker may still be asked. One that was denied may have been removed and restarted since: its
// health checks prove nothing until the list is confirmed again.
func (e *HealthEvidence) Holds(t *Tracker) bool { return !e.denied || e.confirmedAt != t.LastContact() }
