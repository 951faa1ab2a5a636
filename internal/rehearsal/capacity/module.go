package capacity

import (
	"fmt"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/settings"
)

const (
	moduleDeltas          = 200  // deltas in a measurement
	requestsPerRun        = 2000 // requests in a measurement without workers in slow start
	slowStartRequests     = 200  // requests in a measurement with workers in slow start
	moduleSlowStartStride = 10   // every tenth worker is in slow start in such a measurement

	// requestInterval is the time between two requests at one dispatcher if 300 dispatchers together receive the
	// target's 8,000 requests per second.
	requestInterval = time.Second * daemonPeers / 8000
	taskTime        = 30 * time.Millisecond // from a request to its answer
	clientDeadline  = 5 * time.Second
	runStart        = time.Minute // time of the module's clock at the start; not 0, because StartedAt 0 means that a worker started long ago

	teamAxisWorkers = 2100            // number of listed workers while the number of teams varies
	taskAxisWorkers = 21000           // number of listed workers while the number of running tasks varies
	sweepTimerID    = uint64(1) << 62 // identifier of the decision machine's sweep timer; it is larger than the number of any request
)

var (
	teamCounts = []int{15, 150, 1500}
	taskCounts = []int{100, 1000, 10000}
)

// module is a decision.Machine with a simulated clock, which is driven without I/O. Its settings are those of the daemon.
type module struct {
	*decision.Machine
	now         time.Duration
	sweepAt     time.Duration // when the sweep is due; 0 if it is not scheduled
	lastRequest uint64        // number of the latest request
	actions     []decision.Action
}

// endpoint returns a worker as the endpoint list gives it to the module.
func endpoint(i int) decision.Endpoint {
	return decision.Endpoint{Name: workerName(i), Zone: i % Zones, Cell: i / cellWorkers, State: decision.Running, Weight: 1}
}

// newModule starts a module with the given number of listed workers. Every slowStartStride-th worker is in slow start, or
// none if slowStartStride is 0.
func newModule(workers, slowStartStride, peers, teams int) (*module, error) {
	text, err := settingsJSON(peers, teams)
	if err != nil {
		return nil, err
	}
	read, err := settings.Read(text)
	if err != nil {
		return nil, err
	}
	machine, err := decision.New(read, 1)
	if err != nil {
		return nil, err
	}
	started := &module{Machine: machine, now: runStart}
	endpoints := make([]decision.Endpoint, workers)
	for i := range endpoints {
		endpoints[i] = endpoint(i)
		if slowStartStride > 0 && i%slowStartStride == 0 {
			endpoints[i].StartedAt = runStart
		}
	}
	started.handle(decision.Event{Kind: decision.ListUpdated, ListKind: decision.ListSnapshot, Endpoints: endpoints})
	return started, nil
}

// handle passes an event to the machine and records when the sweep is due.
func (m *module) handle(event decision.Event) {
	m.actions = m.Handle(m.now, event, m.actions[:0])
	for _, action := range m.actions {
		if action.Kind == decision.SetTimer && action.Timer == sweepTimerID {
			m.sweepAt = m.now + action.Delay
		}
	}
}

// advance moves the clock forward and runs the sweep if it has become due.
func (m *module) advance(span time.Duration) {
	m.now += span
	if m.sweepAt > 0 && m.now >= m.sweepAt {
		m.sweepAt = 0
		m.handle(decision.Event{Kind: decision.TimerFired, Timer: sweepTimerID})
	}
}

// request passes one request to the machine. It returns how long the decision took, and the assigned worker, or "" if none
// was assigned.
func (m *module) request(tenant int, timeLeft time.Duration) (elapsed time.Duration, worker string) {
	m.lastRequest++
	event := decision.Event{Kind: decision.RequestArrived, Request: m.lastRequest, Tenant: tenant, Slots: 1, Work: taskTime, TimeLeft: timeLeft}
	startedAt := time.Now()
	m.actions = m.Handle(m.now, event, m.actions[:0])
	elapsed = time.Since(startedAt)
	for _, action := range m.actions {
		switch {
		case action.Kind == decision.Assign:
			worker = action.Worker
		case action.Kind == decision.SetTimer && action.Timer == sweepTimerID:
			m.sweepAt = m.now + action.Delay
		}
	}
	return elapsed, worker
}

// measureRequests returns the mean and the median time of a decision, in seconds, over a number of requests. Each request
// ends before the next one begins, and the tenant changes from request to request.
func (m *module) measureRequests(count, teams int) (mean, median float64, err error) {
	times := make([]float64, count)
	for i := range times {
		elapsed, worker := m.request(i%max(teams, 1), clientDeadline)
		times[i] = elapsed.Seconds()
		mean += elapsed.Seconds() / float64(count)
		if worker == "" {
			return 0, 0, fmt.Errorf("request %d of %d was not assigned to a worker", i+1, count)
		}
		m.advance(taskTime)
		m.handle(decision.Event{Kind: decision.AttemptEnded, Request: m.lastRequest, Worker: worker, Outcome: decision.Completed, Answered: true})
		m.advance(requestInterval - taskTime)
	}
	return mean, Median(times), nil
}

// measureDeltas returns the mean time that a one-worker delta takes.
func (m *module) measureDeltas(count, workers int) time.Duration {
	startedAt := time.Now()
	for i := range count {
		changed := endpoint(i / 2 % workers)
		if i%2 == 0 {
			changed.State = decision.Draining
		}
		m.handle(decision.Event{Kind: decision.ListUpdated, ListKind: decision.ListDelta, Endpoints: []decision.Endpoint{changed}})
	}
	return time.Since(startedAt) / time.Duration(count)
}
