package daemon

import "time"

// This file has the rule of what is still read after SIGTERM. It is the same for all front
// ends, each of which carries it out in its StopReadingAt.
//
//   - From clients (HTTP clients, Faktory producers): what arrives within arrivalWindow and
//     readWindow. What was read by then is answered; nothing that arrives later is read, so
//     that it is not forwarded either.
//   - From an upstream Faktory server: no FETCH is sent after SIGTERM. A job that is delivered
//     after the two windows is sent back unrun.
//   - From workers: reports, and FETCHes for what was accepted, until all requests are
//     answered. They may reconnect until then, but bring no new work.
//   - From a successor and from the admin API: everything, until the process ends.
//
// With a successor that accepts clients, clients may use their open connections until
// handoverIdleTimeout, and reading stops when the remaining requests expire (handover.go). A
// front end that gives up its store stops reading with it. Further signals change nothing.

const (
	// arrivalWindow is how long new connections and requests are served after SIGTERM.
	// The platform requires 0.4 s; the rest is a margin for a slow machine.
	arrivalWindow = 600 * time.Millisecond
	// readWindow is how long after the arrival window requests in transit are still read.
	// It ends before 0.7 s after SIGTERM: a request that arrives later and is unanswered
	// at SIGKILL is lost.
	readWindow = 60 * time.Millisecond
)

// intake decides when reading stops in a shutdown without a successor.
type intake struct {
	frontEnds      *frontEnds
	stopAt         time.Duration // what arrives after this loop time is not read
	acceptingUntil time.Duration // the connections in the HTTP listener's queue are awaited until then, at the latest
	stopped        bool
}

// newIntake returns the intake of a shutdown that began at the loop time began. The time at
// which reading stops counts from there, also if the loop was blocked meanwhile: a request that
// arrives later may be left unanswered at SIGKILL.
func newIntake(frontEnds *frontEnds, began, now time.Duration) intake {
	return intake{
		frontEnds:      frontEnds,
		stopAt:         began + arrivalWindow + readWindow,
		acceptingUntil: now + readWindow,
	}
}

// advance stops reading once the time has come and the connections in the HTTP listener's
// queue have been accepted.
func (i *intake) advance(now time.Duration) {
	http := i.frontEnds.http
	accepting := http != nil && http.Accepting() && now < i.acceptingUntil
	if i.stopped || now < i.stopAt || accepting {
		return
	}
	i.stopped = true
	i.frontEnds.stopReading(i.stopAt)
}
