package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// This file owns the arithmetic from figures of runs to what the target needs
// of each role.

const (
	secondsPerDay  = 86400
	secondsPerHour = 3600
	hoursPerDay    = 24
)

// Role is who has a need.
type Role string

// The roles.
const (
	Dispatcher     Role = "dispatcher"
	WorkerSeen     Role = "worker, as a dispatcher sees it"
	Origin         Role = "discovery"
	ControlMachine Role = "control machine"
	Writer         Role = "writer of configuration"
)

// Row is one need of one role beside what the target allows.
type Row struct {
	Role      Role
	What      string
	Need      Quantity
	Allowed   Quantity
	Mechanism string
	Unknown   string // why there is no figure; empty: there is one
}

// Headroom is what is allowed over what is needed; 0 where nothing carries it.
func (r Row) Headroom() float64 {
	if r.Unknown != "" || r.Mechanism == missing {
		return 0
	}
	return r.Allowed.Value / r.Need.Value
}

// HeadroomText tells the headroom.
func (r Row) HeadroomText() string {
	switch {
	case r.Mechanism == missing:
		return "missing"
	case r.Unknown != "":
		return "not measured"
	}
	return headroomText(r.Headroom())
}

// NeedText tells the need, or why it is not known.
func (r Row) NeedText() string {
	if r.Unknown != "" {
		return r.Unknown
	}
	return r.Need.String()
}

// MarkText tells how need and bound are known.
func (r Row) MarkText() string {
	if r.Unknown != "" {
		return ""
	}
	mark, _ := r.Need.reckoned(r.Allowed)
	if mark == Extrapolated { // a quotient of a measured figure and a given bound
		mark = r.Need.Mark
	}
	return mark.String()
}

// FromText tells what need and bound are reckoned from.
func (r Row) FromText() string {
	if r.Unknown != "" {
		return ""
	}
	_, sources := r.Need.reckoned(r.Allowed)
	return Quantity{Sources: sources}.From()
}

// sortRows puts what is missing first, then the least headroom, and last what
// was not measured.
func sortRows(rows []Row) {
	key := func(r Row) float64 {
		if r.Unknown != "" && r.Mechanism != missing {
			return math.Inf(1)
		}
		return r.Headroom()
	}
	slices.SortStableFunc(rows, func(a, b Row) int { return cmp.Compare(key(a), key(b)) })
}

// Basis is what needs are reckoned from.
type Basis struct {
	Assumptions
	Slopes Slopes
	File   string // the name of the file of slopes
	Scale  []ScaleRun
}

// at is a series' value at a size: the median of the plays there, or the line's.
func (b *Basis) at(name SeriesName, size float64) (Quantity, error) {
	series := b.Slopes.series(name)
	if series == nil {
		return Quantity{}, fmt.Errorf("%s: no series %s", b.File, name)
	}
	source := []string{runSource(name)}
	for _, p := range series.Points {
		if float64(p.Size) == size {
			return Quantity{Median(p.Plays), series.Unit, Measured, source}, nil
		}
	}
	fit, err := FitSeries(series.Points)
	if err != nil {
		return Quantity{}, fmt.Errorf("%s: series %s: %w", b.File, name, err)
	}
	return Quantity{fit.At(size), series.Unit, Extrapolated, source}, nil
}

// runSource names a series as a source, in code type; assumptions stand plain.
func runSource(name SeriesName) string { return "`" + string(name) + "`" }

// perUnit is a series' slope: what one more worker, team or task adds.
func (b *Basis) perUnit(name SeriesName) (Quantity, error) {
	series := b.Slopes.series(name)
	if series == nil {
		return Quantity{}, fmt.Errorf("%s: no series %s", b.File, name)
	}
	fit, err := FitSeries(series.Points)
	if err != nil {
		return Quantity{}, fmt.Errorf("%s: series %s: %w", b.File, name, err)
	}
	return Quantity{fit.Slope, series.Unit, Extrapolated, []string{runSource(name)}}, nil
}

