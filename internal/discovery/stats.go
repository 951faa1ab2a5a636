package discovery

import "hollyyoke.example/hollyyoke/internal/membership"

// Stats counts what the connections to membership servers, or to discovery, have carried since the start.
type Stats struct {
	BytesRead    int64 `json:"bytes_read"`    // received from membership servers, or from discovery
	BytesWritten int64 `json:"bytes_written"` // sent to them
	Applied      int64 `json:"applied"`       // changes put in force
	Rejected     int64 `json:"refused"`       // changes rejected, each as a whole
	Snapshots    int64 `json:"snapshots"`     // of the applied changes
	Deltas       int64 `json:"deltas"`        // of the applied changes
	Acknowledged int64 `json:"acknowledged"`  // polls that acknowledged a version
	Failovers    int64 `json:"failovers"`     // moves from one server to another

	Version membership.Version `json:"version"` // in force
	Server  string             `json:"server"`  // address of the server in use; empty if there is none at present
}

// Stats returns the counters of the source that is followed. For the discovery watch only bytes are counted.
func (r *Registry) Stats() Stats {
	stats := r.stats
	if follower := r.follower; follower != nil {
		stats.Version = follower.inForce.version
		if follower.active != nil {
			stats.Server = follower.active.server.Address
		}
		return stats
	}
	stats.Version = membership.Version(r.watch.version)
	if r.watch.established {
		stats.Server = r.watch.address
	}
	return stats
}
