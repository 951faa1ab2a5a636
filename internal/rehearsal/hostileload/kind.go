package hostileload

// Kind is a way in which a client misbehaves.
type Kind int

// The kinds of misbehaviour.
const (
	Silent        Kind = iota // connects and sends nothing
	SlowHead                  // sends a request head one byte at a time
	SlowBody                  // sends a complete head, then the body one byte at a time
	Flooding                  // sends requests in batches and reads the responses slowly
	Disconnecting             // connects and closes at once
	NeverReading              // sends requests in batches and never reads
	kindCount                 // the number of kinds
)

// kindNames are also the keys of Counts.ByKind in JSON.
var kindNames = [kindCount]string{"silent", "slow_head", "slow_body", "greedy", "drop", "deaf"}

// String returns the name of the kind as reports show it.
func (k Kind) String() string { return kindNames[k] }
