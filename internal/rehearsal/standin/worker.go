package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// This file owns a membership worker: it takes jobs over HTTP, starts them
// strictly in order as slots and memory allow, and tells of it. Everything it
// does is in the books. It must never start a job twice for one request, nor
// anything that the books do not know.

// WorkerConfig says what a worker is like. Zero values take the defaults told.
type WorkerConfig struct {
	Name    string
	Site    string
	Class   string        // kind of machine
	Cores   float64       // slots; default 3
	Memory  float64       // units; default one for each slot
	QueueLimit   int           // jobs that wait at most; default 10 for each slot
	Speed   float64       // default 1
	Noise   float64       // coefficient of variation of a run's time; 0: none
	WarmupShare    float64       // share of its speed right after its start; 0: it is warm
	Warmup time.Duration // until it is warm
	ReportInterval  time.Duration // how often its report is renewed; default 1 s
	ReportLag     time.Duration // and how old it is by then
	Seed    uint64
	SendsReports bool // whether answers carry reports
}

// Worker is a running one.
type Worker struct {
	WorkerConfig
	Addr string
	Started time.Time

	ledger  *Ledger
	secret []byte
	server *http.Server

	mu       sync.Mutex
	queue    []*queuedJob
	usedSlots     float64 // slots
	usedMemory   float64
	draining bool
	stalledUntil  time.Time // nothing goes on before
	slowdown   float64
	errors   int
	reports  []loadSnapshot
}

type queuedJob struct {
	slots, memory float64
	begin         chan bool // true: start; false: handed back
}

type loadSnapshot struct {
	at                       time.Time
	errors, queue, free, mem float64
}

// StartWorker starts a worker on a loopback port that the kernel chooses.
func StartWorker(c WorkerConfig, books *Ledger, secret []byte) (*Worker, error) {
	for _, d := range []struct {
		v   *float64
		def float64
	}{{&c.Cores, 3}, {&c.Speed, 1}} {
		if *d.v == 0 {
			*d.v = d.def
		}
	}
	if c.Memory == 0 {
		c.Memory = c.Cores
	}
	if c.QueueLimit == 0 {
		c.QueueLimit = int(10 * c.Cores)
	}
	if c.ReportInterval == 0 {
		c.ReportInterval = time.Second
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Worker{WorkerConfig: c, Addr: ln.Addr().String(), Started: time.Now(), ledger: books, secret: secret, slowdown: 1}
	w.server = newServer(w)
	go w.server.Serve(ln)
	return w, nil
}

// newServer is a server that does not write to the log of the program.
func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ErrorLog: log.New(io.Discard, "", 0), ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout: time.Minute}
}

// Close ends the worker as a killed process would: its connections are reset or closed.
func (w *Worker) Close() error { return w.server.Close() }

// Drain makes it take nothing new and hand back what waits.
func (w *Worker) Drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = true
	for _, q := range w.queue {
		q.begin <- false
	}
	w.queue = nil
}

// Stall makes it stand still: what runs makes no progress and nothing starts,
// while its reports go on telling what they told last.
func (w *Worker) Stall(span time.Duration) {
	w.mu.Lock()
	w.stalledUntil = time.Now().Add(span)
	w.mu.Unlock()
	time.AfterFunc(span, func() { w.mu.Lock(); w.startQueued(); w.mu.Unlock() })
}

// SlowDown makes runs that start from now on take so many times as long.
func (w *Worker) SlowDown(factor float64) {
	w.mu.Lock()
	w.slowdown = max(factor, 0.01)
	w.mu.Unlock()
}

// LagReports makes reports so much older.
func (w *Worker) LagReports(by time.Duration) {
	w.mu.Lock()
	w.ReportLag = by
	w.mu.Unlock()
}

// ServeHTTP takes jobs and challenges.
func (w *Worker) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	if in.URL.Path == challengePath {
		answerChallenge(out, in, w.secret, w.Name)
		return
	}
	id := in.Header.Get("X-Correlation-Id")
	if id == "" || in.Method != http.MethodPost {
		http.Error(out, "no id", http.StatusNotFound)
		return
	}
	body, err := io.ReadAll(io.LimitReader(in.Body, 64<<10+1))
	if err != nil {
		return // it never came whole: nothing has run
	}
	job, ok := w.ledger.accept(id, in.URL.EscapedPath(), len(body))
	if !ok {
		http.Error(out, "no client sent this", http.StatusBadRequest)
		return
	}
	slots := max(job.Slots, 1)
	for fact := range strings.SplitSeq(in.Header.Get("X-Facts"), ",") {
		if name, value, _ := strings.Cut(fact, "="); name == "slots" {
			if x, err := strconv.ParseFloat(value, 64); err == nil {
				slots = x
			}
		}
	}
	place, ok := w.enqueue(slots)
	if !ok {
		w.setReportHeader(out.Header())
		out.Header().Set("X-Unprocessed", "1")
		http.Error(out, "no room", http.StatusServiceUnavailable)
		return
	}
	out.Header().Set("Content-Type", "application/x-ndjson")
	out.WriteHeader(http.StatusOK)
	flush := out.(http.Flusher).Flush
	flush()
	say := func(more map[string]any) {
		more["id"], more["from"] = id, w.Name
		line, _ := json.Marshal(more) // strings and numbers always marshal
		out.Write(append(line, '\n'))
		flush()
	}
	select {
	case start := <-place.begin:
		if !start {
			say(map[string]any{"state": "returned", "load": w.report()})
			return
		}
	case <-in.Context().Done():
		if w.abandon(place) {
			return
		}
		if !<-place.begin {
			return
		}
	}
	defer w.release(slots)
	run := w.ledger.startRun(id, w.Name, time.Now())
	say(map[string]any{"state": "started"})
	finished := w.run(in.Context(), job, run, func(share float64) {
		say(map[string]any{"state": "running", "share": math.Round(share*100) / 100})
	})
	w.ledger.endRun(id, run, time.Now(), finished)
	if finished {
		last := map[string]any{"state": "done", "result": w.Name + " " + id}
		if w.SendsReports {
			last["load"] = w.report()
		}
		say(last)
	}
}

