package standin

import (
	"context"
	"fmt"
	"io"
	"log"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// WorkerConfig describes how a worker behaves. A zero value stands for the default that the field's
// comment gives.
type WorkerConfig struct {
	Name             string
	Zone             string
	Kind             string        // kind of machine
	Slots            float64       // number of slots; default 3
	Memory           float64       // units of memory, of which a job uses one for each slot; default one for each slot
	QueueLimit       int           // number of jobs that can wait; default 10 for each slot
	Speed            float64       // divides the service time of jobs; default 1
	RunTimeVariation float64       // coefficient of variation of the duration of jobs; 0 for no variation
	WarmupShare      float64       // share of the full speed at which the worker starts; 0 for no warm-up
	Warmup           time.Duration // time from the start until the worker has its full speed
	ReportInterval   time.Duration // minimum time between two load reports; default 1 s
	ReportLag        time.Duration // minimum age of the load report that is sent, if there is one so old
	Seed             uint64
	SendsReports     bool // whether answers contain load reports
}

const (
	defaultSlots          = 3
	defaultSpeed          = 1
	queueLimitPerSlot     = 10
	defaultReportInterval = time.Second
)

// setDefaults replaces zero values by the defaults.
func (c *WorkerConfig) setDefaults() {
	if c.Slots == 0 {
		c.Slots = defaultSlots
	}
	if c.Speed == 0 {
		c.Speed = defaultSpeed
	}
	if c.Memory == 0 {
		c.Memory = c.Slots
	}
	if c.QueueLimit == 0 {
		c.QueueLimit = int(queueLimitPerSlot * c.Slots)
	}
	if c.ReportInterval == 0 {
		c.ReportInterval = defaultReportInterval
	}
}

// Worker is a running worker. It accepts jobs over HTTP, starts them strictly in order as slots and
// memory become free, and streams their progress. It records every execution in the ledger, and
// executes a request at most once. It is safe for concurrent use.
type Worker struct {
	WorkerConfig
	Addr    string
	Started time.Time

	ledger *Ledger
	secret []byte
	server *http.Server

	mutex        sync.Mutex
	queue        []*queuedJob
	usedSlots    float64
	usedMemory   float64
	draining     bool
	stalledUntil time.Time
	slowdown     float64 // factor by which jobs that start take longer
	reports      []loadSnapshot
}

// StartWorker starts a worker on a loopback port that the kernel chooses. The worker signs its
// answers to challenges with secret.
func StartWorker(config WorkerConfig, ledger *Ledger, secret []byte) (*Worker, error) {
	config.setDefaults()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	worker := &Worker{
		WorkerConfig: config,
		Addr:         listener.Addr().String(),
		Started:      time.Now(),
		ledger:       ledger,
		secret:       secret,
		slowdown:     1,
	}
	worker.server = newServer(worker)
	go worker.server.Serve(listener)
	return worker, nil
}

// newServer returns an HTTP server that does not write to the program's log.
func newServer(handler http.Handler) *http.Server {
	const (
		readHeaderTimeout = 5 * time.Second
		idleTimeout       = time.Minute
	)
	return &http.Server{
		Handler:           handler,
		ErrorLog:          log.New(io.Discard, "", 0),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
}

// Close stops the worker as if its process were killed: its connections are closed or reset.
func (w *Worker) Close() error { return w.server.Close() }

// Drain makes the worker reject new jobs and return the queued ones.
func (w *Worker) Drain() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.draining = true
	for _, queued := range w.queue {
		queued.begin <- false
	}
	w.queue = nil
}

// Stall stalls the worker for the given time: running jobs make no progress after their current
// progress interval, no job is started, and the load report does not change.
func (w *Worker) Stall(duration time.Duration) {
	w.mutex.Lock()
	w.stalledUntil = time.Now().Add(duration)
	w.mutex.Unlock()
	time.AfterFunc(duration, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.startQueued()
	})
}

// SlowDown multiplies the duration of jobs that start from now on by factor.
func (w *Worker) SlowDown(factor float64) {
	const minFactor = 0.01
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.slowdown = max(factor, minFactor)
}

// currentSpeed returns the worker's current speed.
func (w *Worker) currentSpeed() float64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	speed := w.Speed / w.slowdown
	if age := time.Since(w.Started); w.WarmupShare > 0 && age < w.Warmup {
		speed *= w.WarmupShare + (1-w.WarmupShare)*float64(age)/float64(w.Warmup)
	}
	return speed
}

// run waits for the duration of one execution of a job, and regularly calls onProgress with the
// completed share. It returns false if ctx ends first.
func (w *Worker) run(ctx context.Context, job Job, run int, onProgress func(share float64)) bool {
	const progressInterval = time.Second
	total := w.runTime(job, run)
	for spent := time.Duration(0); spent < time.Duration(total); {
		step := min(progressInterval, time.Duration(total)-spent)
		if !sleep(ctx, step) {
			return false
		}
		spent += step
		if spent < time.Duration(total) {
			onProgress(float64(spent) / total)
		}
		if stall := w.remainingStall(); stall > 0 && !sleep(ctx, stall) {
			return false
		}
	}
	return true
}

// remainingStall returns how long the worker stays stalled. It is not positive if the worker is not
// stalled.
func (w *Worker) remainingStall() time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return time.Until(w.stalledUntil)
}

// runTime returns the duration of an execution in nanoseconds. It depends on the job's ID, on how
// often the job was executed before, and on the worker's current speed.
func (w *Worker) runTime(job Job, run int) float64 {
	random := rand.New(rand.NewPCG(w.Seed, xxhash.Sum64String(job.ID)+uint64(run)))
	total := float64(max(job.ServiceTime, time.Microsecond))
	if w.RunTimeVariation > 0 {
		variance := math.Log(1 + w.RunTimeVariation*w.RunTimeVariation) // variance of the logarithm of the duration
		total *= math.Exp(random.NormFloat64()*math.Sqrt(variance) - variance/2)
	}
	return total / w.currentSpeed()
}

// sleep waits for the given time. It returns false if ctx ends first.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// String returns the worker's name and address.
func (w *Worker) String() string { return fmt.Sprintf("%s at %s", w.Name, w.Addr) }
