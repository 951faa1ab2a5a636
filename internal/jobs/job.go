package jobs

import "time"

// NoFence is the fence of no lease.
const NoFence uint64 = 0

// Job is a job as it is stored. The JSON names belong to the store's file format and must stay. Times are Unix times.
type Job struct {
	ID            string `json:"ID"` // unique until the job is deleted
	Class         string `json:"Class"`
	NonIdempotent bool   `json:"Once"` // it must not run twice
	Payload       []byte `json:"Payload"`
	PayloadHash   uint64 `json:"Sum"`    // of what the producer asked for; equal for a repeated push, different in an id conflict
	Result        []byte `json:"Result"` // of a Done job, where its protocol has results
	State         State  `json:"State"`

	// The newest lease.
	Fence           uint64    `json:"Fence"`   // higher than that of any earlier lease of any job; NoFence: it was never leased
	Worker          string    `json:"Worker"`  // who holds or held it; empty: nobody, or the lease was given back unstarted
	WorkerGuarantee Guarantee `json:"Honours"` // what that worker has promised

	RequiresDeduplication bool          `json:"Only"`  // it may have run: only a worker that Deduplicates may have it
	DueAt                 time.Duration `json:"Until"` // when its lease expires, it becomes ready, or it is deleted
	Attempts              int           `json:"Attempts"`
	MaxAttempts           int           `json:"Most"`    // 0: Config.MaxAttempts
	LeaseDuration         time.Duration `json:"Lease"`   // 0: Config.LeaseDuration
	DiscardWhenExhausted  bool          `json:"Drops"`   // after its last attempt it is Discarded, not Dead
	Reason                Reason        `json:"Why"`     // why it failed, was moved or is in doubt
	Version               uint64        `json:"Version"` // counts the changes that are to be stored
	Sequence              uint64        `json:"Seq"`     // the order in which jobs were accepted
}

// Guarantee is what a worker promises about non-idempotent jobs. Its number is stored.
type Guarantee uint8

// The guarantees.
const (
	NoGuarantee  Guarantee = iota
	HonorsFences           // it asks before it starts a job, and starts only when granted
	Deduplicates           // it remembers by id what any worker has run, and runs nothing twice
)