// enqueue takes a place in the queue; false: there is no room, or never will be.
func (w *Worker) enqueue(slots float64) (*queuedJob, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.draining || slots > w.Cores || slots > w.Memory || len(w.queue) >= w.QueueLimit {
		return nil, false
	}
	q := &queuedJob{slots: slots, memory: slots, begin: make(chan bool, 1)}
	w.queue = append(w.queue, q)
	w.startQueued()
	return q, true
}

// startQueued starts what fits, in order: the first waits until it does.
func (w *Worker) startQueued() {
	for len(w.queue) > 0 && !time.Now().Before(w.stalledUntil) {
		q := w.queue[0]
		if w.usedSlots+q.slots > w.Cores || w.usedMemory+q.memory > w.Memory {
			return
		}
		w.queue = w.queue[1:]
		w.usedSlots, w.usedMemory = w.usedSlots+q.slots, w.usedMemory+q.memory
		q.begin <- true
	}
}

// abandon gives up a place; false: the job has been started or handed back.
func (w *Worker) abandon(q *queuedJob) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, other := range w.queue {
		if other == q {
			w.queue = append(w.queue[:i], w.queue[i+1:]...)
			w.startQueued()
			return true
		}
	}
	return false
}

func (w *Worker) release(slots float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.usedSlots, w.usedMemory = w.usedSlots-slots, w.usedMemory-slots
	w.startQueued()
}

// currentSpeed is how fast it works at a moment.
func (w *Worker) currentSpeed() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	speed := w.Speed / w.slowdown
	if age := time.Since(w.Started); w.WarmupShare > 0 && age < w.Warmup {
		speed *= w.WarmupShare + (1-w.WarmupShare)*float64(age)/float64(w.Warmup)
	}
	return speed
}

// run spends a run's time; false: it was called off.
func (w *Worker) run(ctx context.Context, job Job, run int, tell func(share float64)) bool {
	rng := rand.New(rand.NewPCG(w.Seed, xxhash.Sum64String(job.ID)+uint64(run)))
	span := float64(max(job.ServiceTime, time.Microsecond))
	if w.Noise > 0 {
		s2 := math.Log(1 + w.Noise*w.Noise)
		span *= math.Exp(rng.NormFloat64()*math.Sqrt(s2) - s2/2)
	}
	span /= w.currentSpeed()
	const note = time.Second
	for spent := time.Duration(0); spent < time.Duration(span); {
		step := min(note, time.Duration(span)-spent)
		if !sleep(ctx, step) {
			return false
		}
		if spent += step; spent < time.Duration(span) {
			tell(float64(spent) / span)
		}
		w.mu.Lock()
		still := time.Until(w.stalledUntil)
		w.mu.Unlock()
		if still > 0 && !sleep(ctx, still) {
			return false
		}
	}
	return true
}

func sleep(ctx context.Context, span time.Duration) bool {
	t := time.NewTimer(span)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// report is its load report: as old as it has been told to be.
func (w *Worker) report() map[string]float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if n := len(w.reports); (n == 0 || now.Sub(w.reports[n-1].at) >= w.ReportInterval) && !now.Before(w.stalledUntil) {
		w.reports = append(w.reports, loadSnapshot{now, float64(w.errors), float64(len(w.queue)), w.Cores - w.usedSlots, w.Memory - w.usedMemory})
	}
	for len(w.reports) > 1 && now.Sub(w.reports[1].at) >= w.ReportLag {
		w.reports = w.reports[1:]
	}
	if len(w.reports) == 0 {
		return map[string]float64{}
	}
	r := w.reports[0]
	return map[string]float64{"eps": r.errors, "queue": r.queue, "x0": r.free, "x1": r.mem}
}

func (w *Worker) setReportHeader(h http.Header) {
	if !w.SendsReports {
		return
	}
	text, _ := json.Marshal(w.report())
	h.Set("X-Backend-Load", string(text))
}

// Free tells how many slots are free and how many jobs wait.
func (w *Worker) Free() (slots float64, waiting int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Cores - w.usedSlots, len(w.queue)
}

func (w *Worker) String() string { return fmt.Sprintf("%s at %s", w.Name, w.Addr) }
