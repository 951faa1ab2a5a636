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
	Queue   int           // jobs that wait at most; default 10 for each slot
	Speed   float64       // default 1
	Noise   float64       // coefficient of variation of a run's time; 0: none
	Cold    float64       // share of its speed right after its start; 0: it is warm
	ColdFor time.Duration // until it is warm
	Report  time.Duration // how often its report is renewed; default 1 s
	Lag     time.Duration // and how old it is by then
	Seed    uint64
	Reports bool // whether answers carry reports
}

// Worker is a running one.
type Worker struct {
	WorkerConfig
	Addr string
	Born time.Time

	books  *Books
	secret []byte
	server *http.Server

	mu       sync.Mutex
	queue    []*waiting
	used     float64 // slots
	memory   float64
	draining bool
	stalled  time.Time // nothing goes on before
	slower   float64
	errors   int
	reports  []snapshot
}

type waiting struct {
	slots, memory float64
	begin         chan bool // true: start; false: handed back
}

type snapshot struct {
	at                       time.Time
	errors, queue, free, mem float64
}

// StartWorker starts a worker on a loopback port that the kernel chooses.
func StartWorker(c WorkerConfig, books *Books, secret []byte) (*Worker, error) {
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
	if c.Queue == 0 {
		c.Queue = int(10 * c.Cores)
	}
	if c.Report == 0 {
		c.Report = time.Second
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Worker{WorkerConfig: c, Addr: ln.Addr().String(), Born: time.Now(), books: books, secret: secret, slower: 1}
	w.server = quiet(w)
	go w.server.Serve(ln)
	return w, nil
}

// quiet is a server that does not write to the log of the program.
func quiet(h http.Handler) *http.Server {
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
	w.stalled = time.Now().Add(span)
	w.mu.Unlock()
	time.AfterFunc(span, func() { w.mu.Lock(); w.turn(); w.mu.Unlock() })
}

// Slow makes runs that start from now on take so many times as long.
func (w *Worker) Slow(factor float64) {
	w.mu.Lock()
	w.slower = max(factor, 0.01)
	w.mu.Unlock()
}

// LagReports makes reports so much older.
func (w *Worker) LagReports(by time.Duration) {
	w.mu.Lock()
	w.Lag = by
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
	job, ok := w.books.arrive(id, in.URL.EscapedPath(), len(body))
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
	place, ok := w.enter(slots)
	if !ok {
		w.load(out.Header())
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
		if w.leave(place) {
			return
		}
		if !<-place.begin {
			return
		}
	}
	defer w.done(slots)
	run := w.books.start(id, w.Name, time.Now())
	say(map[string]any{"state": "started"})
	finished := w.work(in.Context(), job, run, func(share float64) {
		say(map[string]any{"state": "running", "share": math.Round(share*100) / 100})
	})
	w.books.end(id, run, time.Now(), finished)
	if finished {
		last := map[string]any{"state": "done", "result": w.Name + " " + id}
		if w.Reports {
			last["load"] = w.report()
		}
		say(last)
	}
}

// enter takes a place in the queue; false: there is no room, or never will be.
func (w *Worker) enter(slots float64) (*waiting, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.draining || slots > w.Cores || slots > w.Memory || len(w.queue) >= w.Queue {
		return nil, false
	}
	q := &waiting{slots: slots, memory: slots, begin: make(chan bool, 1)}
	w.queue = append(w.queue, q)
	w.turn()
	return q, true
}

// turn starts what fits, in order: the first waits until it does.
func (w *Worker) turn() {
	for len(w.queue) > 0 && !time.Now().Before(w.stalled) {
		q := w.queue[0]
		if w.used+q.slots > w.Cores || w.memory+q.memory > w.Memory {
			return
		}
		w.queue = w.queue[1:]
		w.used, w.memory = w.used+q.slots, w.memory+q.memory
		q.begin <- true
	}
}

// leave gives up a place; false: the job has been started or handed back.
func (w *Worker) leave(q *waiting) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, other := range w.queue {
		if other == q {
			w.queue = append(w.queue[:i], w.queue[i+1:]...)
			w.turn()
			return true
		}
	}
	return false
}

func (w *Worker) done(slots float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.used, w.memory = w.used-slots, w.memory-slots
	w.turn()
}

// pace is how fast it works at a moment.
func (w *Worker) pace() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	speed := w.Speed / w.slower
	if age := time.Since(w.Born); w.Cold > 0 && age < w.ColdFor {
		speed *= w.Cold + (1-w.Cold)*float64(age)/float64(w.ColdFor)
	}
	return speed
}

// work spends a run's time; false: it was called off.
func (w *Worker) work(ctx context.Context, job Job, run int, tell func(share float64)) bool {
	rng := rand.New(rand.NewPCG(w.Seed, xxhash.Sum64String(job.ID)+uint64(run)))
	span := float64(max(job.Service, time.Microsecond))
	if w.Noise > 0 {
		s2 := math.Log(1 + w.Noise*w.Noise)
		span *= math.Exp(rng.NormFloat64()*math.Sqrt(s2) - s2/2)
	}
	span /= w.pace()
	const note = time.Second
	for spent := time.Duration(0); spent < time.Duration(span); {
		step := min(note, time.Duration(span)-spent)
		if !pause(ctx, step) {
			return false
		}
		if spent += step; spent < time.Duration(span) {
			tell(float64(spent) / span)
		}
		w.mu.Lock()
		still := time.Until(w.stalled)
		w.mu.Unlock()
		if still > 0 && !pause(ctx, still) {
			return false
		}
	}
	return true
}

func pause(ctx context.Context, span time.Duration) bool {
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
	if n := len(w.reports); (n == 0 || now.Sub(w.reports[n-1].at) >= w.Report) && !now.Before(w.stalled) {
		w.reports = append(w.reports, snapshot{now, float64(w.errors), float64(len(w.queue)), w.Cores - w.used, w.Memory - w.memory})
	}
	for len(w.reports) > 1 && now.Sub(w.reports[1].at) >= w.Lag {
		w.reports = w.reports[1:]
	}
	if len(w.reports) == 0 {
		return map[string]float64{}
	}
	r := w.reports[0]
	return map[string]float64{"eps": r.errors, "queue": r.queue, "x0": r.free, "x1": r.mem}
}

func (w *Worker) load(h http.Header) {
	if !w.Reports {
		return
	}
	text, _ := json.Marshal(w.report())
	h.Set("X-Backend-Load", string(text))
}

// Free tells how many slots are free and how many jobs wait.
func (w *Worker) Free() (slots float64, waiting int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Cores - w.used, len(w.queue)
}

func (w *Worker) String() string { return fmt.Sprintf("%s at %s", w.Name, w.Addr) }
