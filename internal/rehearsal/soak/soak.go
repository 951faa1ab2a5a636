// Package soak runs a few dozen real dispatchers on loopback between stand-ins for
// discovery, workers and clients, under random faults that overlap, and judges from
// outside whether the rules held. A seed names the schedule of faults. It must never
// judge by what a dispatcher says of itself alone, nor leave a process behind.
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

// Config says what to run. Zero values take the defaults told.
type Config struct {
	Daemon  string        // the program dispatcher-serve
	Seed    uint64        // of the schedule of faults
	Daemons int           // default 24
	Workers int           // default 12
	For     time.Duration // how long faults and clients go on; default 30 s
	Rate    float64       // requests a second for each dispatcher; default 4
	Traced  int           // dispatchers whose system calls fail and whose wall clock steps; default an eighth
}

func (c *Config) normalize() {
	setDefault(&c.Daemons, 24)
	setDefault(&c.Workers, 12)
	setDefault(&c.For, 30*time.Second)
	setDefault(&c.Rate, 4)
	if c.Traced == 0 {
		c.Traced = c.Daemons / 8
	}
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

// Rules of the deployment that the soak plays, as the dispatchers' settings tell them.
const (
	notifiedWithin = 6 * time.Second
	drainGrace     = 500 * time.Millisecond
	lateAnswer     = 500 * time.Millisecond // beyond its time a request is lost
	leaveSlack     = 100 * time.Millisecond // from a client's close to the last attempt that may begin
	timeLeftSlack  = 150 * time.Millisecond

	// machineSlack is what a machine that runs everything at once may add to each bound,
	// and tracedSlack where each system call stops for its tracer. A machine that is
	// later than that adds what its own timers were late.
	machineSlack = 400 * time.Millisecond
	tracedSlack  = 4 * time.Second
)

// slackOf is what is allowed beyond each bound of a dispatcher.
func (r *run) slackOf(d *daemon) time.Duration {
	slack := machineSlack + 2*time.Duration(r.lateness.Load())
	if d.trace != nil {
		slack += tracedSlack
	}
	return slack
}

// measureLateness books by how much the machine's timers are late, until stop is closed.
func (r *run) measureLateness(stop <-chan struct{}) {
	const step = 10 * time.Millisecond
	for {
		due := time.Now().Add(step)
		select {
		case <-stop:
			return
		case <-time.After(step):
		}
		if late := int64(time.Since(due)); late > r.lateness.Load() {
			r.lateness.Store(late)
		}
	}
}

// run is one soak.
type run struct {
	Config
	dir       string
	start     time.Time
	discovery *discovery
	workers   []*worker
	daemons   []*daemon
	records   records
	lateness  atomic.Int64 // of the machine's timers at the worst, in nanoseconds
}

// Run runs a soak and reports what it found. An error says that it could not be run.
func Run(ctx context.Context, c Config) (Report, error) {
	c.normalize()
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return Report{}, err
	}
	defer os.RemoveAll(dir)
	r := &run{Config: c, dir: dir}
	defer r.close()
	if err := r.begin(); err != nil {
		return Report{}, err
	}
	r.play(ctx)
	return r.judge(), nil
}

// begin starts the stand-ins and the dispatchers.
func (r *run) begin() (err error) {
	if r.discovery, err = startDiscovery(); err != nil {
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
	random := rand.New(rand.NewPCG(r.Seed, 1))
	for i := range r.Daemons {
		d, err := r.newDaemon(i, i < r.Traced, random.Uint64())
		if err != nil {
			return err
		}
		r.daemons = append(r.daemons, d)
	}
	var starts sync.WaitGroup
	errs := make([]error, len(r.daemons))
	for i, d := range r.daemons {
		starts.Add(1)
		go func() {
			defer starts.Done()
			errs[i] = d.launch()
		}()
	}
	starts.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return r.awaitReady()
}

// awaitReady waits until all dispatchers take clients.
func (r *run) awaitReady() error {
	const patience = 30 * time.Second
	for _, d := range r.daemons {
		if !d.awaitReady(patience) {
			return fmt.Errorf("%s is not ready after %v: %s", d.name, patience, d.lastLog())
		}
	}
	return nil
}

// play lets clients and faults go on for the time of the run, and waits for all answers.
func (r *run) play(ctx context.Context) {
	r.start = time.Now()
	stop := make(chan struct{})
	defer close(stop)
	go r.measureLateness(stop)
	ctx, cancel := context.WithTimeout(ctx, r.For)
	defer cancel()
	var parts sync.WaitGroup
	for i, d := range r.daemons {
		parts.Add(1)
		go func() {
			defer parts.Done()
			r.clients(ctx, d, rand.New(rand.NewPCG(r.Seed, uint64(100+i))))
		}()
	}
	for _, f := range schedule(r.Seed, r.Config) {
		parts.Add(1)
		go func() {
			defer parts.Done()
			r.inject(ctx, f)
		}()
	}
	parts.Wait()
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
	Requests   int           // handed in
	Answered   int           // with a final answer in time
	Served     int           // of them
	Excused    int           // their dispatcher was killed, ended or could not be reached
	Arrivals   int           // attempts that came to workers
	BrokenOff  int           // requests that broke off on their way to a worker
	Faults     int           // injected
	Lateness   time.Duration // of the machine's own timers at the worst
	Violations []string
}

// String tells the report in a few lines, the seed first.
func (r Report) String() string {
	text := fmt.Sprintf("seed %d: %d requests, %d answered in time (%d served), %d excused; %d attempts at workers, %d broken off on the way; %d faults; timers %v late at the worst; %d violations",
		r.Seed, r.Requests, r.Answered, r.Served, r.Excused, r.Arrivals, r.BrokenOff, r.Faults, r.Lateness.Round(time.Millisecond), len(r.Violations))
	const most = 20
	shown := r.Violations[:min(len(r.Violations), most)]
	return strings.Join(append([]string{text}, shown...), "\n  ")
}
