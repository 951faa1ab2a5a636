package simulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"hollyyoke.example/hollyyoke/decision"
)

// This file owns the workers' model: slots, a queue in order, a cold start, and
// what faults do to it. Its books say what ran. It must never know what a
// dispatcher thinks of it.

// worker runs jobs: so many at once, the others wait in the order in which they came.
type worker struct {
	sim     *Sim
	name    string
	zone    int
	slots   int
	speed   float64 // work a second in a slot
	queue   []*job
	running []*job
	started time.Duration // its last start; 0: long ago
	slow    float64       // a fault's factor; 1: none
	paused  bool          // it runs nothing, and says nothing of that
	down    bool
	drains  bool
	books   []run
	fresh   []arrival // what came lately while it was cold
	fell    bool
}

// arrival is work that came to a cold worker.
type arrival struct {
	at   time.Duration
	work float64 // seconds
	told bool    // its dispatcher had word of the start
}

// run is one line of a worker's books.
type run struct {
	id    string
	class int
	at    time.Duration
}

// job is an attempt at a worker.
type job struct {
	id     string
	class  int
	work   time.Duration
	handle uint64
	from   *dispatcher
	at     *worker
	off    bool
	left   float64       // seconds of work that are left
	since  time.Duration // when left was true
	turn   uint64        // of its end, which moves when the worker's speed does
}

func newWorker(s *Sim, i int) *worker {
	return &worker{sim: s, name: fmt.Sprintf("w%d", i), zone: i % len(s.sc.Net.Zones), slots: s.sc.Workers.Slots, speed: s.sc.Workers.Speed, slow: 1}
}

func (w *worker) entry() decision.Endpoint {
	e := decision.Endpoint{Name: w.name, Zone: w.zone, Weight: 1, StartedAt: w.started}
	switch {
	case w.down:
		e.State = decision.Removed
	case w.drains:
		e.State = decision.Draining
	}
	return e
}

func (w *worker) load() decision.LoadReport {
	return decision.LoadReport{FreeSlots: float64(w.slots - len(w.running)), HasFreeSlots: true}
}

// pace is how fast a slot works now: a fresh worker is slower, and warms in a line.
func (w *worker) pace() float64 {
	p := w.speed * w.slow
	if w.cold() {
		from, age := w.sim.sc.Workers.ColdFrom, w.sim.now-w.started
		p *= from + (1-from)*float64(age)/float64(seconds(w.sim.sc.Workers.WarmAfterS))
	}
	return p
}

// arrive takes an attempt that has come.
func (w *worker) arrive(j *job) {
	switch {
	case j.off:
		return
	case w.down:
		j.over(w, decision.ConnectionRefused)
		return
	case w.falls(j):
		j.over(w, decision.ConnectionLost)
		return
	case len(w.queue) >= w.sim.sc.Workers.Queue:
		j.over(w, decision.Saturated)
		return
	}
	j.at = w
	w.queue = append(w.queue, j)
	w.fill()
}

// cold tells whether the worker is still warming up.
func (w *worker) cold() bool {
	return w.started > 0 && w.sim.now-w.started < seconds(w.sim.sc.Workers.WarmAfterS)
}

// falls counts what a cold worker is sent, also what it turns away. It falls above its budget of N requests of
// mean work in the window, N being what the multiple of its present pace allows, and the chance allowance
// beside it. The rule is broken if over two thirds came from dispatchers that were told of the start.
func (w *worker) falls(j *job) bool {
	s := w.sim
	if !w.cold() {
		w.fresh = nil
		return false
	}
	window := seconds(s.sc.Workers.FallS)
	w.fresh = append(w.fresh, arrival{s.now, j.work.Seconds(), j.from.told[w.name].started == w.started})
	w.fresh = slices.DeleteFunc(w.fresh, func(a arrival) bool { return a.at <= s.now-window })
	mean, all, told := s.sc.meanWork(), 0.0, 0.0
	for _, a := range w.fresh {
		all += a.work
		if a.told {
			told += a.work
		}
	}
	n := s.sc.Workers.FallMultiple * w.pace() * float64(w.slots) * window.Seconds() / mean
	s.coldPeak = max(s.coldPeak, all/mean/(n+chanceAllowance(n)))
	if all/mean <= n+chanceAllowance(n) {
		return false
	}
	w.fell = true
	s.tell(-1, "falls", w.name)
	if told > all*2/3 {
		s.wrong("%s fell: %.2f s of work in %v, %.1f times what it could do, %.0f%% of it from dispatchers that knew of its start",
			w.name, all, window, all/mean/n*s.sc.Workers.FallMultiple, 100*told/all)
	}
	w.die()
	s.changed(w)
	return true
}

