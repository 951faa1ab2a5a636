package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/childprocess"
)

const (
	replacedDaemons          = 2               // number of additional dispatchers whose processes are replaced by successors
	replacementStreamBase    = 20_000          // first stream number of the random sources for these dispatchers
	minReplacementPause      = 2 * time.Second // between two replacements
	maxReplacementPause      = 5 * time.Second
	successorTimeout         = 15 * time.Second // a successor must accept clients within this time
	firstInheritedDescriptor = 3

	// successorServesText is what a predecessor logs once its successor accepts clients.
	successorServesText = "successor is accepting clients"
)

// prepareReplaced prepares the dispatchers whose processes are replaced. They inherit their listeners from this
// process, as they do from the platform in production.
func (r *run) prepareReplaced() error {
	random := rand.New(rand.NewPCG(r.config.Seed, replacementStreamBase))
	for number := range replacedDaemons {
		prepared, err := r.newDaemon(r.config.Daemons+durableQueues+number, false, random.Uint64())
		if err != nil {
			return err
		}
		if err := prepared.inheritListener(r.dir); err != nil {
			return err
		}
		r.replaced = append(r.replaced, prepared)
	}
	return nil
}

// inheritListener opens the dispatcher's listener, which all its processes inherit. It also creates a directory for its
// files, by which predecessor and successor find each other.
func (d *daemon) inheritListener(dir string) error {
	d.dir = filepath.Join(dir, d.name)
	if err := os.Mkdir(d.dir, 0o700); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", d.address)
	if err != nil {
		return err
	}
	defer listener.Close() // File returns a duplicate of the descriptor
	d.inheritedListener, err = listener.(*net.TCPListener).File()
	return err
}

// replaceRepeatedly replaces the dispatcher's process by a successor at random intervals, until ctx ends or a
// replacement fails.
func (r *run) replaceRepeatedly(ctx context.Context, target *daemon, random *rand.Rand) {
	pause := func() time.Duration {
		return minReplacementPause + time.Duration(random.Int64N(int64(maxReplacementPause-minReplacementPause)))
	}
	for sleep(ctx, pause()) {
		r.records.recordFault()
		if err := target.replace(drawSignals(true, random)); err != nil {
			target.addCrash(fmt.Sprintf("%s: %v", target.name, err))
			return
		}
		target.replacements.Add(1)
	}
}

// replace starts a successor. Once the successor accepts clients, replace ends the predecessor by a series of signals.
func (d *daemon) replace(series signalSeries) error {
	predecessor, predecessorAdmin := d.currentProcess(), d.adminAddress()
	adminAddress, err := childprocess.FreeAddress()
	if err != nil {
		return err
	}
	d.setAdminAddress(adminAddress)
	if err := d.launch(); err != nil {
		return err
	}
	if !predecessor.awaitLog(successorServesText, successorTimeout) {
		return fmt.Errorf("no successor accepts clients after %v: %s", successorTimeout, predecessor.logTail())
	}
	d.fetchInvariantsFrom(predecessorAdmin)
	d.mutex.Lock()
	predecessor.endRequested = true
	d.mutex.Unlock()
	var killAt time.Time
	series.send(predecessor, func() { killAt = time.Now().Add(killAfterTerm) })
	select {
	case <-predecessor.Done():
		d.checkEnd(predecessor)
	case <-time.After(time.Until(killAt)):
		childprocess.Stop(predecessor, syscall.SIGKILL, endTimeout)
		return fmt.Errorf("the predecessor does not end: %s", predecessor.logTail())
	}
	return nil
}

// countReplacements adds the number of replacements to the report. If the run was long enough for a replacement of each
// dispatcher, a dispatcher without one is a violation.
func (c *ruleChecker) countReplacements() {
	const leadTime = successorTimeout // maximum duration of the first replacement
	targets := slices.Clone(c.run.replaced)
	for _, queue := range c.run.queues {
		if queue.number == replacedQueue {
			targets = append(targets, queue.daemon)
		}
	}
	for _, target := range targets {
		made := int(target.replacements.Load())
		c.report.Replacements += made
		if made == 0 && c.run.config.Duration > maxReplacementPause+leadTime {
			c.addViolation(ruleHarness, c.run.start, "%s was never replaced", target.name)
		}
	}
}

// awaitLog waits until the process has logged a text. It returns false if that takes longer than the timeout.
func (p *daemonProcess) awaitLog(text string, timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(readyPollInterval) {
		log, _ := os.ReadFile(p.logPath) // a log that cannot be read counts as empty
		if strings.Contains(string(log), text) {
			return true
		}
	}
	return false
}

// startReplaced starts the dispatchers whose processes are replaced, and waits until they accept clients.
func (r *run) startReplaced() error {
	for _, target := range r.replaced {
		if err := target.launch(); err != nil {
			return err
		}
		if !target.awaitReady(startTimeout) {
			return fmt.Errorf("%s is not ready after %v: %s", target.name, startTimeout, target.currentProcess().logTail())
		}
		target.recordReady()
	}
	return nil
}
