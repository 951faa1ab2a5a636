// Package soak runs a few dozen dispatcher processes on loopback, with stand-ins for the discovery service, the workers
// and the clients, under random faults that overlap. It checks the records of what the stand-ins observed against
// rules. The violations that a dispatcher counts itself are added to the report; its counters never excuse a violation.
// A seed determines the schedule of the faults. All processes are children of this process and end with the run.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"
)

// Config describes a run. A zero value stands for the default that the field's comment gives.
type Config struct {
	Program       string        // path of dispatcher-serve; required
	Seed          uint64        // seed of the schedule of faults
	Daemons       int           // number of dispatchers; default 24
	Workers       int           // number of workers; default 12
	Duration      time.Duration // how long faults and clients run; default 30 s
	Rate          float64       // requests per second to each dispatcher; default 6
	TracedDaemons int           // number of dispatchers whose system calls fail and whose wall clocks step; default an eighth of Daemons
	Durable       bool          // whether three more dispatchers have durable queues; always true for even seeds
}

const (
	defaultDaemons  = 24
	defaultWorkers  = 12
	defaultDuration = 30 * time.Second
	defaultRate     = 6
	tracedShare     = 8 // by default, one dispatcher in this many is traced
)

// setDefaults replaces zero values by the defaults.
func (c *Config) setDefaults() {
	if c.Daemons == 0 {
		c.Daemons = defaultDaemons
	}
	if c.Workers == 0 {
		c.Workers = defaultWorkers
	}
	if c.Duration == 0 {
		c.Duration = defaultDuration
	}
	if c.Rate == 0 {
		c.Rate = defaultRate
	}
	if c.TracedDaemons == 0 {
		c.TracedDaemons = c.Daemons / tracedShare
	}
	c.Durable = c.Durable || c.Seed%2 == 0
}

// Stream numbers of the random sources that use the seed of a run.
const (
	daemonSeedStream    = 1
	faultScheduleStream = 2
	clientStreamBase    = 100 // stream of the first dispatcher's clients; those of the others follow
	durableSeedStream   = 10_000
	durableStreamStride = 100 // distance between the streams of two durable queues
)

const startTimeout = 30 * time.Second

// run is one soak. After the clients and faults have started, only records and timerLateness change; all other fields
// are set before.
type run struct {
	config        Config
	dir           string // directory for the dispatchers' files
	idPrefix      string // prefix of the IDs of its requests; differs between runs
	start         time.Time
	discovery     *discovery
	workers       []*worker
	daemons       []*daemon
	queues        []*durableQueue
	replaced      []*daemon // dispatchers whose processes are replaced by successors
	records       records
	timerLateness latenessLog // lateness of the timers of this process
}

// Run runs a soak and returns its report. It fails if the soak could not be started. If ctx is
// canceled, the faults and the clients end early.
func Run(ctx context.Context, config Config) (Report, error) {
	config.setDefaults()
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return Report{}, err
	}
	defer os.RemoveAll(dir)
	r := &run{config: config, dir: dir, idPrefix: newIDPrefix(config.Seed)}
	defer r.close()
	if err := r.startAll(); err != nil {
		return Report{}, err
	}
	r.runFaults(ctx)
	return r.checkRules(), nil
}

// newIDPrefix returns a prefix for the IDs of a run's requests. It differs even between two runs with the same seed.
func newIDPrefix(seed uint64) string { return fmt.Sprintf("%d.%08x-", seed, rand.Uint32()) }

// startAll starts the stand-ins and the dispatchers, and waits until the dispatchers accept clients.
func (r *run) startAll() error {
	var err error
	r.discovery, err = startDiscovery()
	if err != nil {
		return err
	}
	if err := r.startWorkers(); err != nil {
		return err
	}
	if err := r.prepareDaemons(); err != nil {
		return err
	}
	if err := r.prepareReplaced(); err != nil {
		return err
	}
	if err := r.launchDaemons(); err != nil {
		return err
	}
	if err := r.startReplaced(); err != nil {
		return err
	}
	if err := r.awaitDaemonsReady(); err != nil {
		return err
	}
	if r.config.Durable {
		return r.startDurable()
	}
	return nil
}

