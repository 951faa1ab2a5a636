package capacity

import (
	"fmt"
	"slices"
)

const (
	secondsPerDay  = 86400
	secondsPerHour = 3600
)

// Needs computes what the target requires of each role, sorted by headroom in ascending order.
func (b *Basis) Needs() ([]Row, error) {
	measured, err := b.figuresAtTarget()
	if err != nil {
		return nil, err
	}
	rates := b.rates()
	flow := b.flow(measured, rates)
	rows := slices.Concat(
		b.dispatcherRows(measured, rates, flow),
		b.workerRows(measured),
		b.originRows(measured, flow),
		b.machineRows(measured, flow),
		b.writerRows(rates),
		b.scaleRows(b.Scale),
	)
	sortRows(rows)
	return rows, nil
}

// dispatcherRows returns the needs of one dispatcher.
func (b *Basis) dispatcherRows(measured runFigures, rates Rates, flow Flow) []Row {
	target := b.Target
	mechanisms := b.Mechanisms
	bytesAllowed := given(target.DispatcherBytes, UnitBytesPerSecond)
	coresAllowed := given(target.DispatcherCores, UnitCores)
	window := given(target.ZoneLossWindow, UnitSeconds)
	fewest := b.Assumed.Dispatchers[0]
	dispatchers := b.dispatcherCount(fewest)
	starts := given(target.PeakStarts, UnitPerSecond).Over(dispatchers, UnitPerSecond)
	tasks := count(target.RunningTasks).Over(dispatchers, UnitCount).Times(measured.memoryPerTask, UnitBytes)
	core := Quantity{Value: 1, Unit: UnitCores, Mark: ByAssumption, Sources: []string{"one core for decisions"}}
	suffix := fmt.Sprintf(" with %s dispatchers", formatCount(fewest))
	rows := []Row{
		Dispatcher.row("bytes a second, mean of a day", flow.Mean, bytesAllowed, mechanisms.Membership),
		Dispatcher.row("bytes a second, worst hour: a zone lost and back, one snapshot",
			flow.WorstHour, bytesAllowed, mechanisms.Membership),
		Dispatcher.row("bytes a second, peak minute: a zone lost during a rollout",
			flow.PeakMinute, bytesAllowed, mechanisms.Membership),
		Dispatcher.row("bytes a second, the whole list within a minute of a start",
			flow.Snapshot, bytesAllowed, mechanisms.Membership),
		Dispatcher.row("bytes a second, the whole list compressed within a minute of a start (made-up names)",
			measured.snapshotGzip.Over(given(target.MeanOver, UnitSeconds), UnitBytesPerSecond), bytesAllowed, mechanisms.Relays),
		Dispatcher.row("bytes a second, the changes missed in an hour within a minute of the heal",
			flow.CatchUp, bytesAllowed, mechanisms.Resume),
		Dispatcher.row("length of the list as one object",
			measured.snapshot, b.Assumed.LongestObject.Quantity(), mechanisms.Membership),
		Dispatcher.row("processor time, mean of a day",
			measured.idleCPU.Plus(rates.Membership.Times(measured.deltaCPU, UnitCores)), coresAllowed, mechanisms.Membership),
		Dispatcher.row("processor time, a lost zone told within ten seconds, one delta a worker",
			measured.zoneLossCPU.Over(b.Assumed.ZoneLossAnnounced.Quantity(), UnitCores), coresAllowed, mechanisms.Membership),
		Dispatcher.row("processor time, its start within ten seconds",
			measured.startCPU.Over(window, UnitCores), coresAllowed, mechanisms.Membership),
		Dispatcher.row("memory: peak of a play, and its share of the running tasks"+suffix,
			measured.peakResident.Plus(tasks), given(target.DispatcherMemory, UnitBytes), mechanisms.Membership),
		Dispatcher.row("processor time of decisions at the peak"+suffix+", all workers warm",
			starts.Times(measured.requestCPU, UnitCores), core, mechanisms.Decisions),
		Dispatcher.row("processor time of decisions at the peak"+suffix+", a tenth of the workers cold",
			starts.Times(measured.slowStartRequestCPU, UnitCores), core, mechanisms.Decisions),
	}
	if mechanisms.Configuration != mechanismMissing && b.propagationMeasured() {
		return rows // the scale rows have the measured time of a change
	}
	return append(rows, Row{
		Role:      Dispatcher,
		What:      "a change of configuration in force within 10 s",
		Allowed:   given(target.InForceWithin, UnitSeconds),
		Mechanism: mechanisms.Configuration,
		Unknown:   unknownFor(mechanisms.Configuration, "quotas and classes are read once, at the start"),
	})
}

// propagationMeasured reports whether a scale run with the target's number of workers measured how long changes take to
// reach the dispatchers.
func (b *Basis) propagationMeasured() bool {
	for _, row := range b.scaleRows(b.Scale) {
		if row.Need.Unit == UnitSeconds {
			return true
		}
	}
	return false
}

// workerRows returns the needs of one listed worker at a dispatcher.
func (b *Basis) workerRows(measured runFigures) []Row {
	workers := count(b.Target.Workers)
	memory := given(b.Target.DispatcherMemory, UnitBytes).Over(workers, UnitBytes)
	return []Row{
		ListedWorker.row("state: memory of a dispatcher for each listed worker",
			measured.memoryPerWorker, memory, b.Mechanisms.Membership),
	}
}

