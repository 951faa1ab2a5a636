package soak

import (
	"os/exec"
	"syscall"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/childprocess"
	"hollyyoke.example/hollyyoke/internal/rehearsal/faultinject"
)

// newTracer returns a tracer that makes system calls of the commands fail during the middle half of
// a run, and their wall clocks step during the run.
func newTracer(seed uint64, duration time.Duration) tracer {
	plan := faultPlan(seed, duration)
	return func(command *exec.Cmd) (childprocess.Handle, error) {
		return faultinject.Start(command, plan)
	}
}

// faultPlan returns the plan of a traced dispatcher for a run of the given duration.
func faultPlan(seed uint64, duration time.Duration) faultinject.Plan {
	const (
		frequent   = 0.2 // probabilities
		rare       = 0.03
		shortBytes = 50 // limit of shortened reads and writes
	)
	failing := func(call faultinject.Call, probability float64, errno syscall.Errno) faultinject.Rule {
		return faultinject.Rule{Call: call, Probability: probability, Error: errno, Start: duration / 4, Duration: duration / 2}
	}
	shortened := func(call faultinject.Call) faultinject.Rule {
		return faultinject.Rule{Call: call, Probability: frequent, MaxBytes: shortBytes, Start: duration / 4, Duration: duration / 2}
	}
	return faultinject.Plan{
		Seed: seed,
		Rules: []faultinject.Rule{
			failing(faultinject.SocketRead, frequent, syscall.EINTR),
			shortened(faultinject.SocketRead),
			failing(faultinject.SocketWrite, frequent, syscall.EINTR),
			shortened(faultinject.SocketWrite),
			failing(faultinject.Wait, frequent, syscall.EINTR),
			failing(faultinject.Accept, rare, syscall.ECONNABORTED),
			failing(faultinject.Accept, rare, syscall.ENOBUFS),
			failing(faultinject.Socket, rare, syscall.ENFILE),
			failing(faultinject.Connect, rare, syscall.EADDRNOTAVAIL),
			failing(faultinject.Connect, rare, syscall.ENETUNREACH),
			failing(faultinject.SetOption, rare, syscall.ENOBUFS),
		},
		Steps: []faultinject.Step{
			{Start: duration / 5, Offset: time.Hour},
			{Start: duration * 2 / 5, Offset: -time.Hour},
			{Start: duration * 3 / 5, Offset: 3 * time.Second},
		},
	}
}