// startWorkers starts the workers and lists them as ready.
func (r *run) startWorkers() error {
	for i := range r.config.Workers {
		started, err := r.startWorker(fmt.Sprintf("s-%02d", i))
		if err != nil {
			return err
		}
		r.workers = append(r.workers, started)
		r.discovery.set(started.name, started.address, healthReady)
	}
	return nil
}

// prepareDaemons prepares the dispatchers, each with its own seed. The first TracedDaemons ones are traced.
func (r *run) prepareDaemons() error {
	random := rand.New(rand.NewPCG(r.config.Seed, daemonSeedStream))
	for i := range r.config.Daemons {
		prepared, err := r.newDaemon(i, i < r.config.TracedDaemons, random.Uint64())
		if err != nil {
			return err
		}
		r.daemons = append(r.daemons, prepared)
	}
	return nil
}

// launchDaemons starts the processes of all dispatchers concurrently. It returns the first error in the order of the
// dispatchers.
func (r *run) launchDaemons() error {
	var launches sync.WaitGroup
	errs := make([]error, len(r.daemons))
	for i, daemon := range r.daemons {
		launches.Go(func() { errs[i] = daemon.launch() })
	}
	launches.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// awaitDaemonsReady waits until all dispatchers accept clients.
func (r *run) awaitDaemonsReady() error {
	for _, daemon := range r.daemons {
		if !daemon.awaitReady(startTimeout) {
			return fmt.Errorf("%s is not ready after %v: %s", daemon.name, startTimeout, daemon.currentProcess().logTail())
		}
		daemon.recordReady()
	}
	return nil
}

// runFaults runs the clients and faults for the duration of the soak, and waits until all of them have ended.
func (r *run) runFaults(ctx context.Context) {
	r.start = time.Now()
	stop := make(chan struct{})
	defer close(stop)
	go r.measureTimers(stop)
	go r.measureMemory(stop)
	for _, daemon := range r.daemons {
		go daemon.measureLoop(stop)
		if daemon.tracer != nil {
			go daemon.measureAccept(stop)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, r.config.Duration)
	defer cancel()
	var running sync.WaitGroup
	for i, daemon := range r.daemons {
		random := rand.New(rand.NewPCG(r.config.Seed, uint64(clientStreamBase+i)))
		running.Go(func() { r.sendRequests(ctx, daemon, random) })
	}
	for number, queue := range r.queues {
		running.Go(func() { r.runDurable(ctx, number, queue) })
		if queue.number == replacedQueue {
			go queue.measureLoop(stop)
		}
	}
	for number, target := range r.replaced {
		clients := rand.New(rand.NewPCG(r.config.Seed, uint64(replacementStreamBase+1+2*number)))
		replacements := rand.New(rand.NewPCG(r.config.Seed, uint64(replacementStreamBase+2+2*number)))
		running.Go(func() { r.sendRequests(ctx, target, clients) })
		running.Go(func() { r.replaceRepeatedly(ctx, target, replacements) })
		go target.measureLoop(stop)
	}
	for number, scheduled := range scheduleFaults(r.config.Seed, r.config) {
		running.Go(func() { r.injectFault(ctx, number, scheduled) })
	}
	running.Go(func() { r.stopBrieflyRepeatedly(ctx) })
	for _, scheduled := range scheduleNetwork(r.config) {
		running.Go(func() { r.injectNetworkFault(ctx, scheduled) })
	}
	running.Wait()
}

// close ends all processes and stand-ins that were started.
func (r *run) close() {
	for _, daemon := range slices.Concat(r.daemons, r.replaced) {
		daemon.close()
	}
	for _, queue := range r.queues {
		queue.close()
	}
	for _, worker := range r.workers {
		worker.close()
	}
	if r.discovery != nil {
		r.discovery.close()
	}
}
