package jobs

import "fmt"

// Reason is the text that says why a job failed, is in doubt or was moved: a worker's report, an operator's text, or
// one of the reasons of this package. It is stored with the job and shown to operators, so the texts must stay as they
// are.
type Reason string

// The reasons of jobs whose lease has expired. The texts are stored; "till" in them means what a worker that
// Deduplicates uses to remember which jobs have run.
const (
	reasonLeaseExpired       Reason = "the lease ran out"
	reasonNeedsDeduplication Reason = "the lease ran out; it is for workers whose till knows what has been run"
	reasonNotStarted         Reason = "the lease ran out; its worker honours fences"
)

// reasonMayHaveRun is the reason of a job in doubt.
func reasonMayHaveRun(worker string) Reason {
	return Reason(fmt.Sprintf("the lease of worker %s ran out and the job may have run", worker))
}

// reasonResolved is the reason of a job that an operator has resolved.
func reasonResolved(operatorReason Reason) Reason { return "settled: " + operatorReason }
