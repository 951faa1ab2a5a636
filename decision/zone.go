package decision

import (
	"strconv"
	"time"
)

const (
	// unreachableZoneConnects is the number of failed connects in a row from which a zone looks unreachable. Measured
	// in a rehearsal of 80 dispatchers: without it each ran into a time-out at each worker of a lost zone.
	unreachableZoneConnects = 2
	// maxTrialDoublings bounds how often the interval between trials of an unreachable zone is doubled.
	maxTrialDoublings = 8
)

// zone is what is known of the workers of one zone together.
type zone struct {
	failedConnects int           // in a row, since any of its workers was seen
	firstFailureAt time.Duration // of those
	lastAttemptAt  time.Duration // when one failed last, or a later request was sent there
}

// zone returns what is known of a zone, from its number.
func (m *Machine) zone(number int) *zone {
	if m.zones[number] == nil {
		m.zones[number] = &zone{}
	}
	return m.zones[number]
}

// zoneUnreachable tells whether a worker's zone gets no requests: connects there have failed in a row, and workers of
// other zones have been seen since. One request at a time tries whether it is back, after ever longer intervals.
func (m *Machine) zoneUnreachable(w *worker) bool {
	z := m.zone(w.Zone)
	trialInterval := min(m.settings.ConnectTimeout<<min(z.failedConnects, maxTrialDoublings), m.planningHorizon)
	return z.failedConnects >= unreachableZoneConnects &&
		m.now-z.lastAttemptAt < trialInterval &&
		m.lastSeen > z.firstFailureAt
}

// markSeen records that a worker has shown that it lives.
func (m *Machine) markSeen(w *worker) {
	w.lastSeen = m.now
	m.lastSeen = m.now
	m.markZoneReachable(w.Zone)
}

// markZoneReachable records that a zone can be reached.
func (m *Machine) markZoneReachable(number int) {
	z := m.zone(number)
	if z.failedConnects >= unreachableZoneConnects {
		m.logf("zone %s is reachable again", m.zoneName(number))
	}
	z.failedConnects = 0
}

// recordConnectFailure records that a connection to a worker was refused or timed out.
func (m *Machine) recordConnectFailure(w *worker) {
	z := m.zone(w.Zone)
	z.failedConnects++
	switch z.failedConnects {
	case 1:
		z.firstFailureAt = m.now
	case unreachableZoneConnects:
		m.logf("zone %s looks unreachable: %d connects failed in a row", m.zoneName(w.Zone), z.failedConnects)
	}
	z.lastAttemptAt = m.now
}

// zoneName is what the settings call a zone, else its number.
func (m *Machine) zoneName(number int) string {
	if number >= 0 && number < len(m.settings.ZoneNames) {
		return m.settings.ZoneNames[number]
	}
	return strconv.Itoa(number)
}
