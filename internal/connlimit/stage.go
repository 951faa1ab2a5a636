package connlimit

import "time"

// Stage is what a connection has sent and what it does now.
type Stage uint8

// The stages. Connections are evicted in this order; those that are Busy never are.
const (
	Unserved Stage = iota // idle, and none of its requests was served
	Silent                // no byte has arrived yet
	Proven                // idle, and a request of it was served
	HalfRead              // a part of a request has arrived
	Busy                  // an answer is owed
	numStages
)

// stageNames are keys of the admin API's JSON.
var stageNames = [numStages]string{
	Unserved: "asking",
	Silent:   "silent",
	Proven:   "proven",
	HalfRead: "half_read",
	Busy:     "busy",
}

// String returns the stage's key in the admin API's JSON.
func (s Stage) String() string { return stageNames[s] }

const noIndex int32 = -1 // of a connection or an entry

// stageList is the doubly linked list of the connections of one stage, the one
// that has been in it the longest first.
type stageList struct{ first, last int32 }

// Connections of unknown addresses are in other lists than trusted ones, and are
// evicted before them.
const (
	unknownSide = iota
	trustedSide
	numSides
)

func sideOf(trust Trust) int {
	if trust == Unknown {
		return unknownSide
	}
	return trustedSide
}

// addToStage puts a connection that is in no list at the end of a stage's list.
func (l *Limiter) addToStage(index int32, stage Stage, now time.Duration) {
	connection := &l.connections[index]
	connection.stage = stage
	connection.stageSince = now
	connection.listed = true
	list := &l.stageLists[sideOf(connection.trust)][stage]
	connection.previous = list.last
	connection.next = noIndex
	if list.last == noIndex {
		list.first = index
	} else {
		l.connections[list.last].next = index
	}
	list.last = index
}

// removeFromStage takes a connection out of its stage's list.
func (l *Limiter) removeFromStage(index int32) {
	connection := &l.connections[index]
	if !connection.listed {
		return
	}
	list := &l.stageLists[sideOf(connection.trust)][connection.stage]
	if connection.previous == noIndex {
		list.first = connection.next
	} else {
		l.connections[connection.previous].next = connection.next
	}
	if connection.next == noIndex {
		list.last = connection.previous
	} else {
		l.connections[connection.next].previous = connection.previous
	}
	connection.listed = false
}

// setStage moves a connection to the end of another stage's list, or of its own.
func (l *Limiter) setStage(index int32, stage Stage, now time.Duration) {
	connection := &l.connections[index]
	l.removeFromStage(index)
	if connection.stage == Silent && stage != Silent {
		l.countSilent(connection, -1)
	}
	l.addToStage(index, stage, now)
}
