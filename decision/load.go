package decision

// healthChecksPerArrival is the number of workers that are asked for their load at each arrival.
const healthChecksPerArrival = 2

// requestHealthChecks asks workers of the subset for their load, one after the other, where load reports come
// with health checks only. Where no worker is warm, it asks those in slow start.
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

// recordLoad keeps a worker's report of its load, if there is one.
func (m *Machine) recordLoad(event Event) {
	worker := m.workers[event.Worker]
	if worker == nil {
		return
	}
	load := &event.Load
	if load.HasFreeSlots {
		worker.freeSlots = load.FreeSlots
		worker.freeSlotsAt = m.now
	}
	if load.HasBacklog {
		worker.backlog = load.Backlog
		worker.backlogAt = m.now
	}
	switch {
	case load.HasOutstanding:
		worker.othersOutstanding = max(load.Outstanding-worker.outstanding, 0)
		worker.othersOutstandingAt = m.now
	case load.HasBacklog:
		worker.othersOutstanding = max(load.Backlog, 0)
		worker.othersOutstandingAt = m.now
	}
}