// originRows returns, for each assumed number of dispatchers, the needs of discovery if every dispatcher watches it.
func (b *Basis) originRows(measured runFigures, flow Flow) (rows []Row) {
	target := b.Target
	mechanisms := b.Mechanisms
	bytesAllowed := b.Assumed.MachineBytes.Quantity()
	window := given(target.InForceWithin, UnitSeconds)
	minute := given(target.MeanOver, UnitSeconds)
	for _, number := range b.Assumed.Dispatchers {
		all := b.dispatcherCount(number)
		zone := all.Over(count(target.Zones), UnitCount)
		suffix := fmt.Sprintf(", %s dispatchers that watch it", formatCount(number))
		rows = append(rows,
			Origin.row("bytes a second, mean"+suffix,
				all.Times(flow.Mean, UnitBytesPerSecond), bytesAllowed, mechanisms.Membership),
			Origin.row("bytes a second, peak minute"+suffix,
				all.Times(flow.PeakMinute, UnitBytesPerSecond), bytesAllowed, mechanisms.Membership),
			Origin.row("bytes a second, worst hour"+suffix,
				all.Times(flow.WorstHour, UnitBytesPerSecond), bytesAllowed, mechanisms.Membership),
			Origin.row("bytes a second, all start within a minute"+suffix,
				all.Times(measured.snapshot, UnitBytes).Over(minute, UnitBytesPerSecond), bytesAllowed, mechanisms.Membership),
			Origin.row("calls a second, a zone's dispatchers start within 10 s"+suffix,
				zone.Over(window, UnitPerSecond), b.Assumed.CallsPerSecond.Quantity(), mechanisms.Membership),
			Origin.row("calls a second, all start within 10 s"+suffix,
				all.Over(window, UnitPerSecond), b.Assumed.CallsPerSecond.Quantity(), mechanisms.Membership),
		)
	}
	return append(rows, Row{
		Role:      Origin,
		What:      "processor time and memory",
		Allowed:   count(1),
		Mechanism: mechanisms.Membership,
		Unknown:   "discovery is not part of this product",
	})
}

// machineRows returns the needs of one control machine if the control machines run the relays that dispatchers follow. It
// assumes that one control machine is down and that each of the others serves an equal part of the dispatchers.
func (b *Basis) machineRows(measured runFigures, flow Flow) (rows []Row) {
	target := b.Target
	bytesAllowed := b.Assumed.MachineBytes.Quantity()
	minute := given(target.MeanOver, UnitSeconds)
	remaining := count(target.ControlMachines - 1)
	for _, number := range b.Assumed.Dispatchers {
		dispatchersPerMachine := b.dispatcherCount(number).Over(remaining, UnitCount)
		suffix := fmt.Sprintf(", its part of %s dispatchers with one machine down", formatCount(number))
		rows = append(rows,
			ControlMachine.row("bytes a second, mean"+suffix,
				dispatchersPerMachine.Times(flow.Mean, UnitBytesPerSecond), bytesAllowed, b.Mechanisms.Relays),
			ControlMachine.row("bytes a second, peak minute"+suffix,
				dispatchersPerMachine.Times(flow.PeakMinute, UnitBytesPerSecond), bytesAllowed, b.Mechanisms.Relays),
			ControlMachine.row("bytes a second, worst hour"+suffix,
				dispatchersPerMachine.Times(flow.WorstHour, UnitBytesPerSecond), bytesAllowed, b.Mechanisms.Relays),
			ControlMachine.row("bytes a second, snapshots, compressed, to all of them within a minute"+suffix,
				dispatchersPerMachine.Times(measured.snapshotGzip, UnitBytes).Over(minute, UnitBytesPerSecond), bytesAllowed, b.Mechanisms.Relays),
		)
	}
	return rows
}

// writerRows returns the needs of the process that writes configuration.
func (b *Basis) writerRows(rates Rates) []Row {
	mechanisms := b.Mechanisms
	return []Row{
		Writer.row("writes a second, mean of a day",
			rates.Configuration, b.Assumed.CallsPerSecond.Quantity(), mechanisms.Configuration),
		Writer.row("writes a second, worst hour",
			rates.Configuration.Times(b.Assumed.ConfigPeakFactor.Quantity(), UnitPerSecond), b.Assumed.CallsPerSecond.Quantity(), mechanisms.Configuration),
		Writer.row("writes a second, peak",
			b.Assumed.ConfigPeakRate.Quantity(), b.Assumed.CallsPerSecond.Quantity(), mechanisms.Configuration),
		{
			Role:      Writer,
			What:      "to learn who has a change",
			Allowed:   given(b.Target.InForceWithin, UnitSeconds),
			Mechanism: mechanisms.Acknowledgement,
			Unknown:   unknownFor(mechanisms.Acknowledgement, "nothing tells"),
		},
	}
}

// unknownFor returns why a need has no figure: reasonIfMissing if there is no mechanism, otherwise that no run measured it.
func unknownFor(mechanism, reasonIfMissing string) string {
	if mechanism == mechanismMissing {
		return reasonIfMissing
	}
	return "no run has timed it"
}
