package soak

import (
	"os/exec"
	"syscall"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/faultinject"
)

// underFaults makes a tracer that starts commands under a plan of failing system calls in the
// middle of a run, and of steps of the wall clock.
func underFaults(seed uint64, duration time.Duration) tracer {
	plan := faultPlan(seed, duration)
	return func(command *exec.Cmd) (int, func() string, error) {
		p, err := faultinject.Start(command, plan)
		if err != nil {
			return 0, nil, err
		}
		return p.PID, func() string { return awaitTraced(p) }, nil
	}
}

// awaitTraced waits for the end of a traced process and describes it.
func awaitTraced(p *faultinject.Process) string {
	<-p.Done()
	status, err := p.Status()
	if err != nil {
		return err.Error()
	}
	if status.Signaled() {
		return "signal: " + status.Signal().String()
	}
	return "exit status"
}

// faultPlan is the plan of a traced dispatcher for a run of the given duration.
func faultPlan(seed uint64, duration time.Duration) faultinject.Plan {
	const (
		frequent   = 0.2
		rare       = 0.03
		shortBytes = 50
	)
	fails := func(call faultinject.Call, probability float64, errno syscall.Errno) faultinject.Rule {
		return faultinject.Rule{Call: call, Probability: probability, Error: errno, After: duration / 4, For: duration / 2}
	}
	isShort := func(call faultinject.Call) faultinject.Rule {
		return faultinject.Rule{Call: call, Probability: frequent, Short: shortBytes, After: duration / 4, For: duration / 2}
	}
	return faultinject.Plan{
		Seed: seed,
		Rules: []faultinject.Rule{
			fails(faultinject.SocketRead, frequent, syscall.EINTR),
			isShort(faultinject.SocketRead),
			fails(faultinject.SocketWrite, frequent, syscall.EINTR),
			isShort(faultinject.SocketWrite),
			fails(faultinject.Wait, frequent, syscall.EINTR),
			fails(faultinject.Accept, rare, syscall.ECONNABORTED),
			fails(faultinject.Accept, rare, syscall.ENOBUFS),
			fails(faultinject.Socket, rare, syscall.ENFILE),
			fails(faultinject.Connect, rare, syscall.EADDRNOTAVAIL),
			fails(faultinject.Connect, rare, syscall.ENETUNREACH),
			fails(faultinject.SetOption, rare, syscall.ENOBUFS),
		},
		Steps: []faultinject.Step{
			{After: duration / 5, Offset: time.Hour},
			{After: duration * 2 / 5, Offset: -time.Hour},
			{After: duration * 3 / 5, Offset: 3 * time.Second},
		},
	}
}
