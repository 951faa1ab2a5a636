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
	// killAfterTerm is the shortest time after a SIGTERM at which the process may be killed: the longest deadline of
	// any class, taken as 3 s where it is longer, plus 0.7 s.
	killAfterTerm = min(renewalTimeout, 3*time.Second) + readAfterTerm

	// readAfterTerm is how long after a SIGTERM a request may arrive and must still receive its final answer.
	readAfterTerm = 700 * time.Millisecond

	// Limits of the time for which clients continue to open connections after a SIGTERM.
	minNewConnectionTime = 200 * time.Millisecond
	maxNewConnectionTime = 400 * time.Millisecond

	maxSignals     = 5                      // maximum number of signals in a series
	maxSignalPause = 400 * time.Millisecond // maximum pause before a signal
)

// signalSeries is a series of SIGHUP and SIGTERM signals that are sent to one process.
type signalSeries struct {
	count             int
	signals           [maxSignals]syscall.Signal
	pauses            [maxSignals]time.Duration // pause before each signal
	newConnectionsFor time.Duration             // how long clients continue to open connections after the first SIGTERM
}

// drawSignals returns a random series. It contains at least one SIGTERM if terminates is true, and only SIGHUP
// otherwise.
func drawSignals(terminates bool, random *rand.Rand) (series signalSeries) {
	series.count = 1 + random.IntN(maxSignals)
	series.newConnectionsFor = minNewConnectionTime + time.Duration(random.Int64N(int64(maxNewConnectionTime-minNewConnectionTime)))
	for i := range series.count {
		series.signals[i] = syscall.SIGHUP
		if terminates && random.IntN(2) == 0 {
			series.signals[i] = syscall.SIGTERM
		}
		if random.IntN(3) > 0 { // otherwise there is no pause
			series.pauses[i] = time.Duration(random.Int64N(int64(maxSignalPause)))
		}
	}
	if terminates {
		series.signals[random.IntN(series.count)] = syscall.SIGTERM
	}
	return series
}

// send sends the series to a process. It calls onTerm right before the first SIGTERM.
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

// terminate ends the current process as a planned restart does: it sends a series of signals, and SIGKILL if the
// process is still running killAfterTerm after the first SIGTERM. The series must contain a SIGTERM.
func (d *daemon) terminate(series signalSeries) {
	d.mutex.Lock()
	process := d.process
	process.endRequested = true
	d.mutex.Unlock()
	d.fetchInvariants()
	var deadline time.Time
	series.send(process, func() {
		d.recordTerm(series.newConnectionsFor)
		deadline = time.Now().Add(killAfterTerm)
	})
	select {
	case <-process.Done():
		d.checkEnd(process)
	case <-time.After(time.Until(deadline)):
		d.recordKillAfterTerm()
		childprocess.Stop(process, syscall.SIGKILL, endTimeout)
	}
}

// checkEnd checks how a process ended after a SIGTERM. It records a crash unless the process exited with status 0, or
// was traced and not ended by a signal: the outcome of a traced process that has exited does not contain its status.
func (d *daemon) checkEnd(process *daemonProcess) {
	outcome := process.Outcome()
	if outcome != "exit status 0" && !strings.HasSuffix(outcome, "exit status") {
		d.addCrash(fmt.Sprintf("%s ended with %s after SIGTERM: %s", d.name, outcome, process.logTail()))
	}
}

// restart ends a dispatcher's process by a series of signals and starts a new one after the duration of the fault,
// unless another fault has claimed the dispatcher. Depending on the fault, a third of the workers hang, or the
// discovery service is down, in the meantime.
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

// reload sends a dispatcher the fault's series of SIGHUP signals, unless another fault has claimed the dispatcher.
func (r *run) reload(injected fault) {
	target := r.daemons[injected.target]
	if !target.tryClaim() {
		return
	}
	defer target.release()
	injected.signals.send(target.currentProcess(), func() {})
}

// launchAndAwait starts a process and waits until it accepts clients. It records a crash if that fails.
func (d *daemon) launchAndAwait() {
	if err := d.launch(); err != nil {
		d.addCrash(err.Error())
		return
	}
	if !d.awaitReady(startTimeout) {
		d.addCrash(fmt.Sprintf("%s is not ready %v after its start", d.name, startTimeout))
		return
	}
	d.recordReady()
}
