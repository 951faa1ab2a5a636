package simulator

import (
	"fmt"
	"math"
	"slices"
	"time"

	"hollyyoke.example/hollyyoke/decision"
)

const (
	// warmingRefresh is how often the completion of an attempt is rescheduled while the worker's pace rises.
	warmingRefresh = 100 * time.Millisecond
	// workEpsilon is the remaining work, in seconds, up to which an attempt counts as done.
	workEpsilon = 1e-9
)

// worker models a worker: a number of slots, a first-in first-out queue and a slow start. Its executions record what
// actually ran; they are independent of what dispatchers assume about the worker.
type worker struct {
	simulation     *Simulation
	name           string
	zone           int
	slots          int
	speed          float64 // seconds of work that a slot does per second
	queue          []*attempt
	running        []*attempt
	startedAt      time.Duration // latest start, or 0 if that is long ago
	speedFactor    float64       // factor on the speed; below 1 during a slow fault
	paused         bool          // it executes nothing, without reporting it
	down           bool
	draining       bool
	executions     []execution
	recentArrivals []arrival // arrivals within the overload window while warming up
	crashed        bool      // by overload; it is not restarted
}

// arrival is an attempt that arrived at a warming worker.
type arrival struct {
	arrivedAt  time.Duration
	work       float64 // seconds
	startKnown bool    // the dispatcher had learned of the worker's start from discovery
}

// execution records that a worker began to execute an attempt.
type execution struct {
	id        string
	class     int
	startedAt time.Duration
}

func newWorker(simulation *Simulation, number int) *worker {
	return &worker{
		simulation:  simulation,
		name:        fmt.Sprintf("w%d", number),
		zone:        number % len(simulation.scenario.Net.Zones),
		slots:       simulation.scenario.Workers.Slots,
		speed:       simulation.scenario.Workers.Speed,
		speedFactor: 1,
	}
}

// endpoint returns the worker as discovery lists it.
func (w *worker) endpoint() decision.Endpoint {
	endpoint := decision.Endpoint{Name: w.name, Zone: w.zone, Weight: 1, StartedAt: w.startedAt}
	switch {
	case w.down:
		endpoint.State = decision.Removed
	case w.draining:
		endpoint.State = decision.Draining
	}
	return endpoint
}

func (w *worker) loadReport() decision.LoadReport {
	return decision.LoadReport{FreeSlots: float64(w.slots - len(w.running)), HasFreeSlots: true}
}

// warmUpTime is how long a worker takes after its start to reach its full speed.
func (w *worker) warmUpTime() time.Duration {
	return seconds(w.simulation.scenario.Workers.SlowStartDurationS)
}

// warmingUp reports whether the worker is still warming up.
func (w *worker) warmingUp() bool {
	return w.startedAt > 0 && w.simulation.now-w.startedAt < w.warmUpTime()
}

// pace is the present speed of a slot. It rises linearly while the worker is warming up.
func (w *worker) pace() float64 {
	pace := w.speed * w.speedFactor
	if w.warmingUp() {
		floor := w.simulation.scenario.Workers.SlowStartFloor
		age := w.simulation.now - w.startedAt
		pace *= floor + (1-floor)*float64(age)/float64(w.warmUpTime())
	}
	return pace
}

// receive receives an attempt, which is queued or ends at once. A cancelled attempt is dropped.
func (w *worker) receive(received *attempt) {
	switch {
	case received.cancelled:
		return
	case w.down:
		received.end(w, decision.ConnectionRefused)
		return
	}
	received.reportSent()
	switch {
	case w.overloadedBy(received):
		received.end(w, decision.ConnectionLost)
		return
	case len(w.queue) >= w.simulation.scenario.Workers.Queue:
		received.end(w, decision.Saturated)
		return
	}
	received.worker = w
	w.queue = append(w.queue, received)
	w.startQueued()
}

// overloadedBy accounts for an attempt that arrives at a warming worker, including one that the worker will reject, and
// crashes the worker if the work that arrived within the overload window exceeds a limit. The limit is the overload
// multiple of what the worker can do within the window at its present pace, in requests of mean work, plus
// chanceAllowance. The crash is reported as a violation if more than two thirds of the work came from dispatchers that
// knew of the worker's start.
func (w *worker) overloadedBy(received *attempt) bool {
	simulation := w.simulation
	if !w.warmingUp() {
		w.recentArrivals = nil
		return false
	}
	workers := &simulation.scenario.Workers
	window := seconds(workers.OverloadWindowS)
	w.recordArrival(received, window)
	totalWork, knownWork := w.recentWork()
	meanWork := simulation.scenario.meanWork()
	budget := workers.OverloadMultiple * w.pace() * float64(w.slots) * window.Seconds() / meanWork
	limit := budget + chanceAllowance(budget)
	simulation.slowStartPeak = max(simulation.slowStartPeak, totalWork/meanWork/limit)
	if totalWork/meanWork <= limit {
		return false
	}
	w.crashed = true
	simulation.logEvent(workerSource, "falls", w.name)
	if knownWork > totalWork*2/3 {
		simulation.reportViolation("%s crashed while warming up: %.2f s of work in %v, %.1f times its capacity, %.0f%% of it from dispatchers that knew of its start",
			w.name, totalWork, window, totalWork/meanWork/budget*workers.OverloadMultiple, 100*knownWork/totalWork)
	}
	w.kill()
	simulation.announceChange(w)
	return true
}