// measured is the figures of the runs at the target's size.
type measured struct {
	snapshot, snapshotGzip  Quantity
	delta, idleBytes        Quantity
	deltaCPU, idleCPU       Quantity
	startCPU, zoneLossCPU   Quantity
	peakResident, taskBytes Quantity
	workerBytes             Quantity
	arrivalWarm             Quantity
	arrivalCold             Quantity
}

func (b *Basis) measured() (m measured, err error) {
	for _, x := range []struct {
		to   *Quantity
		name SeriesName
	}{
		{&m.snapshot, SnapshotBytes}, {&m.snapshotGzip, SnapshotGzip}, {&m.delta, DeltaBytes}, {&m.idleBytes, IdleBytes},
		{&m.deltaCPU, DeltaCPU}, {&m.idleCPU, IdleCPU}, {&m.startCPU, StartCPU}, {&m.zoneLossCPU, ZoneLossCPU},
		{&m.peakResident, PeakResident}, {&m.arrivalWarm, ModuleWarm}, {&m.arrivalCold, ModuleCold},
	} {
		if *x.to, err = b.at(x.name, b.Target.Workers); err != nil {
			return m, err
		}
	}
	if m.workerBytes, err = b.perUnit(PeakResident); err != nil {
		return m, err
	}
	m.taskBytes, err = b.perUnit(ModuleHeld)
	return m, err
}

// Rates is how often things change, over the whole fleet.
type Rates struct {
	Membership    Quantity // changes of the list, mean
	Configuration Quantity // mean
	ZoneWorkers   Quantity // workers of one zone
	MissedAnHour  Quantity // changes of configuration in an hour
}

// rates reckons them.
func (b *Basis) rates() Rates {
	t, a := b.Target, b.Assumed
	day := given(secondsPerDay, UnitSeconds)
	failures := given(t.FailuresPerDay, UnitPerDay).Times(a.FailureChanges.Quantity(), UnitPerDay)
	restarts := given(t.RestartsPerDay, UnitPerDay).Times(a.RestartChanges.Quantity(), UnitPerDay)
	racks := a.RackWorkers.Quantity().Times(a.FailureChanges.Quantity(), UnitPerDay).Over(count(t.DaysBetweenRacks), UnitPerDay)
	zone := count(t.Workers).Over(count(t.Zones), UnitCount)
	zones := zone.Times(a.FailureChanges.Quantity(), UnitPerDay).Over(count(t.DaysBetweenZones), UnitPerDay)
	return Rates{
		Membership:    failures.Plus(restarts).Plus(racks).Plus(zones).Over(day, UnitPerSecond),
		Configuration: given(t.ConfigChangesPerDay, UnitPerDay).Over(day, UnitPerSecond),
		ZoneWorkers:   zone,
		MissedAnHour:  count(t.ConfigChangesPerDay * t.RegionCut / secondsPerDay),
	}
}

// Flow is the control bytes a second of one dispatcher that watches.
type Flow struct {
	Mean       Quantity // ordinary day
	WorstHour  Quantity // a zone lost and back, the worst hour of configuration, one snapshot
	PeakMinute Quantity // a zone lost, while configuration is rolled out
	Snapshot   Quantity // a start: the whole list in a minute
	CatchUp    Quantity // after an hour's cut: the changes missed, in a minute
}

