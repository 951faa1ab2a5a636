package connlimit

import "time"

// Stage is the state of a connection with regard to its requests: whether it is silent or
// idle, a request is arriving, or a response is owed.
type Stage uint8

// The stages. Connections are evicted in this order, except Busy ones, which are never
// evicted.
const (
	Unserved Stage = iota // idle, and no request on the connection was served yet
	Silent                // no byte has arrived yet
	Proven                // idle, and a request on the connection was served
	HalfRead              // a part of a request has arrived
	Busy                  // a response is owed
	numStages
)

// stageNames are the keys of the stages in the admin API's JSON.
var stageNames = [numStages]string{
	Unserved: "asking",
	Silent:   "silent",
	Proven:   "proven",
	HalfRead: "half_read",
	Busy:     "busy",
}

// String returns the stage's key in the admin API's JSON.
func (s Stage) String() string { return stageNames[s] }

const noIndex int32 = -1 // means that there is no such connection or entry

// stageList is the doubly linked list of the connections in one stage. The connection
// that has been in the stage the longest is first.
type stageList struct{ first, last int32 }

// Connections of unknown addresses and those of trusted addresses are in separate lists.
// The former are evicted first.
const (
	unknownGroup = iota
	trustedGroup
	numTrustGroups
)

func trustGroupOf(trust Trust) int {
	if trust == Unknown {
		return unknownGroup
	}
	return trustedGroup
}

// addToStage appends a connection that is not in any list to the list of a stage.
func (l *Limiter) addToStage(index int32, stage Stage, now time.Duration) {
	connection := &l.connections[index]
	connection.stage = stage
	connection.stageSince = now
	connection.listed = true
	list := &l.stageLists[trustGroupOf(connection.trust)][stage]
	connection.previous = list.last
	connection.next = noIndex
	if list.last == noIndex {
		list.first = index
	} else {
		l.connections[list.last].next = index
	}
	list.last = index
}

// removeFromStage removes a connection from the list of its stage.
func (l *Limiter) removeFromStage(index int32) {
	connection := &l.connections[index]
	if !connection.listed {
		return
	}
	list := &l.stageLists[trustGroupOf(connection.trust)][connection.stage]
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

// setStage sets the stage of a connection and moves it to the end of that stage's list,
// even if the stage does not change.
func (l *Limiter) setStage(index int32, stage Stage, now time.Duration) {
	connection := &l.connections[index]
	l.removeFromStage(index)
	if connection.stage == Silent && stage != Silent {
		l.countSilent(connection, -1)
	}
	l.addToStage(index, stage, now)
}
