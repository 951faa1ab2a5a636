package jobs

import "slices"

// State is where a job stands in its life. Its number is stored and its name is shown to operators.
type State uint8

// The states of a job.
const (
	Accepted  State = iota // being stored; its producer has no answer yet
	Scheduled              // to run at a later time
	Ready                  // to be leased as soon as a worker has a free slot
	Leased                 // given to a worker, or about to be; once the lease is stored the job may have started
	Started                // its worker has been granted the start
	Waiting                // for its next attempt, after a failure
	Done                   // it ran
	Dead                   // it failed and will not be retried, unless it is moved
	Discarded              // it will never run
	InDoubt                // it may or may not have run: an operator resolves it
	stateCount
)

var stateNames = [stateCount]string{
	"accepted", "scheduled", "ready", "leased", "started", "waiting", "done", "dead", "discarded", "in doubt",
}

// String is the name of the state.
func (s State) String() string { return stateNames[s] }

// States lists the names of all states.
func States() []string { return stateNames[:] }

// IsState reports whether text is the name of a state.
func IsState(text string) bool { return slices.Contains(stateNames[:], text) }

// IsFinal reports whether a job in this state stays in it unless a request moves or resolves it, or, where it is InDoubt,
// a late report ends it.
func (s State) IsFinal() bool { return s == Done || s == Dead || s == Discarded || s == InDoubt }

// IsHeld reports whether a worker has a lease of a job in this state.
func (s State) IsHeld() bool { return s == Leased || s == Started }

// IsMovable reports whether a job in this state waits or is dead, so that Machine.Move can move it.
func (s State) IsMovable() bool { return s == Scheduled || s == Ready || s == Waiting || s == Dead }

// acceptsLateAck reports whether an Ack under the last lease of a job in this state, which no worker holds, proves that
// the job ran.
func (s State) acceptsLateAck() bool { return s == InDoubt || s == Waiting || s == Ready }