// chanceAllowance is how many requests beyond a budget of n are put down to chance.
func chanceAllowance(n float64) float64 { return 2*math.Sqrt(n) + 2 }

// fill starts what may run.
func (w *worker) fill() {
	for !w.paused && !w.down && len(w.queue) > 0 && len(w.running) < w.slots {
		j := w.queue[0]
		w.queue = w.queue[1:]
		w.running = append(w.running, j)
		w.books = append(w.books, run{j.id, j.class, w.sim.now})
		j.left, j.since = j.work.Seconds(), w.sim.now
		w.sim.tell(-1, "runs", j.id, w.name)
		j.back(w, func(d *dispatcher) { d.core.AttemptStarted(j.handle) })
		w.due(j)
	}
}

// due sets the end of a job at the worker's present pace.
func (w *worker) due(j *job) {
	j.turn++
	turn, pace := j.turn, w.pace()
	if w.paused || pace <= 0 {
		return
	}
	step := seconds(j.left / pace)
	const look = 100 * time.Millisecond // a pace that changes is looked at again
	if w.cold() {
		step = min(step, look)
	}
	w.sim.after(step, func() {
		if j.turn != turn || w.down {
			return
		}
		w.progress(j, pace)
		if j.left > 1e-9 {
			w.due(j)
			return
		}
		w.running = slices.DeleteFunc(w.running, func(o *job) bool { return o == j })
		j.over(w, decision.Completed)
		w.fill()
	})
}

func (w *worker) progress(j *job, pace float64) {
	j.left -= (w.sim.now - j.since).Seconds() * pace
	j.since = w.sim.now
}

// change lets something happen to the worker that changes its pace.
func (w *worker) change(f func()) {
	pace := w.pace()
	if w.paused {
		pace = 0
	}
	for _, j := range w.running {
		w.progress(j, pace)
	}
	f()
	for _, j := range w.running {
		w.due(j)
	}
	w.fill()
}

// drop forgets a job that has not begun.
func (w *worker) drop(j *job) {
	w.queue = slices.DeleteFunc(w.queue, func(o *job) bool { return o == j })
}

// die ends the worker's process with all that it holds.
func (w *worker) die() {
	w.down = true
	held := append(slices.Clone(w.running), w.queue...)
	w.running, w.queue = nil, nil
	for _, j := range held {
		j.turn++
		j.over(w, decision.ConnectionLost)
	}
}

// schedule sets the begin and the end of one fault.
func (s *Sim) schedule(number int, f Fault) {
	random := s.stream(fmt.Sprint("fault ", number))
	begin, end := epoch+seconds(f.AtS), epoch+seconds(f.AtS+f.ForS)
	switch f.Kind {
	case "burst": // of the load, which looks for it
	case "restart":
		for _, i := range random.Perm(len(s.dispatchers))[:f.Dispatchers] {
			d := s.dispatchers[i]
			s.at(begin, d.kill)
			s.at(end, d.restart)
		}
	default:
		for _, w := range s.chosen(f, random) {
			if f.Kind == "join" { // it is not there before
				w.down = true
			}
			s.at(begin, func() { w.begin(f) })
			s.at(end, func() { w.recover(f) })
		}
	}
}

// begin lets a fault befall the worker.
func (w *worker) begin(f Fault) {
	w.sim.tell(-1, f.Kind, w.name)
	switch f.Kind {
	case "slow":
		w.change(func() { w.slow = f.Factor })
	case "pause":
		w.change(func() { w.paused = true })
	case "kill":
		w.die()
		w.sim.changed(w)
	case "drain":
		w.drains = true
		w.sim.changed(w)
	case "join":
		w.start()
	}
}

// recover ends a fault of the worker's.
func (w *worker) recover(f Fault) {
	w.sim.tell(-1, "end of "+f.Kind, w.name)
	switch f.Kind {
	case "slow":
		w.change(func() { w.slow = 1 })
	case "pause":
		w.change(func() { w.paused = false })
	case "kill":
		w.start()
	case "drain":
		w.drains = false
		w.sim.changed(w)
	}
}

// start starts the worker's process, cold, unless it fell for good.
func (w *worker) start() {
	if !w.fell {
		w.down, w.started = false, w.sim.now
		w.sim.changed(w)
	}
}

func (s *Sim) chosen(f Fault, random *rand.Rand) (hit []*worker) {
	for _, i := range random.Perm(len(s.workers)) {
		w := s.workers[i]
		if f.Zone != "" && s.sc.Net.Zones[w.zone] != f.Zone {
			continue
		}
		if len(hit) < f.Workers || f.Workers == 0 && f.Zone != "" {
			hit = append(hit, w)
		}
	}
	return hit
}
