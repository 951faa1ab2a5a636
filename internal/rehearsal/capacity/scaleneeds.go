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

func allowedBytes(b *Basis) Quantity   { return given(b.Target.DispatcherBytes, UnitBytesPerSecond) }
func allowedCores(b *Basis) Quantity   { return given(b.Target.DispatcherCores, UnitCores) }
func allowedMemory(b *Basis) Quantity  { return given(b.Target.DispatcherMemory, UnitBytes) }
func allowedInForce(b *Basis) Quantity { return given(b.Target.InForceWithin, UnitSeconds) }
func machineCores(b *Basis) Quantity   { return b.Assumed.MachineCores.Quantity() }
func machineMemory(b *Basis) Quantity  { return b.Assumed.MachineMemory.Quantity() }
func machineLine(b *Basis) Quantity    { return b.Assumed.MachineBytes.Quantity() }

// boundedFigures lists the limited figures.
var boundedFigures = []boundedFigure{
	{Dispatcher, "dispatcher.real.bytes", "bytes a second over the run, a real daemon", 1, UnitBytesPerSecond, allowedBytes},
	{Dispatcher, "dispatcher.real.bytes_worst_minute", "bytes a second in the worst minute, a real daemon", 1, UnitBytesPerSecond, allowedBytes},
	{Dispatcher, "dispatcher.hollow.bytes_worst_minute", "bytes a second in the worst minute, a hollow dispatcher", 1, UnitBytesPerSecond, allowedBytes},
	{Dispatcher, "dispatcher.real.core_share", "processor time over the run, a real daemon", 1, UnitCores, allowedCores},
	{Dispatcher, "dispatcher.real.core_share_worst_10s", "processor time in the worst ten seconds, a real daemon", 1, UnitCores, allowedCores},
	{Dispatcher, "dispatcher.real.memory_peak", "memory at its peak, a real daemon", megabyte, UnitBytes, allowedMemory},
	{Dispatcher, "in_force.*.max", "time until the last reachable dispatcher has a change", 1, UnitSeconds, allowedInForce},
	{Origin, "origin.core_share_worst_10s", "processor time in the worst ten seconds", 1, UnitCores, machineCores},
	{Origin, "origin.bytes_out_worst_10s", "bytes a second in the worst ten seconds", 1, UnitBytesPerSecond, machineLine},
	{ControlMachine, "relay.busiest.core_share_worst_10s", "processor time in the worst ten seconds, the busiest relay", 1, UnitCores, machineCores},
	{ControlMachine, "relay.busiest.memory_peak", "memory at its peak, the busiest relay", megabyte, UnitBytes, machineMemory},
	{ControlMachine, "relay.busiest.bytes_out_worst_10s", "bytes a second in the worst ten seconds, the busiest relay", 1, UnitBytesPerSecond, machineLine},
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
		for _, mechanism := range []string{"discovery", "relays"} {
			if row, ok := b.worstOf(figure, mechanism, runs); ok {
				rows = append(rows, row)
			}
		}
	}
	return rows
}

// worstOf returns the row of the run in which a figure is largest.
func (b *Basis) worstOf(figure boundedFigure, mechanism string, runs []ScaleRun) (row Row, ok bool) {
	carrier := b.Mechanisms.Membership
	if mechanism == "relays" {
		carrier = b.Mechanisms.Relays
	}
	for _, run := range runs {
		if run.Mechanism != mechanism || float64(run.Workers) != b.Target.Workers {
			continue
		}
		for _, measuredFigure := range run.Figures {
			value := measuredFigure.Value * figure.factor
			if !figure.matches(measuredFigure.Name) || ok && value <= row.Need.Value {
				continue
			}
			ok = true
			row = Row{Role: figure.role, Mechanism: carrier, Allowed: figure.allowed(b),
				What: fmt.Sprintf(scaleNeedPrefix+"%s: %s (scenario %s, %s dispatchers)", mechanism, figure.what, run.Scenario, counted(run.Dispatchers+run.Real)),
				Need: Quantity{Value: value, Unit: figure.unit, Mark: Measured, Sources: []string{fmt.Sprintf("`%s` of `%s`", measuredFigure.Name, run.File)}}}
		}
	}
	return row, ok
}
