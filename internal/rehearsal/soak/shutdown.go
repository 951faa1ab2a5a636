package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/childprocess"
)

const (
	// killAfterTerm is the earliest time of a SIGKILL after a SIGTERM: the longest deadline, 3 s at least, and 0.7 s.
	killAfterTerm = renewalTimeout + readAfterTerm

	// readAfterTerm is until when after a SIGTERM what arrives must have its final answer.
	readAfterTerm = 700 * time.Millisecond

	// New connections come for a time between these after a SIGTERM.
	minNewConnectionTime = 200 * time.Millisecond
	maxNewConnectionTime = 400 * time.Millisecond

	maxSignals     = 5                      // of one series
	maxSignalPause = 400 * time.Millisecond // between two of them
)

// signalSeries is a series of SIGHUP and SIGTERM.
type signalSeries struct {
	count    int
	signals  [maxSignals]syscall.Signal
	pauses   [maxSignals]time.Duration // before each of them
	newConns time.Duration             // how long new connections come after the first SIGTERM
}

// drawSignals draws a series, which has a SIGTERM if terminates is set, and else none.
func drawSignals(terminates bool, random *rand.Rand) (series signalSeries) {
	series.count = 1 + random.IntN(maxSignals)
	series.newConns = minNewConnectionTime + time.Duration(random.Int64N(int64(maxNewConnectionTime-minNewConnectionTime)))
	for i := range series.count {
		series.signals[i] = syscall.SIGHUP
		if terminates && random.IntN(2) == 0 {
			series.signals[i] = syscall.SIGTERM
		}
		if random.IntN(3) > 0 { // else at once
			series.pauses[i] = time.Duration(random.Int64N(int64(maxSignalPause)))
		}
	}
	if terminates {
		series.signals[random.IntN(series.count)] = syscall.SIGTERM
	}
	return series
}

// send sends the series to a process. onTerm is called right before the first SIGTERM.
func (s *signalSeries) send(process *daemonProcess, onTerm func()) {
	terminated := false
	for i := range s.count {
		time.Sleep(s.pauses[i])
		if s.signals[i] == syscall.SIGTERM && !terminated {
			terminated = true
			onTerm()
		}
		_ = process.Signal(s.signals[i]) // fails only if the process has ended
	}
}

// terminate ends the current process as a planned restart does: by a series of signals, and by SIGKILL at the earliest
// time that is allowed.
func (d *daemon) terminate(series signalSeries) {
	d.mutex.Lock()
	process := d.process
	process.endRequested = true
	d.mutex.Unlock()
	d.fetchInvariants()
	var deadline time.Time
	series.send(process, func() {
		d.terminated(series.newConns)
		deadline = time.Now().Add(killAfterTerm)
	})
	select {
	case <-process.Done():
		d.checkEnd(process)
	case <-time.After(time.Until(deadline)):
		d.outOfTime()
		childprocess.Stop(process, syscall.SIGKILL, endTimeout)
	}
}

// checkEnd records an end by itself after a SIGTERM as a crash, unless it is the orderly one.
func (d *daemon) checkEnd(process *daemonProcess) {
	outcome := process.Outcome()
	if outcome != "exit status 0" && !strings.HasSuffix(outcome, "exit status") {
		d.addCrash(fmt.Sprintf("%s ended with %s after SIGTERM: %s", d.name, outcome, process.endOfLog()))
	}
}

// restart ends a dispatcher by a series of signals and starts it again after a time, unless another fault has it.
// Workers may hang, and discovery may be down, through the whole of its end.
func (r *run) restart(ctx context.Context, injected fault) {
	target := r.daemons[injected.target]
	if !target.tryClaim() {
		return
	}
	defer target.release()
	if injected.workersHang {
		for _, worker := range r.workers[:len(r.workers)/3] {
			worker.hang(killAfterTerm + time.Second)
		}
	}
	if injected.discoveryDown {
		r.discovery.beginFault(faultDiscoveryDown)
		defer r.discovery.endFault(faultDiscoveryDown)
	}
	target.terminate(injected.signals)
	sleep(ctx, injected.duration)
	target.launchAndAwait()
}

// reload sends a dispatcher a series of SIGHUP, unless another fault has it.
func (r *run) reload(injected fault) {
	target := r.daemons[injected.target]
	if !target.tryClaim() {
		return
	}
	defer target.release()
	injected.signals.send(target.currentProcess(), func() {})
}

// launchAndAwait starts a process and waits until clients may come.
func (d *daemon) launchAndAwait() {
	if err := d.launch(); err != nil {
		d.addCrash(err.Error())
		return
	}
	if !d.awaitReady(startTimeout) {
		d.addCrash(fmt.Sprintf("%s is not ready %v after its start", d.name, startTimeout))
		return
	}
	d.ready()
}
