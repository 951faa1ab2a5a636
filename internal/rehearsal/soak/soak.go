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
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Config says what to run. Zero values mean the defaults given.
type Config struct {
	Daemon   string        // path of the program dispatcher-serve
	Seed     uint64        // of the schedule of faults
	Daemons  int           // default 24
	Workers  int           // default 12
	Duration time.Duration // of faults and clients; default 30 s
	Rate     float64       // requests per second to each dispatcher; default 4
	Traced   int           // dispatchers whose system calls fail and whose wall clock steps; default an eighth
}

const (
	defaultDaemons  = 24
	defaultWorkers  = 12
	defaultDuration = 30 * time.Second
	defaultRate     = 4
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
}

const (
	startTimeout        = 30 * time.Second
	clientStreamBase    = 100 // first stream of the clients' random sources
	daemonSeedStream    = 1
	faultScheduleStream = 2
)

// run is one soak.
type run struct {
	Config
	dir       string
	start     time.Time
	discovery *discovery
	workers   []*worker
	daemons   []*daemon
	records   records
	lateness  atomic.Int64 // largest of the machine's timers, ns
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
	r := &run{Config: config, dir: dir}
	defer r.close()
	if err := r.startAll(); err != nil {
		return Report{}, err
	}
	r.runFaults(ctx)
	return r.checkRules(), nil
}

// startAll starts the stand-ins and the dispatchers.
func (r *run) startAll() (err error) {
	r.discovery, err = startDiscovery()
	if err != nil {
		return err
	}
	for i := range r.Workers {
		w, err := startWorker(fmt.Sprintf("s-%02d", i), &r.records)
		if err != nil {
			return err
		}
		r.workers = append(r.workers, w)
		r.discovery.set(w.name, w.addr, ready)
	}
	random := rand.New(rand.NewPCG(r.Seed, daemonSeedStream))
	for i := range r.Daemons {
		d, err := r.newDaemon(i, i < r.Traced, random.Uint64())
		if err != nil {
			return err
		}
		r.daemons = append(r.daemons, d)
	}
	if err := r.launchDaemons(); err != nil {
		return err
	}
	return r.awaitReady()
}

// launchDaemons launches all dispatchers at once and returns the first error.
func (r *run) launchDaemons() error {
	var launches sync.WaitGroup
	errs := make([]error, len(r.daemons))
	for i, d := range r.daemons {
		launches.Add(1)
		go func() {
			defer launches.Done()
			errs[i] = d.launch()
		}()
	}
	launches.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until all dispatchers accept clients.
func (r *run) awaitReady() error {
	for _, d := range r.daemons {
		if !d.awaitReady(startTimeout) {
			return fmt.Errorf("%s is not ready after %v: %s", d.name, startTimeout, d.lastLog())
		}
	}
	return nil
}

// runFaults runs clients and faults for the duration of the soak, and waits for all answers.
func (r *run) runFaults(ctx context.Context) {
	r.start = time.Now()
	stop := make(chan struct{})
	defer close(stop)
	go r.measureLateness(stop)
	ctx, cancel := context.WithTimeout(ctx, r.Duration)
	defer cancel()
	var running sync.WaitGroup
	for i, d := range r.daemons {
		running.Add(1)
		go func() {
			defer running.Done()
			r.sendRequests(ctx, d, rand.New(rand.NewPCG(r.Seed, uint64(clientStreamBase+i))))
		}()
	}
	for _, f := range schedule(r.Seed, r.Config) {
		running.Add(1)
		go func() {
			defer running.Done()
			r.injectFault(ctx, f)
		}()
	}
	running.Wait()
}

// measureLateness measures how late the machine's timers are, until stop is closed.
func (r *run) measureLateness(stop <-chan struct{}) {
	const interval = 10 * time.Millisecond
	for {
		due := time.Now().Add(interval)
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		if lateness := int64(time.Since(due)); lateness > r.lateness.Load() {
			r.lateness.Store(lateness)
		}
	}
}

func (r *run) close() {
	for _, d := range r.daemons {
		d.close()
	}
	for _, w := range r.workers {
		w.close()
	}
	if r.discovery != nil {
		r.discovery.close()
	}
}

// Report is what a soak found.
type Report struct {
	Seed       uint64
	Requests   int           // sent
	Answered   int           // with a final answer in time
	Served     int           // of those
	Excused    int           // their dispatcher was killed, stopped or could not be reached
	Attempts   int           // that arrived at workers
	Incomplete int           // requests that were cut off on their way to a worker
	Faults     int           // injected
	Lateness   time.Duration // largest of the machine's timers
	Violations []string      // of the rules
}

// String describes the report in a few lines, the seed first.
func (r Report) String() string {
	text := fmt.Sprintf("seed %d: %d requests, %d answered in time (%d served), %d excused; %d attempts at workers, %d broken off on the way; %d faults; timers %v late at the worst; %d violations",
		r.Seed, r.Requests, r.Answered, r.Served, r.Excused, r.Attempts, r.Incomplete, r.Faults, r.Lateness.Round(time.Millisecond), len(r.Violations))
	const maxShown = 20
	shown := r.Violations[:min(len(r.Violations), maxShown)]
	return strings.Join(append([]string{text}, shown...), "\n  ")
}

// claim gives a dispatcher or a worker to one fault at a time.
type claim struct{ taken atomic.Bool }

// tryClaim takes the claim. It reports false if another fault has it.
func (c *claim) tryClaim() bool { return c.taken.CompareAndSwap(false, true) }

func (c *claim) release() { c.taken.Store(false) }
