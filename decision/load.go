package decision

// healthChecksPerArrival is the number of workers that are asked for their load at each arrival.
const healthChecksPerArrival = 2

// requestHealthChecks asks workers of the subset in turn for their load, where reports come with health checks only;
// those in slow start where none has warmed up.
func (m *Machine) requestHealthChecks() {
	if !m.settings.HealthChecks || !m.settings.LoadByHealthCheck {
		return
	}
	from := m.warmWorkers
	if len(from) == 0 {
		from = m.warmingUp
	}
	subset := from[:min(m.subsetSize, len(from))]
	for range min(healthChecksPerArrival, len(from)) {
		m.healthCheckNext++
		w := subset[m.healthCheckNext%len(subset)]
		m.emit(Action{Kind: CheckHealth, Worker: w.Name})
	}
}

// recordLoad keeps what a worker has told of its load, if it has told anything.
func (m *Machine) recordLoad(ev Event) {
	w := m.workers[ev.Worker]
	if w == nil {
		return
	}
	load := &ev.Load
	if load.HasFreeSlots {
		w.freeSlots = load.FreeSlots
		w.freeSlotsAt = m.now
	}
	if load.HasBacklog {
		w.backlog = load.Backlog
		w.backlogAt = m.now
	}
	switch {
	case load.HasOutstanding:
		w.othersOutstanding = max(load.Outstanding-w.outstanding, 0)
		w.othersOutstandingAt = m.now
	case load.HasBacklog:
		w.othersOutstanding = max(load.Backlog, 0)
		w.othersOutstandingAt = m.now
	}
}
