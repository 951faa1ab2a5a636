package capacity

import (
	"fmt"
	"strings"
)

// boundedFigure is a figure of scale runs that the target or an assumption limits.
type boundedFigure struct {
	role    Role
	figure  string // its name, or a pattern with one *
	what    string
	factor  float64 // from the run's unit to this one
	unit    Unit
	allowed func(*Basis) Quantity
}

// scaleNeedPrefix is the beginning of the description of a need by a scale run.
const scaleNeedPrefix = "scale run by "

const megabyte = 1 << 20 // of the scale runs' MB

// The mechanisms of scale runs, as ScaleRun.Mechanism has them.
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
func machineLine(b *Basis) Quantity    { return b.Assumed.MachineBytes.Quantity() }

// boundedFigures lists the limited figures.
var boundedFigures = []boundedFigure{
	{
		role: Dispatcher, figure: "dispatcher.real.bytes", factor: 1, unit: UnitBytesPerSecond, allowed: allowedBytes,
		what: "bytes a second over the run, a real daemon",
	},
	{
		role: Dispatcher, figure: "dispatcher.real.bytes_worst_minute", factor: 1, unit: UnitBytesPerSecond, allowed: allowedBytes,
		what: "bytes a second in the worst minute, a real daemon",
	},
	{
		role: Dispatcher, figure: "dispatcher.hollow.bytes_worst_minute", factor: 1, unit: UnitBytesPerSecond, allowed: allowedBytes,
		what: "bytes a second in the worst minute, a hollow dispatcher",
	},
	{
		role: Dispatcher, figure: "dispatcher.real.core_share", factor: 1, unit: UnitCores, allowed: allowedCores,
		what: "processor time over the run, a real daemon",
	},
	{
		role: Dispatcher, figure: "dispatcher.real.core_share_worst_10s", factor: 1, unit: UnitCores, allowed: allowedCores,
		what: "processor time in the worst ten seconds, a real daemon",
	},
	{
		role: Dispatcher, figure: "dispatcher.real.memory_peak", factor: megabyte, unit: UnitBytes, allowed: allowedMemory,
		what: "memory at its peak, a real daemon",
	},
	{
		role: Dispatcher, figure: "in_force.*.max", factor: 1, unit: UnitSeconds, allowed: allowedInForce,
		what: "time until the last reachable dispatcher has a change",
	},
	{
		role: Origin, figure: "origin.core_share_worst_10s", factor: 1, unit: UnitCores, allowed: machineCores,
		what: "processor time in the worst ten seconds",
	},
	{
		role: Origin, figure: "origin.bytes_out_worst_10s", factor: 1, unit: UnitBytesPerSecond, allowed: machineLine,
		what: "bytes a second in the worst ten seconds",
	},
	{
		role: ControlMachine, figure: "relay.busiest.core_share_worst_10s", factor: 1, unit: UnitCores, allowed: machineCores,
		what: "processor time in the worst ten seconds, the busiest relay",
	},
	{
		role: ControlMachine, figure: "relay.busiest.memory_peak", factor: megabyte, unit: UnitBytes, allowed: machineMemory,
		what: "memory at its peak, the busiest relay",
	},
	{
		role: ControlMachine, figure: "relay.busiest.bytes_out_worst_10s", factor: 1, unit: UnitBytesPerSecond, allowed: machineLine,
		what: "bytes a second in the worst ten seconds, the busiest relay",
	},
}

// matches reports whether a figure of a run has the name.
func (f boundedFigure) matches(name string) bool {
	prefix, suffix, isPattern := strings.Cut(f.figure, "*")
	if !isPattern {
		return name == f.figure
	}
	return len(name) > len(prefix)+len(suffix) && strings.HasPrefix(name, prefix) && strings.HasSuffix(name, suffix)
}

// scaleRows returns the needs by scale runs at the target's number of workers: for each limited figure and mechanism, the
// run in which it was largest.
func (b *Basis) scaleRows(runs []ScaleRun) (rows []Row) {
	for _, figure := range boundedFigures {
		for _, mechanism := range []string{byDiscovery, byRelays} {
			if row, ok := b.worstOf(figure, mechanism, runs); ok {
				rows = append(rows, row)
			}
		}
	}
	return rows
}

// worstOf returns the row of the run in which a figure is largest.
func (b *Basis) worstOf(figure boundedFigure, mechanism string, runs []ScaleRun) (row Row, ok bool) {
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

// scaleRow returns the need that a figure of a run shows.
func (b *Basis) scaleRow(bounded boundedFigure, run ScaleRun, figure ScaleFigure) Row {
	carrier := b.Mechanisms.Membership
	if run.Mechanism == byRelays {
		carrier = b.Mechanisms.Relays
	}
	fleet := fmt.Sprintf("scenario %s, %s dispatchers", run.Scenario, counted(run.Dispatchers+run.Real))
	source := fmt.Sprintf("`%s` of `%s`", figure.Name, run.File)
	return Row{
		Role:      bounded.role,
		What:      scaleNeedPrefix + run.Mechanism + ": " + bounded.what + " (" + fleet + ")",
		Need:      Quantity{Value: figure.Value * bounded.factor, Unit: bounded.unit, Mark: Measured, Sources: []string{source}},
		Allowed:   bounded.allowed(b),
		Mechanism: carrier,
	}
}