// flow reckons it.
func (b *Basis) flow(m measured, r Rates) Flow {
	a := b.Assumed
	hour, minute := given(secondsPerHour, UnitSeconds), given(b.Target.MeanOver, UnitSeconds)
	changeBytes := a.ConfigChangeBytes.Quantity()
	membership := r.Membership.Times(m.delta, UnitBytesPerSecond)
	configuration := r.Configuration.Times(changeBytes, UnitBytesPerSecond)
	mean := m.idleBytes.Plus(membership).Plus(configuration)
	zoneLoss := r.ZoneWorkers.Times(m.delta, UnitBytes)
	zoneBack := zoneLoss.Times(a.FailureChanges.Quantity(), UnitBytes)
	worst := m.idleBytes.Plus(membership).Plus(configuration.Times(a.ConfigPeakFactor.Quantity(), UnitBytesPerSecond)).
		Plus(zoneBack.Plus(m.snapshot).Over(hour, UnitBytesPerSecond))
	rollout := a.ConfigPeakRate.Quantity().Times(changeBytes, UnitBytesPerSecond)
	return Flow{
		Mean:       mean,
		WorstHour:  worst,
		PeakMinute: m.idleBytes.Plus(zoneLoss.Over(minute, UnitBytesPerSecond)).Plus(rollout),
		Snapshot:   m.snapshot.Over(minute, UnitBytesPerSecond),
		CatchUp:    b.missedBytes(m, r).Over(minute, UnitBytesPerSecond),
	}
}

// missedBytes is what a dispatcher missed in an hour's cut, change by change.
func (b *Basis) missedBytes(m measured, r Rates) Quantity {
	cut := given(b.Target.RegionCut, UnitSeconds)
	configuration := r.MissedAnHour.Times(b.Assumed.ConfigChangeBytes.Quantity(), UnitBytes)
	return configuration.Plus(r.Membership.Times(cut, UnitCount).Times(m.delta, UnitBytes))
}

// Needs reckons what the target needs of each role, the least headroom first.
func (b *Basis) Needs() ([]Row, error) {
	m, err := b.measured()
	if err != nil {
		return nil, err
	}
	r := b.rates()
	f := b.flow(m, r)
	rows := slices.Concat(b.dispatcherRows(m, r, f), b.workerRows(m, r), b.originRows(m, f), b.machineRows(m, f), b.writerRows(r), b.scaleRows(b.Scale))
	sortRows(rows)
	return rows, nil
}

// dispatcherRows is the needs of one dispatcher.
func (b *Basis) dispatcherRows(m measured, r Rates, f Flow) []Row {
	t, mech := b.Target, b.Mechanisms
	bytesAllowed := given(t.DispatcherBytes, UnitBytesPerSecond)
	coresAllowed := given(t.DispatcherCores, UnitCores)
	window := given(t.ZoneLossWindow, UnitSeconds)
	few := b.Assumed.Dispatchers[0]
	dispatchers := b.dispatchers(few)
	starts := given(t.PeakStarts, UnitPerSecond).Over(dispatchers, UnitPerSecond)
	tasks := count(t.RunningTasks).Over(dispatchers, UnitCount).Times(m.taskBytes, UnitBytes)
	core := Quantity{Value: 1, Unit: UnitCores, Mark: ByAssumption, Sources: []string{"one core for decisions"}}
	at := fmt.Sprintf(" with %s dispatchers", counted(few))
	rows := []Row{
		{Role: Dispatcher, What: "bytes a second, mean of a day", Need: f.Mean, Allowed: bytesAllowed, Mechanism: mech.Membership},
		{Role: Dispatcher, What: "bytes a second, worst hour: a zone lost and back, one snapshot", Need: f.WorstHour, Allowed: bytesAllowed, Mechanism: mech.Membership},
		{Role: Dispatcher, What: "bytes a second, peak minute: a zone lost during a rollout", Need: f.PeakMinute, Allowed: bytesAllowed, Mechanism: mech.Membership},
		{Role: Dispatcher, What: "bytes a second, the whole list within a minute of a start", Need: f.Snapshot, Allowed: bytesAllowed, Mechanism: mech.Membership},
		{Role: Dispatcher, What: "bytes a second, the whole list compressed within a minute of a start (made-up names)", Need: m.snapshotGzip.Over(given(t.MeanOver, UnitSeconds), UnitBytesPerSecond), Allowed: bytesAllowed, Mechanism: mech.Relays},
		{Role: Dispatcher, What: "bytes a second, the changes missed in an hour within a minute of the heal", Need: f.CatchUp, Allowed: bytesAllowed, Mechanism: mech.Resume},
		{Role: Dispatcher, What: "length of the list as one object", Need: m.snapshot, Allowed: b.Assumed.LongestObject.Quantity(), Mechanism: mech.Membership},
		{Role: Dispatcher, What: "processor time, mean of a day", Need: m.idleCPU.Plus(r.Membership.Times(m.deltaCPU, UnitCores)), Allowed: coresAllowed, Mechanism: mech.Membership},
		{Role: Dispatcher, What: "processor time, a lost zone told within ten seconds, one delta a worker", Need: m.zoneLossCPU.Over(b.Assumed.ZoneLossTold.Quantity(), UnitCores), Allowed: coresAllowed, Mechanism: mech.Membership},
		{Role: Dispatcher, What: "processor time, its start within ten seconds", Need: m.startCPU.Over(window, UnitCores), Allowed: coresAllowed, Mechanism: mech.Membership},
		{Role: Dispatcher, What: "memory: peak of a play, and its share of the running tasks" + at, Need: m.peakResident.Plus(tasks), Allowed: given(t.DispatcherMemory, UnitBytes), Mechanism: mech.Membership},
		{Role: Dispatcher, What: "processor time of decisions at the peak" + at + ", all workers warm", Need: starts.Times(m.arrivalWarm, UnitCores), Allowed: core, Mechanism: mech.Decisions},
		{Role: Dispatcher, What: "processor time of decisions at the peak" + at + ", a tenth of the workers cold", Need: starts.Times(m.arrivalCold, UnitCores), Allowed: core, Mechanism: mech.Decisions},
	}
	if mech.Configuration != missing && b.inForceMeasured() {
		return rows // a scale run has the figure
	}
	return append(rows, Row{Role: Dispatcher, What: "a change of configuration in force within 10 s", Allowed: given(t.InForceWithin, UnitSeconds),
		Mechanism: mech.Configuration, Unknown: unknownFor(mech.Configuration, "quotas and classes are read once, at the start")})
}

