package jobs

import "slices"

// State is a stage in the lifecycle of a job. The number is stored and the name is shown to operators.
type State uint8

// The states of a job.
const (
	Accepted  State = iota // being stored; its producer has not been answered yet
	Scheduled              // to run at a later time
	Ready                  // to be leased as soon as a worker has a free slot
	Leased                 // to a worker; the job is delivered, and may start, once the lease is stored
	Started                // its worker has been told that it may start
	Waiting                // for its next attempt, after one that failed
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

// IsFinal reports whether a job stays in this state unless an operator or client moves or resolves it. A job InDoubt
// also leaves the state on a late report of its worker.
func (s State) IsFinal() bool { return s == Done || s == Dead || s == Discarded || s == InDoubt }

// IsHeld reports whether a worker holds a lease on a job in this state.
func (s State) IsHeld() bool { return s == Leased || s == Started }

// IsMovable reports whether Machine.Move can move a job in this state: it waits to run, or it is dead.
func (s State) IsMovable() bool { return s == Scheduled || s == Ready || s == Waiting || s == Dead }

// acceptsLateAck reports whether an Ack that arrives in this state, after the job's last lease has expired, proves that
// the job ran and makes it Done.
func (s State) acceptsLateAck() bool { return s == InDoubt || s == Waiting || s == Ready }
