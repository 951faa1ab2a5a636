// Package soak runs a few dozen real dispatchers on loopback between stand-ins for the discovery
// service, the workers and the clients, under random faults that overlap, and checks the rules
// from what the stand-ins observed; a dispatcher's own counters only add violations. A seed
// determines the schedule of the faults. All processes are children that end with the run.
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

// Config says what to run. Zero values mean the defaults given.
type Config struct {
	Program  string        // path of dispatcher-serve; it has no default
	Seed     uint64        // of the schedule of faults
	Daemons  int           // default 24
	Workers  int           // default 12
	Duration time.Duration // of faults and clients; default 30 s
	Rate     float64       // requests per second to each dispatcher; default 6
	Traced   int           // dispatchers whose system calls fail and whose wall clock steps; default an eighth
	Durable  bool          // two more dispatchers have durable queues; default on even seeds
}

const (
	defaultDaemons  = 24
	defaultWorkers  = 12
	defaultDuration = 30 * time.Second
	defaultRate     = 6
	tracedShare     = 8 // one in so many dispatchers
)

// setDefaults replaces zero values.
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
	if c.Traced == 0 {
		c.Traced = c.Daemons / tracedShare
	}
	c.Durable = c.Durable || c.Seed%2 == 0
}

// Streams of the random sources that share a run's seed.
const (
	daemonSeedStream    = 1
	faultScheduleStream = 2
	clientStreamBase    = 100 // the stream of the first dispatcher's clients; the others follow
	durableSeedStream   = 10_000
	durableStreamStride = 100 // between the streams of two durable queues
)

const startTimeout = 30 * time.Second

// run is one soak. Its fields are set before clients and faults run, but for what these record.
type run struct {
	config    Config
	dir       string // for the dispatchers' files
	idPrefix  string // of the IDs of its requests; no other run has it
	start     time.Time
	discovery *discovery
	workers   []*worker
	daemons   []*daemon
	queues    []*durableQueue
	replaced  []*daemon // their processes are replaced by successors
	records   records
	timers    latenessLog // of this process
}

// Run runs a soak and reports what it found. The error says that it could not be run. A canceled
// ctx ends the faults and the clients early.
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

// newIDPrefix returns what the IDs of a run's requests begin with, which differs for two runs of one seed too.
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

// prepareDaemons prepares the dispatchers, each with a seed of its own. The first ones are traced.
func (r *run) prepareDaemons() error {
	random := rand.New(rand.NewPCG(r.config.Seed, daemonSeedStream))
	for i := range r.config.Daemons {
		prepared, err := r.newDaemon(i, i < r.config.Traced, random.Uint64())
		if err != nil {
			return err
		}
		r.daemons = append(r.daemons, prepared)
	}
	return nil
}

// launchDaemons launches all dispatchers at once and returns the error of the first one that has any.
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
			return fmt.Errorf("%s is not ready after %v: %s", daemon.name, startTimeout, daemon.currentProcess().endOfLog())
		}
		daemon.ready()
	}
	return nil
}

// runFaults runs clients and faults for the duration of the soak, and waits for all answers.
func (r *run) runFaults(ctx context.Context) {
	r.start = time.Now()
	stop := make(chan struct{})
	defer close(stop)
	go r.measureTimers(stop)
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
	}
	for number, target := range r.replaced {
		clients := rand.New(rand.NewPCG(r.config.Seed, uint64(replacementStreamBase+1+2*number)))
		replacements := rand.New(rand.NewPCG(r.config.Seed, uint64(replacementStreamBase+2+2*number)))
		running.Go(func() { r.sendRequests(ctx, target, clients) })
		running.Go(func() { r.replaceRepeatedly(ctx, target, replacements) })
		go target.measureLoop(stop)
	}
	for number, scheduled := range schedule(r.config.Seed, r.config) {
		running.Go(func() { r.injectFault(ctx, number, scheduled) })
	}
	running.Go(func() { r.holdRepeatedly(ctx) })
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
