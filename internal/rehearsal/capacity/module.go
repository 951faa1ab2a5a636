package capacity

import (
	"fmt"
	"runtime"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/settings"
)

// This file owns the loops over the decision module alone: the same settings as
// the daemon's, time as an argument, no sockets.

const (
	moduleDeltas   = 200
	moduleArrivals = 2000
	coldArrivals   = 200
	coldPart       = 10 // one worker in so many is cold

	// arrivalGap is the time between two arrivals at one of 300 dispatchers that
	// take the target's 8,000 a second together.
	arrivalGap  = time.Second * daemonPeers / 8000
	taskTime    = 30 * time.Millisecond // from an arrival to its answer
	clientTime  = 5 * time.Second
	startOfPlay = time.Minute // on the module's clock, after which no cold worker is warm by age 0

	axisWorkers = 2100 // listed while teams vary
	heldWorkers = 21000
	moduleTimer = uint64(1) << 62 // tokens from here on are the module's own
)

var (
	teamSizes = []int{15, 150, 1500}
	heldSizes = []int{100, 1000, 10000}
)

// module is a dispatcher's decisions with the smallest driver that keeps them going.
type module struct {
	*decision.Machine
	now     time.Duration
	due     time.Duration // of the sweep; 0: none is asked for
	sweep   uint64        // its token
	next    uint64        // the next request
	actions []decision.Action
}

// entry is a worker as the module takes it in.
func entry(i int) decision.Endpoint {
	return decision.Endpoint{Name: workerName(i), Zone: i % Zones, Cell: i / cellWorkers, State: decision.Running, Weight: 1}
}

// newModule starts a dispatcher with so many listed workers, one in cold of them
// just started; 0: none.
func newModule(workers, cold, peers, teams int) (*module, error) {
	words, err := settingsOf(peers, teams)
	if err != nil {
		return nil, err
	}
	s, err := settings.Read(words)
	if err != nil {
		return nil, err
	}
	d, err := decision.New(s, 1)
	if err != nil {
		return nil, err
	}
	m := &module{Machine: d, now: startOfPlay}
	entries := make([]decision.Endpoint, workers)
	for i := range entries {
		entries[i] = entry(i)
		if cold > 0 && i%cold == 0 {
			entries[i].StartedAt = startOfPlay
		}
	}
	m.handle(decision.Event{Kind: decision.ListUpdated, ListKind: decision.ListSnapshot, Endpoints: entries})
	return m, nil
}

// handle gives the module an event and keeps the timer of the sweep.
func (m *module) handle(ev decision.Event) {
	m.actions = m.Handle(m.now, ev, m.actions[:0])
	for _, a := range m.actions {
		if a.Kind == decision.SetTimer && a.Timer == moduleTimer {
			m.due, m.sweep = m.now+a.Delay, a.Timer
		}
	}
}

// pass lets time go by and runs the sweep if it is due.
func (m *module) pass(span time.Duration) {
	if m.now += span; m.due > 0 && m.now >= m.due {
		m.due = 0
		m.handle(decision.Event{Kind: decision.TimerFired, Timer: m.sweep})
	}
}

// arrive is one request; it returns how long the decision took and the worker.
func (m *module) arrive(tenant int, left time.Duration) (spent time.Duration, worker string) {
	m.next++
	ev := decision.Event{Kind: decision.RequestArrived, Request: m.next, Tenant: tenant, Slots: 1, Work: taskTime, TimeLeft: left}
	began := time.Now()
	m.actions = m.Handle(m.now, ev, m.actions[:0])
	spent = time.Since(began)
	for _, a := range m.actions {
		switch {
		case a.Kind == decision.Assign:
			worker = a.Worker
		case a.Kind == decision.SetTimer && a.Timer == moduleTimer:
			m.due, m.sweep = m.now+a.Delay, a.Timer
		}
	}
	return spent, worker
}

