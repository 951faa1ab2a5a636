// Package emulator is the fleet in virtual time, around the real core and module:
// clients, network, workers and discovery are models, all chance comes from one
// seed, and nothing waits for a clock. It must never read the system's clock,
// depend on a map's order, nor run any part of itself on another goroutine: the
// same scenario and seed give the same events, byte for byte.
package simulator

import (
	"cmp"
	"container/heap"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/eventloop"
)

// This file owns the virtual day: its clock and events, the dispatchers with
// their simulated carriers, and the clients. The workers are in worker.go.

// epoch is the day's first moment: far from 0, which means 'long ago' to the module.
const epoch = 1_000_000 * time.Second

// slack is how much longer the rules' limits are on sockets.
const slack = 50 * time.Millisecond

// event is something that happens at a moment; seq keeps their order among equals.
type event struct {
	at   time.Duration
	seq  uint64
	fire func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

// clock is virtual time: events in the order of their moments.
type clock struct {
	now    time.Duration
	queue  events
	seq    uint64
	passed uint64 // events so far
}

func (c *clock) at(at time.Duration, fire func()) {
	c.seq++
	heap.Push(&c.queue, event{max(at, c.now), c.seq, fire})
}

func (c *clock) after(span time.Duration, fire func()) { c.at(c.now+span, fire) }

// run lets time pass until a moment, or until nothing is left to happen.
func (c *clock) run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		c.passed++
		e.fire()
	}
	c.now = until
}

// Sim is one virtual day.
type Sim struct {
	clock
	sc          Scenario
	settings    decision.Settings
	seed        uint64
	dispatchers []*dispatcher
	workers     []*worker
	byName      map[string]*worker
	asked       []*request
	work        map[string]time.Duration // of the requests asked, by their name
	latency     *rand.Rand
	log         io.Writer // every event, a line each; nil: only its hash is kept
	sum         *xxhash.Digest
	line        []byte
	broken      []string // rules that broke, with the moment
	coldPeak    float64  // the largest share of its limit that a cold worker has been sent
}

// stream is the chance of one model: none disturbs another's.
func (s *Sim) stream(name string) *rand.Rand {
	h := fnv.New64a()
	io.WriteString(h, name)
	return rand.New(rand.NewPCG(s.seed, h.Sum64()))
}

// request is what one client asks for, over all its tries.
type request struct {
	id      string
	class   int
	work    time.Duration
	came    time.Duration
	verdict dispatch.Outcome
	ended   time.Duration // 0: it has no answer
	left    int           // tries
}

// dispatcher is one of them: the real core on a loop in virtual time. It is its
// own front and its own carrier.
type dispatcher struct {
	sim      *Sim
	number   int
	zone     int
	loop     *eventloop.Loop
	core     *dispatch.Dispatcher
	armed    time.Duration // when its next turn is set; 0: none is
	tokens   map[uint64]*request
	token    uint64
	attempts map[uint64]*job // in the worker's hands, by handle
	watch    bool
	told     map[string]word // what discovery has told of each worker

	down     bool                // its process was killed
	restarts int                 // processes it has had before this one
	kept     []decision.Endpoint // the list for its next process
}

// word is what a dispatcher has been told of a worker.
type word struct {
	started time.Duration
	left    time.Duration // since when it drains or is gone; 0: it is neither
}

// New makes a day ready. log, which may be nil, gets its events.
func New(sc Scenario, seed uint64, log io.Writer) (*Sim, error) {
	s := &Sim{sc: sc, seed: seed, settings: sc.settings(), byName: map[string]*worker{}, work: map[string]time.Duration{}, log: log, sum: xxhash.New()}
	s.now = epoch
	s.latency = s.stream("latency")
	for i := range sc.Workers.Count {
		w := newWorker(s, i)
		s.workers = append(s.workers, w)
		s.byName[w.name] = w
	}
	for i := range sc.Dispatchers {
		d := &dispatcher{sim: s, number: i, zone: i % len(sc.Net.Zones), tokens: map[uint64]*request{}, attempts: map[uint64]*job{}, told: map[string]word{}}
		if err := d.boot(seed + uint64(i)); err != nil {
			return nil, err
		}
		s.dispatchers = append(s.dispatchers, d)
		s.after(0, func() {
			d.list(decision.ListCached, s.entries())
		})
		d.arrivals()
	}
	for i, f := range sc.Faults {
		s.schedule(i, f)
	}
	return s, nil
}