// inForceMeasured tells whether a scale run at the target's size timed changes.
func (b *Basis) inForceMeasured() bool {
	for _, row := range b.scaleRows(b.Scale) {
		if row.Need.Unit == UnitSeconds {
			return true
		}
	}
	return false
}

// workerRows is what one worker costs a dispatcher, and how often it is heard of.
func (b *Basis) workerRows(m measured, r Rates) []Row {
	workers := count(b.Target.Workers)
	memory := given(b.Target.DispatcherMemory, UnitBytes).Over(workers, UnitBytes)
	return []Row{
		{Role: WorkerSeen, What: "state: memory of a dispatcher for each listed worker", Need: m.workerBytes, Allowed: memory, Mechanism: b.Mechanisms.Membership},
	}
}

// dispatchers is a number of dispatchers, which the target does not give.
func (b *Basis) dispatchers(n int) Quantity {
	return Quantity{Value: float64(n), Unit: UnitCount, Mark: ByAssumption, Sources: []string{"dispatchers"}}
}

// originRows is the needs of discovery where every dispatcher watches it.
func (b *Basis) originRows(m measured, f Flow) (rows []Row) {
	t, mech := b.Target, b.Mechanisms
	line := b.Assumed.MachineBytes.Quantity()
	window, minute := given(t.InForceWithin, UnitSeconds), given(t.MeanOver, UnitSeconds)
	for _, n := range b.Assumed.Dispatchers {
		all := b.dispatchers(n)
		zone := all.Over(count(t.Zones), UnitCount)
		with := fmt.Sprintf(", %s dispatchers that watch it", counted(n))
		rows = append(rows,
			Row{Role: Origin, What: "bytes a second, mean" + with, Need: all.Times(f.Mean, UnitBytesPerSecond), Allowed: line, Mechanism: mech.Membership},
			Row{Role: Origin, What: "bytes a second, peak minute" + with, Need: all.Times(f.PeakMinute, UnitBytesPerSecond), Allowed: line, Mechanism: mech.Membership},
			Row{Role: Origin, What: "bytes a second, worst hour" + with, Need: all.Times(f.WorstHour, UnitBytesPerSecond), Allowed: line, Mechanism: mech.Membership},
			Row{Role: Origin, What: "bytes a second, all start within a minute" + with, Need: all.Times(m.snapshot, UnitBytes).Over(minute, UnitBytesPerSecond), Allowed: line, Mechanism: mech.Membership},
			Row{Role: Origin, What: "calls a second, a zone's dispatchers start within 10 s" + with, Need: zone.Over(window, UnitPerSecond), Allowed: b.Assumed.CallsPerSecond.Quantity(), Mechanism: mech.Membership},
			Row{Role: Origin, What: "calls a second, all start within 10 s" + with, Need: all.Over(window, UnitPerSecond), Allowed: b.Assumed.CallsPerSecond.Quantity(), Mechanism: mech.Membership},
		)
	}
	return append(rows, Row{Role: Origin, What: "processor time and memory", Allowed: count(1), Mechanism: mech.Membership,
		Unknown: "discovery is not part of this product"})
}

