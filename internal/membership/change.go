package membership

import "encoding/json"

// Version is the number of a state of the origin. A later state has a higher
// version, and relays pass versions on unchanged. 0 is the version of a
// subscriber that has no state yet.
type Version int64

// Prefixes of a Record's key.
const (
	WorkerPrefix  = "host/"
	SettingPrefix = "setting/"
)

// Record is the newest value of one key: a listed worker or a setting.
type Record struct {
	Key string // WorkerPrefix and the worker's name, or SettingPrefix and the setting's path

	// Value is a setting's value, or a worker's JSON object as the origin wrote
	// it, so that fields unknown here are passed on. It is on one line. It is
	// shared by stores and changes, and must not be modified.
	Value json.RawMessage

	// Deleted means that the worker's health is "gone", and Value is its last
	// object; or that the setting's value is null, which restores its initial value.
	Deleted bool

	// Urgent means that the worker is draining or gone, so that the change must
	// not wait for the rate limit.
	Urgent bool
}

// Change is a snapshot or a delta, which is one line on the wire. It is atomic:
// all of it is applied, or nothing.
type Change struct {
	// Version is the version of the receiver's state after the change.
	Version Version

	// Snapshot means that the change replaces the entire state: keys that it does
	// not contain are deleted. Otherwise the change is a delta.
	Snapshot bool

	// Base is the version that a delta continues from: the one named in the
	// request, or that of the line before it on the same watch, even if that line
	// was rejected. It is not on the wire; the receiver sets it. 0 means that the
	// receiver guarantees that nothing is missing between its state and the delta.
	Base Version

	// Exact means that the delta contains the differences to the state at Base, but
	// not the keys that changed in between and back again. It applies only to that
	// state.
	Exact bool

	// MissingFrom is the first version of which the sender may lack something
	// because it has rejected a change; the receiver then lacks it too. It is 0 if
	// the sender lacks nothing.
	MissingFrom Version

	// Records contains at most one record for each key.
	Records []Record
}

// Urgent reports whether the change contains an urgent record.
func (c Change) Urgent() bool {
	for i := range c.Records {
		if c.Records[i].Urgent {
			return true
		}
	}
	return false
}