// boot gives the dispatcher a process that knows nothing.
func (d *dispatcher) boot(seed uint64) error {
	s := d.sim
	settings := s.settings
	settings.Zone = d.zone
	d.loop = eventloop.NewVirtual(func() time.Duration { return s.now })
	c, err := dispatch.New(d.loop, settings, seed)
	if err != nil {
		return err
	}
	d.core = c
	c.Trace = func(id, step string, more ...any) { s.logStep(d.number, step, id, more) }
	c.AddSource(d)
	return nil
}

// kill ends the dispatcher's process at once. Its clients see their connections break; what it has sent goes on.
func (d *dispatcher) kill() {
	s := d.sim
	s.tell(d.number, "killed", "")
	d.down, d.watch, d.armed = true, false, 0
	for _, r := range d.tokens {
		r.verdict, r.ended = dispatch.Failed, s.now
	}
	clear(d.tokens)
	clear(d.attempts)
	for _, e := range s.entries() { // the list that it keeps is the one it was told last
		if told, ok := d.told[e.Name]; ok && told.left == 0 {
			e.State, e.StartedAt = decision.Running, told.started
			d.kept = append(d.kept, e)
		}
	}
}

// restart starts the dispatcher's next process with the list that the last one kept. It knows nothing of what was sent.
func (d *dispatcher) restart() {
	s := d.sim
	s.tell(d.number, "restarted", "")
	d.restarts++
	if err := d.boot(s.seed + uint64(d.number) + uint64(d.restarts*len(s.dispatchers))); err != nil {
		s.wrong("dispatcher %d does not start: %v", d.number, err)
		return
	}
	d.down = false
	d.list(decision.ListCached, d.kept)
	d.kept = nil
}

// tell logs an event. Of floats and the like only what is the same everywhere is told.
func (s *Sim) tell(who int, step, id string, more ...any) {
	s.line = fmt.Appendf(s.line[:0], "%d %d %s %s", s.now-epoch, who, step, id)
	for _, x := range more {
		s.line = fmt.Appendf(s.line, " %v", x)
	}
	s.line = append(s.line, '\n')
	s.sum.Write(s.line)
	if s.log != nil {
		s.log.Write(s.line)
	}
}

// wrong books a broken rule.
func (s *Sim) wrong(format string, args ...any) {
	if len(s.broken) < 100 {
		s.broken = append(s.broken, fmt.Sprintf("at %.6f s, seed %d: ", (s.now-epoch).Seconds(), s.seed)+fmt.Sprintf(format, args...))
	}
}

// arm sets the dispatcher's next turn, after anything that may have changed when that is.
func (d *dispatcher) arm() {
	at, ok := d.loop.NextDue()
	if !ok || d.armed != 0 && d.armed <= at {
		return
	}
	d.armed = at
	d.sim.at(at, func() {
		if d.armed != at { // an earlier one was set since
			return
		}
		d.armed = 0
		if d.down {
			return
		}
		d.loop.RunOnce()
		d.arm()
	})
}

// delay is a way one way between two zones.
func (s *Sim) delay(a, b int) time.Duration {
	ms := s.sc.Net.SameMs
	if a != b {
		ms = s.sc.Net.CrossMs
	}
	return time.Duration(ms * (1 + s.sc.Net.Jitter*s.latency.Float64()) * float64(time.Millisecond))
}

// ---- Clients: open loop, each request comes whether or not others are answered.

func (d *dispatcher) arrivals() {
	s := d.sim
	random := s.stream(fmt.Sprint("arrivals ", d.number))
	rate := s.sc.Load.Rate / float64(s.sc.Dispatchers)
	n := 0
	var next func()
	next = func() {
		if s.now-epoch >= seconds(s.sc.LengthS) {
			return
		}
		n++
		r := &request{id: fmt.Sprintf("%d-%d", d.number, n), came: s.now, left: s.sc.Load.Tries}
		at := random.Float64()
		for i, c := range s.sc.Classes {
			if r.class = i; at < c.Share {
				break
			}
			at -= c.Share
		}
		r.work = s.sc.Classes[r.class].work(random)
		s.asked, s.work[r.id] = append(s.asked, r), r.work
		d.ask(r)
		s.after(time.Duration(random.ExpFloat64()/s.sc.rateAt(s.now-epoch, rate)*float64(time.Second)), next)
	}
	s.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), next)
}