// arrivals is the mean and the median time of a decision, in seconds, over so
// many requests, each answered before the next comes.
func (m *module) arrivals(count, teams int) (mean, median float64, err error) {
	times := make([]float64, count)
	for i := range times {
		spent, worker := m.arrive(i%max(teams, 1), clientTime)
		times[i] = spent.Seconds()
		mean += spent.Seconds() / float64(count)
		if worker == "" {
			return 0, 0, fmt.Errorf("request %d of %d was given to no worker", i+1, count)
		}
		m.pass(taskTime)
		m.handle(decision.Event{Kind: decision.AttemptEnded, Request: m.next, Worker: worker, Outcome: decision.Completed, Answered: true})
		m.pass(arrivalGap - taskTime)
	}
	return mean, Median(times), nil
}

// deltas is the mean time that a one-worker delta takes.
func (m *module) deltas(count, workers int) time.Duration {
	began := time.Now()
	for i := range count {
		e := entry(i / 2 % workers)
		if i%2 == 0 {
			e.State = decision.Draining
		}
		m.handle(decision.Event{Kind: decision.ListUpdated, ListKind: decision.ListDelta, Endpoints: []decision.Endpoint{e}})
	}
	return time.Since(began) / time.Duration(count)
}

// playModule measures the module at one size.
func playModule(s *Slopes, workers int) error {
	for _, loop := range []struct {
		name  SeriesName
		cold  int
		count int
	}{{ModuleWarm, 0, moduleArrivals}, {ModuleCold, coldPart, coldArrivals}} {
		m, err := newModule(workers, loop.cold, daemonPeers, daemonTeams)
		if err != nil {
			return err
		}
		runtime.GC()
		mean, median, err := m.arrivals(loop.count, daemonTeams)
		if err != nil {
			return fmt.Errorf("%s: %w", loop.name, err)
		}
		s.add(loop.name, UnitSeconds, AxisWorkers, workers, mean)
		if loop.name == ModuleCold {
			s.add(ModulePick, UnitSeconds, AxisWorkers, workers, median)
		}
	}
	m, err := newModule(workers, 0, daemonPeers, daemonTeams)
	if err != nil {
		return err
	}
	s.add(ModuleDelta, UnitSeconds, AxisWorkers, workers, m.deltas(moduleDeltas, workers).Seconds())
	return nil
}

// playAxes measures the module by what else it grows with.
func playAxes(s *Slopes) error {
	for _, teams := range teamSizes {
		m, err := newModule(axisWorkers, 0, daemonPeers, teams)
		if err != nil {
			return err
		}
		mean, _, err := m.arrivals(moduleArrivals, teams)
		if err != nil {
			return fmt.Errorf("%s: %w", ModuleTeams, err)
		}
		s.add(ModuleTeams, UnitSeconds, AxisTeams, teams, mean)
	}
	for _, held := range heldSizes {
		if err := playHeld(s, held); err != nil {
			return fmt.Errorf("%s: %w", ModuleHeld, err)
		}
	}
	return nil
}

// playHeld measures what tasks that run cost while nothing happens to them.
func playHeld(s *Slopes, held int) error {
	m, err := newModule(heldWorkers, 0, 1, 1)
	if err != nil {
		return err
	}
	before := heap()
	placed := 0
	for range held {
		if _, worker := m.arrive(0, clientTime); worker != "" {
			placed++
		}
	}
	if placed < held {
		return fmt.Errorf("%d of %d tasks were given to a worker", placed, held)
	}
	s.add(ModuleHeld, UnitBytes, AxisTasks, held, heap()-before)
	const sweeps = 20
	began := time.Now()
	for range sweeps {
		m.handle(decision.Event{Kind: decision.TimerFired, Timer: m.sweep})
	}
	s.add(ModuleSweep, UnitSeconds, AxisTasks, held, time.Since(began).Seconds()/sweeps)
	runtime.KeepAlive(m)
	return nil
}

// heap is the memory that is in use after a collection, in bytes.
func heap() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
