package jobs

import "time"

// NoFence is the fence of a job that was never leased, and of a report that names no lease.
const NoFence uint64 = 0

// Job is a job as it is stored. The JSON names belong to the store's file format and must stay. Times are Unix times.
type Job struct {
	ID            string `json:"ID"` // unique until the job is deleted
	Class         string `json:"Class"`
	NonIdempotent bool   `json:"Once"` // the job must not run twice
	Payload       []byte `json:"Payload"`
	PayloadOnDisk bool   `json:"-"`      // the payload is in the store and not in Payload
	PayloadHash   uint64 `json:"Sum"`    // of what was pushed: equal if a push is repeated, different in an id conflict
	Result        []byte `json:"Result"` // of a Done job whose protocol has results
	State         State  `json:"State"`

	// The newest lease.
	Fence           uint64    `json:"Fence"`   // higher than that of any earlier lease of any job; NoFence if it was never leased
	Worker          string    `json:"Worker"`  // that was given it; empty if there is none, or it was returned before the job started
	WorkerGuarantee Guarantee `json:"Honours"` // what that worker guarantees

	RequiresDeduplication bool          `json:"Only"`  // it may have run: only a worker that Deduplicates may get it
	DueAt                 time.Duration `json:"Until"` // when its lease expires, it becomes ready, or it is deleted
	Attempts              int           `json:"Attempts"`
	MaxAttempts           int           `json:"Most"`    // 0 means Config.MaxAttempts
	LeaseDuration         time.Duration `json:"Lease"`   // 0 means Config.LeaseDuration
	DiscardWhenExhausted  bool          `json:"Drops"`   // after its last failed attempt it is Discarded, not Dead
	Reason                Reason        `json:"Why"`     // why it failed, was moved or is in doubt
	Version               uint64        `json:"Version"` // increases with each change that has to be stored
	Sequence              uint64        `json:"Seq"`     // increases in the order in which jobs were accepted
}

// Guarantee is what a worker guarantees about non-idempotent jobs. The number is stored and must not change.
type Guarantee uint8

// The guarantees that a worker may give.
const (
	NoGuarantee  Guarantee = iota
	HonorsFences           // the worker asks before it starts a job, and starts it only when granted
	Deduplicates           // the worker knows the ids of the jobs that any worker has run, and runs none of them again
)