// ask hands a request to the core.
func (d *dispatcher) ask(r *request) {
	s := d.sim
	r.left--
	class := &s.settings.Classes[r.class]
	left := class.Deadline - (s.now - r.came)
	if left <= 0 {
		return
	}
	if d.down { // nobody listens
		r.verdict, r.ended = dispatch.Failed, s.now
		return
	}
	d.token++
	d.tokens[d.token] = r
	id := r.id
	if n := s.sc.Load.Tries - r.left; n > 1 {
		id = fmt.Sprintf("%s~%d", r.id, n)
	}
	hint := r.work
	if s.sc.Load.NoHints {
		hint = 0
	}
	d.core.Accept(d, d.token, dispatch.Request{ID: id, Class: r.class, Key: r.id, Work: hint, TimeLeft: left, ReceivedAt: s.now, ClientRetry: r.left+1 < s.sc.Load.Tries})
	d.arm()
}

// Respond is told the final answer. A refused client comes back when it is told to, while it has tries and time left.
func (d *dispatcher) Respond(token uint64, a dispatch.Response) {
	s := d.sim
	r := d.tokens[token]
	if r == nil {
		s.wrong("an answer to a request that has one, or to none: token %d of dispatcher %d", token, d.number)
		return
	}
	delete(d.tokens, token)
	if a.Outcome == dispatch.Rejected && r.left > 0 && s.now+a.RetryAfter < r.came+s.settings.Classes[r.class].Deadline {
		s.after(max(a.RetryAfter, 10*time.Millisecond), func() { d.ask(r) })
		return
	}
	r.verdict, r.ended = a.Outcome, s.now
}

// ---- The carrier.

func (s *Sim) entries() (list []decision.Endpoint) {
	for _, w := range s.workers {
		list = append(list, w.entry())
	}
	return list
}

// Subscribe asks discovery, which tells all it knows, and each change from then on.
func (d *dispatcher) Subscribe() {
	if d.watch {
		return
	}
	d.watch = true
	s := d.sim
	s.after(seconds(s.sc.Discovery.LagMs/1000), func() {
		if !d.down {
			d.list(decision.ListSnapshot, s.entries())
		}
	})
}

// list brings word of workers.
func (d *dispatcher) list(kind decision.ListKind, entries []decision.Endpoint) {
	for _, e := range entries {
		was := d.told[e.Name]
		now := word{started: e.StartedAt}
		if e.State != decision.Running {
			now.left = cmp.Or(was.left, d.sim.now)
		}
		d.told[e.Name] = now
	}
	d.core.UpdateWorkers(d, kind, entries)
	d.arm()
}

// changed tells all that watch of a worker, after discovery's lag.
func (s *Sim) changed(w *worker) {
	entry := w.entry()
	for _, d := range s.dispatchers {
		if d.watch {
			s.after(seconds(s.sc.Discovery.LagMs/1000), func() {
				if !d.down {
					d.list(decision.ListDelta, []decision.Endpoint{entry})
				}
			})
		}
	}
}

// Start sends an attempt to its worker.
func (d *dispatcher) Start(f dispatch.Attempt) {
	s, w := d.sim, d.sim.byName[f.Worker]
	if left := d.told[f.Worker].left; left > 0 && s.now > left+s.settings.DrainGrace+slack {
		s.wrong("dispatcher %d sent %s to %s, %v after it was told that it drains or is gone", d.number, f.Request.ID, f.Worker, s.now-left)
	}
	j := &job{id: f.Request.ID, class: f.Request.Class, work: s.work[f.Request.Key], handle: f.Handle, from: d}
	d.attempts[f.Handle] = j
	d.core.AttemptSent(f.Handle)
	s.after(s.delay(d.zone, w.zone), func() { w.arrive(j) })
}

// back brings a word of a worker's to the dispatcher.
func (j *job) back(w *worker, what func(d *dispatcher)) {
	d, s := j.from, j.from.sim
	s.after(s.delay(d.zone, w.zone), func() {
		if d.attempts[j.handle] == j {
			what(d)
			d.arm()
		}
	})
}

// over ends an attempt as its dispatcher hears it.
func (j *job) over(w *worker, o decision.AttemptOutcome) {
	load := w.load()
	j.back(w, func(d *dispatcher) {
		delete(d.attempts, j.handle)
		d.core.AttemptEnded(j.handle, o, load, nil)
	})
}

// Cancel calls an attempt off: the worker drops it if it has not begun by the time it hears.
func (d *dispatcher) Cancel(handle uint64) (neverRan bool) {
	j := d.attempts[handle]
	if j == nil {
		return false
	}
	delete(d.attempts, handle)
	if w := j.at; w != nil {
		d.sim.after(d.sim.delay(d.zone, w.zone), func() { w.drop(j) })
	} else {
		j.off = true // it meets the word on its way
	}
	return false
}