// machineRows is the needs of one control machine that relays to its part of the
// dispatchers, with one machine down.
func (b *Basis) machineRows(m measured, f Flow) (rows []Row) {
	t := b.Target
	line := b.Assumed.MachineBytes.Quantity()
	minute := given(t.MeanOver, UnitSeconds)
	left := count(t.ControlMachines - 1)
	for _, n := range b.Assumed.Dispatchers {
		part := b.dispatchers(n).Over(left, UnitCount)
		with := fmt.Sprintf(", its part of %s dispatchers with one machine down", counted(n))
		rows = append(rows,
			Row{Role: ControlMachine, What: "bytes a second, mean" + with, Need: part.Times(f.Mean, UnitBytesPerSecond), Allowed: line, Mechanism: b.Mechanisms.Relays},
			Row{Role: ControlMachine, What: "bytes a second, peak minute" + with, Need: part.Times(f.PeakMinute, UnitBytesPerSecond), Allowed: line, Mechanism: b.Mechanisms.Relays},
			Row{Role: ControlMachine, What: "bytes a second, worst hour" + with, Need: part.Times(f.WorstHour, UnitBytesPerSecond), Allowed: line, Mechanism: b.Mechanisms.Relays},
			Row{Role: ControlMachine, What: "bytes a second, snapshots, compressed, to all of them within a minute" + with, Need: part.Times(m.snapshotGzip, UnitBytes).Over(minute, UnitBytesPerSecond), Allowed: line, Mechanism: b.Mechanisms.Relays},
		)
	}
	return rows
}

// writerRows is the needs of whoever writes configuration.
func (b *Basis) writerRows(r Rates) []Row {
	mech := b.Mechanisms
	return []Row{
		{Role: Writer, What: "writes a second, mean of a day", Need: r.Configuration, Allowed: b.Assumed.CallsPerSecond.Quantity(), Mechanism: mech.Configuration},
		{Role: Writer, What: "writes a second, worst hour", Need: r.Configuration.Times(b.Assumed.ConfigPeakFactor.Quantity(), UnitPerSecond), Allowed: b.Assumed.CallsPerSecond.Quantity(), Mechanism: mech.Configuration},
		{Role: Writer, What: "writes a second, peak", Need: b.Assumed.ConfigPeakRate.Quantity(), Allowed: b.Assumed.CallsPerSecond.Quantity(), Mechanism: mech.Configuration},
		{Role: Writer, What: "to learn who has a change", Allowed: given(b.Target.InForceWithin, UnitSeconds), Mechanism: mech.Acknowledgement, Unknown: unknownFor(mech.Acknowledgement, "nothing tells")},
	}
}

// unknownFor is why a need that no run measures has no figure.
func unknownFor(mechanism, without string) string {
	if mechanism == missing {
		return without
	}
	return "no run has timed it"
}

// headroomText rounds a headroom.
func headroomText(x float64) string {
	if x >= 100 {
		return thousands(fmt.Sprintf("%.0f", math.Round(x)))
	}
	return significant(x)
}
