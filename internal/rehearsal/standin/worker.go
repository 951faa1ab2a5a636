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

// WorkerConfig says how a worker behaves. Zero values mean the defaults given.
type WorkerConfig struct {
	Name           string
	Site           string
	Class          string        // kind of machine
	Cores          float64       // slots; default 3
	Memory         float64       // units; default one for each slot
	QueueLimit     int           // queued jobs; default 10 for each slot
	Speed          float64       // default 1
	Noise          float64       // coefficient of variation of the jobs' times; 0: none
	WarmupShare    float64       // share of its speed right after its start; 0: no warm-up
	Warmup         time.Duration // until it has its full speed
	ReportInterval time.Duration // between load reports; default 1 s
	ReportLag      time.Duration // age of the load reports it sends
	Seed           uint64
	SendsReports   bool // whether answers contain load reports
}

const (
	defaultCores          = 3
	defaultSpeed          = 1
	queuePerSlot          = 10
	defaultReportInterval = time.Second
)

// setDefaults replaces zero values.
func (c *WorkerConfig) setDefaults() {
	if c.Cores == 0 {
		c.Cores = defaultCores
	}
	if c.Speed == 0 {
		c.Speed = defaultSpeed
	}
	if c.Memory == 0 {
		c.Memory = c.Cores
	}
	if c.QueueLimit == 0 {
		c.QueueLimit = int(queuePerSlot * c.Cores)
	}
	if c.ReportInterval == 0 {
		c.ReportInterval = defaultReportInterval
	}
}

// Worker is a running worker. It takes jobs over HTTP, starts them strictly in order as slots and
// memory allow, and streams their progress. Every execution is in the ledger; a request is
// executed once at most. It is safe for concurrent use.
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
	slowdown     float64 // factor of the time of jobs that start
	reports      []loadSnapshot
}

// StartWorker starts a worker on a loopback port that the kernel chooses. secret is that of its
// answers to challenges.
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

// newServer makes a server that does not write to the program's log.
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

// Stall makes the worker stand still: running jobs make no progress, none is started, and its
// load reports do not change.
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

// SlowDown multiplies the time of jobs that start from now on.
func (w *Worker) SlowDown(factor float64) {
	const minFactor = 0.01
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.slowdown = max(factor, minFactor)
}

// currentSpeed is the worker's speed at this moment.
func (w *Worker) currentSpeed() float64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	speed := w.Speed / w.slowdown
	if age := time.Since(w.Started); w.WarmupShare > 0 && age < w.Warmup {
		speed *= w.WarmupShare + (1-w.WarmupShare)*float64(age)/float64(w.Warmup)
	}
	return speed
}

// run spends the time of one execution of a job. onProgress is called with the completed share.
// It reports false if ctx ended first.
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

// remainingStall is how long the worker still stands still; not positive: it does not.
func (w *Worker) remainingStall() time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return time.Until(w.stalledUntil)
}

// runTime is the time of an execution in nanoseconds. It depends on the job's id and the number of
// its earlier runs, and on the worker's speed at this moment.
func (w *Worker) runTime(job Job, run int) float64 {
	random := rand.New(rand.NewPCG(w.Seed, xxhash.Sum64String(job.ID)+uint64(run)))
	total := float64(max(job.ServiceTime, time.Microsecond))
	if w.Noise > 0 {
		variance := math.Log(1 + w.Noise*w.Noise) // of the logarithm
		total *= math.Exp(random.NormFloat64()*math.Sqrt(variance) - variance/2)
	}
	return total / w.currentSpeed()
}

// sleep waits. It reports false if ctx ended first.
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

// String names the worker and its address.
func (w *Worker) String() string { return fmt.Sprintf("%s at %s", w.Name, w.Addr) }
