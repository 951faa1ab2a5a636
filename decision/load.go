package decision

import "time"

// healthChecksPerArrival is the number of workers that are requested to report their load at each arrival.
const healthChecksPerArrival = 2

// requestHealthChecks requests the load of workers in the subset, in turn, if load reports come with health
// checks only. If no worker is warm, it uses the workers in slow start.
func (m *Machine) requestHealthChecks() {
	if !m.settings.HealthChecks || !m.settings.LoadByHealthCheck {
		return
	}
	c := &m.candidates
	from := c.warm
	if len(from) == 0 {
		from = c.warmingUp
	}
	subset := from[:min(c.subsetSize, len(from))]
	for range min(healthChecksPerArrival, len(from)) {
		c.healthCheckNext++
		worker := subset[c.healthCheckNext%len(subset)]
		m.emit(Action{Kind: CheckHealth, Worker: worker.Name})
	}
}

// workerLoad is the load of a worker by its latest reports. Each number has the time of its report, since a
// report need not contain all of them.
type workerLoad struct {
	freeSlots           float64 // reported free slots, adjusted for attempts sent and ended since
	freeSlotsAt         time.Duration
	backlog             float64 // requests that wait there
	backlogAt           time.Duration
	othersOutstanding   float64 // requests of other dispatchers, from a report or a load-adjusted weight
	othersOutstandingAt time.Duration
}

// setOthersOutstanding records how many requests of other dispatchers are outstanding at the worker.
func (l *workerLoad) setOthersOutstanding(requests float64, now time.Duration) {
	l.othersOutstanding = requests
	l.othersOutstandingAt = now
}

// recordLoad records the load report of an event, if it has one.
func (m *Machine) recordLoad(event Event) {
	worker := m.workers[event.Worker]
	if worker == nil {
		return
	}
	report := &event.Load
	load := &worker.load
	if report.HasFreeSlots {
		load.freeSlots = report.FreeSlots
		load.freeSlotsAt = m.now
	}
	if report.HasBacklog {
		load.backlog = report.Backlog
		load.backlogAt = m.now
	}
	switch {
	case report.HasOutstanding:
		load.setOthersOutstanding(max(report.Outstanding-worker.outstanding, 0), m.now)
	case report.HasBacklog:
		load.setOthersOutstanding(max(report.Backlog, 0), m.now)
	}
}