// CloseIdle has nothing to do: connections cost nothing here.
func (d *dispatcher) CloseIdle(string) {}

// CheckHealth asks a worker for its load.
func (d *dispatcher) CheckHealth(backend string) {
	s, w := d.sim, d.sim.byName[backend]
	s.after(s.delay(d.zone, w.zone), func() {
		o, load := decision.Completed, w.load()
		if w.down {
			o = decision.ConnectionRefused
		}
		s.after(s.delay(d.zone, w.zone), func() {
			if !d.down {
				d.core.HealthChecked(backend, o, load)
				d.arm()
			}
		})
	})
}

// ---- The day.

// Class is what became of one class's requests.
type Class struct {
	Name                            string
	Asked, InAim, Late              int
	Refused, Failed, Unanswered     int
	P50Ms, P90Ms, P99Ms, WorthShare float64 // latencies of those served
}

// Result is what a day has shown.
type Result struct {
	Scenario string
	Seed     uint64
	Classes  []Class
	Score    float64 // worth earned of the worth asked for
	Events   uint64
	Hash     string // of all events, in their order
	Broken   []string
	Executed int
	ColdPeak float64 // the largest share of what it bears that a cold worker was sent; it falls above 1
}

// Run lets the day pass and judges it.
func (s *Sim) Run() Result {
	end := epoch + seconds(s.sc.LengthS)
	longest := time.Duration(0)
	for _, c := range s.settings.Classes {
		longest = max(longest, c.Deadline)
	}
	s.run(end + longest + time.Second)
	r := Result{Scenario: s.sc.Name, Seed: s.seed, Events: s.passed, Hash: fmt.Sprintf("%016x", s.sum.Sum64()), ColdPeak: s.coldPeak}
	earned, asked := 0.0, 0.0
	for i, c := range s.settings.Classes {
		k := Class{Name: c.Name}
		var times []time.Duration
		worth, could := 0.0, 0.0
		for _, q := range s.asked {
			if q.class != i {
				continue
			}
			k.Asked++
			could += c.PriorityWeight
			took := q.ended - q.came
			switch {
			case q.ended == 0:
				k.Unanswered++
			case q.verdict == dispatch.Rejected:
				k.Refused++
			case q.verdict == dispatch.Failed:
				k.Failed++
			case took <= c.LatencyObjective+time.Duration(c.ObjectiveStretch*float64(q.work)):
				k.InAim++
				worth += c.PriorityWeight
			default:
				k.Late++
				worth += c.PriorityWeight * c.LateWeight
			}
			if q.ended > 0 && q.verdict == dispatch.Served {
				times = append(times, took)
			}
		}
		slices.Sort(times)
		k.P50Ms, k.P90Ms, k.P99Ms = quantile(times, 0.5), quantile(times, 0.9), quantile(times, 0.99)
		if could > 0 {
			k.WorthShare = worth / could
		}
		earned, asked = earned+worth, asked+could
		r.Classes = append(r.Classes, k)
	}
	if asked > 0 {
		r.Score = earned / asked
	}
	s.check(&r)
	r.Broken = s.broken
	return r
}

// check holds the rules that the whole day shows: one final answer for each try, no more runs of a fragile job
// than one, and nothing lost on the way. Drains are held at each send (Start), cold workers at each arrival (falls).
func (s *Sim) check(r *Result) {
	for _, d := range s.dispatchers {
		if n := d.core.Unanswered(); n > 0 {
			s.wrong("dispatcher %d owes %d answers at the end of the day", d.number, n)
		}
		c := d.core.Counts()
		if c.Accepted != c.Served+c.Rejected+c.Failed+c.Cancelled {
			s.wrong("dispatcher %d took %d requests and ended %+v", d.number, c.Accepted, c)
		}
	}
	ran := map[string]int{}
	for _, w := range s.workers {
		for _, run := range w.books {
			r.Executed++
			if ran[run.id]++; ran[run.id] == 2 && s.settings.Classes[run.class].Idempotency == decision.NonIdempotent {
				s.wrong("%s ran twice, the second time on %s at %.6f s", run.id, w.name, (run.at - epoch).Seconds())
			}
		}
	}
}

func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[min(int(math.Ceil(q*float64(len(sorted))))-1, len(sorted)-1)]) / float64(time.Millisecond)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
