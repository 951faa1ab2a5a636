package platform

import (
	"time"

	"hollyyoke.example/hollyyoke/internal/membership"
)

// FollowConfig is how a dispatcher follows the servers of versioned changes.
type FollowConfig struct {
	Name        string              // the subscriber's name, the same after a restart
	Zone        string              // whose servers come first
	Servers     []membership.Server // relays and origins, at least one
	Acknowledge time.Duration       // least time between acknowledgements; 0: a second
	Seed        uint64              // of the jitter
}

// ControlStats counts what the control connections have carried since the start.
type ControlStats struct {
	BytesRead    int64 `json:"bytes_read"`    // from servers of changes, or from discovery
	BytesWritten int64 `json:"bytes_written"` // to them
	Applied      int64 `json:"applied"`       // changes put in force
	Refused      int64 `json:"refused"`       // changes refused whole
	Snapshots    int64 `json:"snapshots"`     // complete states among the applied ones
	Deltas       int64 `json:"deltas"`        // and those that tell what has changed
	Acknowledged int64 `json:"acknowledged"`  // calls that acknowledged a version
	Failovers    int64 `json:"failovers"`     // moves from one server to another

	Version membership.Version `json:"version"` // in force
	Server  string             `json:"server"`  // that is followed; empty: none at present
}

// Follow makes the dispatcher follow versioned changes in place of the
// discovery watch. It is called before Known, on the loop's goroutine.
func (s *Backends) Follow(cfg FollowConfig) { s.followed = cfg }

// ControlStats tells what the control connections have carried.
func (s *Backends) ControlStats() ControlStats { return s.control }
