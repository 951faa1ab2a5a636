package capacity

import (
	"fmt"
	"strings"
)

// boundedFigure describes a figure of scale runs for which the target or an assumption sets a limit.
type boundedFigure struct {
	role        Role
	namePattern string  // the figure's name, or a pattern with one * for any text
	what        string  // description of the need
	factor      float64 // from the unit in the scale run to unit
	unit        Unit
	allowed     func(*Basis) Quantity
}

// scaleNeedPrefix begins the description of every need that a scale run measured.
const scaleNeedPrefix = "scale run by "

const megabyte = 1 << 20 // bytes in the unit MB of scale runs

// The values of ScaleRun.Mechanism.
const (
	byDiscovery = "discovery"
	byRelays    = "relays"
)

func allowedBytes(b *Basis) Quantity   { return given(b.Target.DispatcherBytes, UnitBytesPerSecond) }
func allowedCores(b *Basis) Quantity   { return given(b.Target.DispatcherCores, UnitCores) }
func allowedMemory(b *Basis) Quantity  { return given(b.Target.DispatcherMemory, UnitBytes) }
func allowedInForce(b *Basis) Quantity { return given(b.Target.InForceWithin, UnitSeconds) }
func machineCores(b *Basis) Quantity   { return b.Assumed.MachineCores.Quantity() }
func machineMemory(b *Basis) Quantity  { return b.Assumed.MachineMemory.Quantity() }
func machineBytes(b *Basis) Quantity   { return b.Assumed.MachineBytes.Quantity() }

// boundedFigures lists the figures of scale runs that have a limit.
var boundedFigures = []boundedFigure{
	{
		role: Dispatcher, namePattern: "dispatcher.real.bytes", factor: 1, unit: UnitBytesPerSecond, allowed: allowedBytes,
		what: "bytes a second over the run, a real daemon",
	},
	{
		role: Dispatcher, namePattern: "dispatcher.real.bytes_worst_minute", factor: 1, unit: UnitBytesPerSecond, allowed: allowedBytes,
		what: "bytes a second in the worst minute, a real daemon",
	},
	{
		role: Dispatcher, namePattern: "dispatcher.hollow.bytes_worst_minute", factor: 1, unit: UnitBytesPerSecond, allowed: allowedBytes,
		what: "bytes a second in the worst minute, a hollow dispatcher",
	},
	{
		role: Dispatcher, namePattern: "dispatcher.real.core_share", factor: 1, unit: UnitCores, allowed: allowedCores,
		what: "processor time over the run, a real daemon",
	},
	{
		role: Dispatcher, namePattern: "dispatcher.real.core_share_worst_10s", factor: 1, unit: UnitCores, allowed: allowedCores,
		what: "processor time in the worst ten seconds, a real daemon",
	},
	{
		role: Dispatcher, namePattern: "dispatcher.real.memory_peak", factor: megabyte, unit: UnitBytes, allowed: allowedMemory,
		what: "memory at its peak, a real daemon",
	},
	{
		role: Dispatcher, namePattern: "in_force.*.max", factor: 1, unit: UnitSeconds, allowed: allowedInForce,
		what: "time until the last reachable dispatcher has a change",
	},
	{
		role: Origin, namePattern: "origin.core_share_worst_10s", factor: 1, unit: UnitCores, allowed: machineCores,
		what: "processor time in the worst ten seconds",
	},
	{
		role: Origin, namePattern: "origin.bytes_out_worst_10s", factor: 1, unit: UnitBytesPerSecond, allowed: machineBytes,
		what: "bytes a second in the worst ten seconds",
	},
	{
		role: ControlMachine, namePattern: "relay.busiest.core_share_worst_10s", factor: 1, unit: UnitCores, allowed: machineCores,
		what: "processor time in the worst ten seconds, the busiest relay",
	},
	{
		role: ControlMachine, namePattern: "relay.busiest.memory_peak", factor: megabyte, unit: UnitBytes, allowed: machineMemory,
		what: "memory at its peak, the busiest relay",
	},
	{
		role: ControlMachine, namePattern: "relay.busiest.bytes_out_worst_10s", factor: 1, unit: UnitBytesPerSecond, allowed: machineBytes,
		what: "bytes a second in the worst ten seconds, the busiest relay",
	},
}

// matches reports whether name is the figure's name or matches its pattern.
func (f boundedFigure) matches(name string) bool {
	prefix, suffix, isPattern := strings.Cut(f.namePattern, "*")
	if !isPattern {
		return name == f.namePattern
	}
	return len(name) > len(prefix)+len(suffix) && strings.HasPrefix(name, prefix) && strings.HasSuffix(name, suffix)
}

// scaleRows returns the needs that were measured by scale runs with the target's number of workers. For each bounded figure
// and mechanism, the need is the largest value of any run.
func (b *Basis) scaleRows(runs []ScaleRun) (rows []Row) {
	for _, figure := range boundedFigures {
		for _, mechanism := range []string{byDiscovery, byRelays} {
			if row, ok := b.worstRow(figure, mechanism, runs); ok {
				rows = append(rows, row)
			}
		}
	}
	return rows
}

// worstRow returns the row for the largest value of a figure in all runs by a mechanism with the target's number of workers,
// and whether there is one.
func (b *Basis) worstRow(figure boundedFigure, mechanism string, runs []ScaleRun) (row Row, ok bool) {
	for _, run := range runs {
		if run.Mechanism != mechanism || float64(run.Workers) != b.Target.Workers {
			continue
		}
		for _, candidate := range run.Figures {
			value := candidate.Value * figure.factor
			if !figure.matches(candidate.Name) || ok && value <= row.Need.Value {
				continue
			}
			ok = true
			row = b.scaleRow(figure, run, candidate)
		}
	}
	return row, ok
}

// scaleRow returns the row for one figure of one run.
func (b *Basis) scaleRow(bounded boundedFigure, run ScaleRun, figure ScaleFigure) Row {
	mechanism := b.Mechanisms.Membership
	if run.Mechanism == byRelays {
		mechanism = b.Mechanisms.Relays
	}
	fleet := fmt.Sprintf("scenario %s, %s dispatchers", run.Scenario, formatCount(run.Dispatchers+run.Real))
	source := fmt.Sprintf("`%s` of `%s`", figure.Name, run.File)
	return Row{
		Role:      bounded.role,
		What:      scaleNeedPrefix + run.Mechanism + ": " + bounded.what + " (" + fleet + ")",
		Need:      Quantity{Value: figure.Value * bounded.factor, Unit: bounded.unit, Mark: Measured, Sources: []string{source}},
		Allowed:   bounded.allowed(b),
		Mechanism: mechanism,
	}
}
