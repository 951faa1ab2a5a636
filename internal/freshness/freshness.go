// Package freshness decides whether an endpoint list is still fresh enough to act on. A [Tracker] records when the list
// was last confirmed by its source, and how the calls to the source have ended since.
//
// By the protocol, dispatchers count as notified of a change of the list a fixed time (NotificationBound) after its
// source had the change and could be reached, regardless of how their calls ended meanwhile. The bound applies to all
// calls together. It is therefore measured from the last confirmation, and neither a call nor its failure extends it.
//
// The package does no I/O and takes the time as an argument.
package freshness

import "time"

// State says what the list may be used for.
type State uint8

const (
	// Current: dispatchers do not yet count as notified of any change that is missing in the list.
	Current State = iota
	// Unconfirmed: the list may be stale. A worker may be sent to if a health check shows that it still serves requests.
	// If workers have no health checks, the list is used as it is.
	Unconfirmed
	// Unknown: the list may be stale, and nothing else shows which workers may have been removed. Nothing may be sent.
	Unknown
)

// String returns the name of the state in lower case.
func (s State) String() string { return [...]string{"current", "unconfirmed", "unknown"}[s] }

// Failure says how far a call to the source got before it ended without an update.
type Failure uint8

const (
	// SourceUnreachable: there was no connection, or a reset or a refusal before a response began, or a response which
	// says that the source is down or overloaded. These cases cannot be distinguished.
	SourceUnreachable Failure = iota
	// IncompleteResponse: the source accepted the call, but sent no response or an incomplete one.
	IncompleteResponse
)

const (
	// NotificationBound is the protocol's bound: dispatchers count as notified of a change this long after its source had
	// it and could be reached.
	NotificationBound = 6 * time.Second

	// staleMargin is how long before the bound the list stops being current. The grace period after the bound, during
	// which the protocol still allows sending to a removed worker, is reserved for requests that are already being sent.
	staleMargin = 100 * time.Millisecond

	// failureValidity is how long a failed call shows that the source cannot be reached. Calls begin within 3.8 s of the
	// last contact and take 3 s at most.
	failureValidity = 8 * time.Second

	// startupWait is how long after its start a process waits for its source, even if calls fail. The initial list may be
	// of any age, and workers that are restarted after their removal respond before they are listed again.
	startupWait = 4 * time.Second

	// maxStartupWait is how long a process waits for its source at most, however its calls end: the process must be ready
	// within 10 s.
	maxStartupWait = 8 * time.Second

	// stallRecoveryTime is how long after a stall of the process a message that is read may have been sent before the
	// stall.
	stallRecoveryTime = 100 * time.Millisecond
)

// Tracker tracks the age of one endpoint list. The zero value is a list that was confirmed at time 0. A Tracker is not
// safe for concurrent use.
type Tracker struct {
	CanCheckHealth bool // workers have health checks

	startedAt      time.Duration
	neverConfirmed bool          // the list was not confirmed since the start
	confirmedAt    time.Duration // the list has all changes up to this time
	failed         bool          // a call has failed since confirmedAt
	lastFailure    Failure
	failedAt       time.Duration // time of lastFailure
	stallEndedAt   time.Duration // end of the last stall; 0 if there was none
}

// Start resets the tracker to a list of unknown age.
func (t *Tracker) Start(now time.Duration) {
	*t = Tracker{
		CanCheckHealth: t.CanCheckHealth,
		startedAt:      now,
		neverConfirmed: true,
		confirmedAt:    now - NotificationBound,
	}
}

// Confirmed records that a complete message of the source has arrived: an update, or the statement that there is none.
// A message that is read right after a stall of the process may have been queued for a long time, and is ignored.
func (t *Tracker) Confirmed(now time.Duration) {
	if t.stallEndedAt > 0 && now < t.stallEndedAt+stallRecoveryTime {
		return
	}
	t.confirmedAt = now
	t.failed = false
	t.neverConfirmed = false
}

// HandedOver records that another process of the same dispatcher has handed over its list, which was confirmed to that
// process age ago.
func (t *Tracker) HandedOver(now, age time.Duration) {
	confirmedAt := now - age
	if confirmedAt <= t.confirmedAt || age >= NotificationBound {
		return
	}
	t.confirmedAt = confirmedAt
	t.neverConfirmed = false
}

// Stalled records that the process was stalled until now.
func (t *Tracker) Stalled(now time.Duration) { t.stallEndedAt = now }

// Failed records that a call or watch has ended without an update.
func (t *Tracker) Failed(now time.Duration, failure Failure) {
	t.failed = true
	t.lastFailure = failure
	t.failedAt = now
}

// StaleAt returns when the list stops being current, unless it is confirmed before then.
func (t *Tracker) StaleAt() time.Duration { return t.confirmedAt + NotificationBound - staleMargin }

// ConfirmedAt returns the time up to which the list has all changes.
func (t *Tracker) ConfirmedAt() time.Duration { return t.confirmedAt }

// State returns what the list may be used for now:
//
//   - Current until StaleAt;
//   - after StaleAt, for a list that was not confirmed since the start: Unknown during startupWait; then Unconfirmed
//     while the last call has failed to reach the source within failureValidity, and in any case after maxStartupWait;
//   - after StaleAt, for a list that was confirmed: Unconfirmed if workers have health checks, or if the last call has
//     failed to reach the source within failureValidity; otherwise Unknown.
func (t *Tracker) State(now time.Duration) State {
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

// sourceUnreachable reports whether the last call has failed to reach the source within failureValidity.
func (t *Tracker) sourceUnreachable(now time.Duration) bool {
	return t.failed && t.lastFailure == SourceUnreachable && now < t.failedAt+failureValidity
}

// NextChange returns the next time at which State may change by the passing of time alone, or 0 if there is none.
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

// HealthEvidence says whether a successful health check of one worker still proves that the worker is listed. By the
// zero value it does. A HealthEvidence is not safe for concurrent use.
type HealthEvidence struct {
	failed      bool
	confirmedAt time.Duration // the list's ConfirmedAt when Invalidate was called
}

// Invalidate records that the worker could not be reached, or reported that it does not serve requests.
func (e *HealthEvidence) Invalidate(t *Tracker) {
	e.failed = true
	e.confirmedAt = t.ConfirmedAt()
}

// Valid reports whether health checks of the worker still count as proof. A worker for which Invalidate was called may
// have been removed and restarted since: its health checks prove nothing until the list is confirmed again.
func (e *HealthEvidence) Valid(t *Tracker) bool { return !e.failed || e.confirmedAt != t.ConfirmedAt() }
