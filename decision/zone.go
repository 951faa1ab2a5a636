package decision

import (
	"strconv"
	"time"
)

const (
	// unreachableZoneConnects is the number of failed connects in a row from which a zone counts as
	// unreachable. With 80 dispatchers and without this rule, each of them ran into a connect timeout
	// at each worker of an unreachable zone.
	unreachableZoneConnects = 2
	// maxTrialDoublings bounds how often the interval between trials of an unreachable zone is doubled.
	maxTrialDoublings = 8
)

// zoneTable holds what is known about all zones.
type zoneTable struct {
	byNumber map[int]*zone
	lastSeen time.Duration // when a worker of any zone last gave a sign of life
}

// zone is what is known about the workers of one zone together.
type zone struct {
	failedConnects int           // connects in a row that failed since one of its workers was last seen
	firstFailureAt time.Duration // when the first of these connects failed
	lastAttemptAt  time.Duration // time of the last failed connect or, if later, of the last request sent
}

// get returns the state of the zone with that number.
func (t *zoneTable) get(number int) *zone {
	if t.byNumber[number] == nil {
		t.byNumber[number] = &zone{}
	}
	return t.byNumber[number]
}

// zoneUnreachable reports whether a worker's zone gets no requests because it looks unreachable: several
// connects in a row have failed there, and workers of other zones have been seen since. The zone gets one
// request at a time as a trial, at intervals that double.
func (m *Machine) zoneUnreachable(worker *worker) bool {
	zone := m.zones.get(worker.Zone)
	doublings := min(zone.failedConnects, maxTrialDoublings)
	trialInterval := min(m.settings.ConnectTimeout<<doublings, m.planningHorizon)
	return zone.failedConnects >= unreachableZoneConnects &&
		m.now-zone.lastAttemptAt < trialInterval &&
		m.zones.lastSeen > zone.firstFailureAt
}

// markSeen records a sign of life of a worker.
func (m *Machine) markSeen(worker *worker) {
	worker.lastSeen = m.now
	m.zones.lastSeen = m.now
	m.markZoneReachable(worker.Zone)
}

// markZoneReachable records that a zone can be reached.
func (m *Machine) markZoneReachable(number int) {
	zone := m.zones.get(number)
	if zone.failedConnects >= unreachableZoneConnects {
		m.logf("zone %s is reachable again", m.zoneName(number))
	}
	zone.failedConnects = 0
}

// recordConnectFailure records that a connect to a worker was refused or timed out.
func (m *Machine) recordConnectFailure(worker *worker) {
	zone := m.zones.get(worker.Zone)
	zone.failedConnects++
	switch zone.failedConnects {
	case 1:
		zone.firstFailureAt = m.now
	case unreachableZoneConnects:
		m.logf("zone %s looks unreachable: %d connects failed in a row",
			m.zoneName(worker.Zone), zone.failedConnects)
	}
	zone.lastAttemptAt = m.now
}

// zoneName is the name of a zone in the settings, or its number if it has none.
func (m *Machine) zoneName(number int) string {
	if number >= 0 && number < len(m.settings.ZoneNames) {
		return m.settings.ZoneNames[number]
	}
	return strconv.Itoa(number)
}