// recordArrival adds an attempt to recentArrivals and removes those before the window.
func (w *worker) recordArrival(received *attempt, window time.Duration) {
	now := w.simulation.now
	startKnown := received.dispatcher.workerUpdates[w.name].startedAt == w.startedAt
	w.recentArrivals = append(w.recentArrivals, arrival{arrivedAt: now, work: received.work.Seconds(), startKnown: startKnown})
	w.recentArrivals = slices.DeleteFunc(w.recentArrivals, func(earlier arrival) bool { return earlier.arrivedAt <= now-window })
}

// recentWork sums up recentArrivals, in seconds of work. known is the part from dispatchers that knew of the start.
func (w *worker) recentWork() (total, known float64) {
	for _, recent := range w.recentArrivals {
		total += recent.work
		if recent.startKnown {
			known += recent.work
		}
	}
	return total, known
}

// chanceAllowance is the number of requests beyond a slow-start budget that are attributed to chance.
func chanceAllowance(budget float64) float64 { return 2*math.Sqrt(budget) + 2 }

// startQueued starts queued attempts in free slots.
func (w *worker) startQueued() {
	for !w.paused && !w.down && len(w.queue) > 0 && len(w.running) < w.slots {
		started := w.queue[0]
		w.queue = w.queue[1:]
		w.running = append(w.running, started)
		w.executions = append(w.executions, execution{id: started.id, class: started.class, startedAt: w.simulation.now})
		started.remaining = started.work.Seconds()
		started.advancedAt = w.simulation.now
		w.simulation.logEvent(workerSource, "runs", started.id, w.name)
		started.notifyDispatcher(w, func(d *dispatcher) { d.core.AttemptStarted(started.handle) })
		w.scheduleCompletion(started)
	}
}

// scheduleCompletion schedules the end of a running attempt at the worker's present pace.
func (w *worker) scheduleCompletion(running *attempt) {
	running.completionVersion++
	version := running.completionVersion
	pace := w.pace()
	if w.paused || pace <= 0 {
		return
	}
	step := seconds(running.remaining / pace)
	if w.warmingUp() {
		step = min(step, warmingRefresh)
	}
	w.simulation.scheduleAfter(step, func() {
		if running.completionVersion != version || w.down {
			return
		}
		w.advance(running, pace)
		if running.remaining > workEpsilon {
			w.scheduleCompletion(running)
			return
		}
		w.complete(running)
	})
}

// complete ends an attempt whose work is done, which frees its slot.
func (w *worker) complete(done *attempt) {
	w.running = slices.DeleteFunc(w.running, func(running *attempt) bool { return running == done })
	done.end(w, decision.Completed)
	w.startQueued()
}

// advance subtracts the work that an attempt has done at a pace since the last call.
func (w *worker) advance(running *attempt, pace float64) {
	running.remaining -= (w.simulation.now - running.advancedAt).Seconds() * pace
	running.advancedAt = w.simulation.now
}

// changePace applies a change that affects the worker's pace. Running attempts are credited with the work done at the
// pace before it, and their completions are rescheduled.
func (w *worker) changePace(change func()) {
	pace := w.pace()
	if w.paused {
		pace = 0
	}
	for _, a := range w.running {
		w.advance(a, pace)
	}
	change()
	for _, a := range w.running {
		w.scheduleCompletion(a)
	}
	w.startQueued()
}

// dequeue drops an attempt if it is still queued.
func (w *worker) dequeue(cancelled *attempt) {
	w.queue = slices.DeleteFunc(w.queue, func(queued *attempt) bool { return queued == cancelled })
}

// kill ends the worker's process. The connections of its running and queued attempts are lost.
func (w *worker) kill() {
	w.down = true
	lost := append(slices.Clone(w.running), w.queue...)
	w.running = nil
	w.queue = nil
	for _, a := range lost {
		a.completionVersion++
		a.end(w, decision.ConnectionLost)
	}
}

// start starts the worker's process, which is then warming up. A worker that crashed by overload stays down.
func (w *worker) start() {
	if w.crashed {
		return
	}
	w.down = false
	w.startedAt = w.simulation.now
	w.simulation.announceChange(w)
}
