package soak

import (
	"os/exec"
	"syscall"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/childprocess"
	"hollyyoke.example/hollyyoke/internal/rehearsal/faultinject"
)

// newDiskTracer returns a tracer that makes writes and syncs of the commands' files fail during the middle half of a run.
func newDiskTracer(seed uint64, duration time.Duration) tracer {
	const (
		frequent   = 0.3 // probabilities
		rare       = 0.1
		shortBytes = 100 // limit of shortened writes
	)
	rule := func(call faultinject.Call, probability float64, errno syscall.Errno, short int) faultinject.Rule {
		return faultinject.Rule{
			Call: call, Probability: probability, Error: errno, MaxBytes: short, Start: duration / 4, Duration: duration / 2,
		}
	}
	plan := faultinject.Plan{Seed: seed, Rules: []faultinject.Rule{
		rule(faultinject.FileWrite, frequent, syscall.ENOSPC, 0),
		rule(faultinject.FileWrite, rare, syscall.EIO, 0),
		rule(faultinject.FileWrite, frequent, 0, shortBytes),
		rule(faultinject.Sync, rare, syscall.EIO, 0),
	}}
	return func(command *exec.Cmd) (childprocess.Handle, error) {
		return faultinject.Start(command, plan)
	}
}
