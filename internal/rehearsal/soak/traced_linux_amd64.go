package soak

import (
	"os/exec"
	"syscall"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/faultinject"
)

// underFaults makes a plan of failing system calls and stepped clocks, in the
// middle of a run, and a tracer that starts commands under it.
func underFaults(seed uint64, span time.Duration) tracer {
	const often, seldom = 0.2, 0.03
	from, length := span/4, span/2
	rule := func(call faultinject.Call, probability float64, e syscall.Errno, short int) faultinject.Rule {
		return faultinject.Rule{Call: call, Probability: probability, Error: e, Short: short, After: from, For: length}
	}
	plan := faultinject.Plan{Seed: seed, Rules: []faultinject.Rule{
		rule(faultinject.SocketRead, often, syscall.EINTR, 0), rule(faultinject.SocketRead, often, 0, 50),
		rule(faultinject.SocketWrite, often, syscall.EINTR, 0), rule(faultinject.SocketWrite, often, 0, 50),
		rule(faultinject.Wait, often, syscall.EINTR, 0),
		rule(faultinject.Accept, seldom, syscall.ECONNABORTED, 0), rule(faultinject.Accept, seldom, syscall.ENOBUFS, 0),
		rule(faultinject.Socket, seldom, syscall.ENFILE, 0), rule(faultinject.Connect, seldom, syscall.EADDRNOTAVAIL, 0),
		rule(faultinject.Connect, seldom, syscall.ENETUNREACH, 0), rule(faultinject.SetOption, seldom, syscall.ENOBUFS, 0),
	}, Steps: []faultinject.Step{
		{After: span / 5, Offset: time.Hour}, {After: span * 2 / 5, Offset: -time.Hour}, {After: span * 3 / 5, Offset: 3 * time.Second},
	}}
	return func(command *exec.Cmd) (int, func() string, error) {
		p, err := faultinject.Start(command, plan)
		if err != nil {
			return 0, nil, err
		}
		return p.PID, func() string {
			<-p.Over()
			status, err := p.Status()
			if err != nil {
				return err.Error()
			}
			if status.Signaled() {
				return "signal: " + status.Signal().String()
			}
			return "exit status"
		}, nil
	}
}
