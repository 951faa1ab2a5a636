package capacity

import (
	"fmt"
	"strings"
)

// This file owns what scale runs say beside the target's bounds: of each bounded
// figure, the run at the target's number of workers in which it was worst.

// bounded is a figure of scale runs that the target or an assumption bounds.
type bounded struct {
	role    Role
	figure  string // its name, or how it begins and ends around a *
	what    string
	factor  float64 // from the run's unit to ours
	unit    Unit
	allowed func(*Basis) Quantity
}

// scaleWords is how the description of a need by a scale run begins.
const scaleWords = "scale run by "

const megabyte = 1 << 20 // of the scale runs' MB

func allowedBytes(b *Basis) Quantity   { return given(b.Target.DispatcherBytes, UnitBytesPerSecond) }
func allowedCores(b *Basis) Quantity   { return given(b.Target.DispatcherCores, UnitCores) }
func allowedMemory(b *Basis) Quantity  { return given(b.Target.DispatcherMemory, UnitBytes) }
func allowedInForce(b *Basis) Quantity { return given(b.Target.InForceWithin, UnitSeconds) }
func machineCores(b *Basis) Quantity   { return b.Assumed.MachineCores.Quantity() }
func machineMemory(b *Basis) Quantity  { return b.Assumed.MachineMemory.Quantity() }
func machineLine(b *Basis) Quantity    { return b.Assumed.MachineBytes.Quantity() }

// boundedFigures is all of them.
var boundedFigures = []bounded{
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

// matches tells whether a figure is the one meant.
func (x bounded) matches(name string) bool {
	begin, end, open := strings.Cut(x.figure, "*")
	if !open {
		return name == x.figure
	}
	return len(name) > len(begin)+len(end) && strings.HasPrefix(name, begin) && strings.HasSuffix(name, end)
}

// scaleRows is what the runs need, a row for each bounded figure and mechanism.
func (b *Basis) scaleRows(runs []ScaleRun) (rows []Row) {
	for _, x := range boundedFigures {
		for _, mechanism := range []string{"discovery", "relays"} {
			if row, ok := b.worstOf(x, mechanism, runs); ok {
				rows = append(rows, row)
			}
		}
	}
	return rows
}

// worstOf finds the run in which a figure is the largest.
func (b *Basis) worstOf(x bounded, mechanism string, runs []ScaleRun) (row Row, ok bool) {
	carrier := b.Mechanisms.Membership
	if mechanism == "relays" {
		carrier = b.Mechanisms.Relays
	}
	for _, run := range runs {
		if run.Mechanism != mechanism || float64(run.Workers) != b.Target.Workers {
			continue
		}
		for _, f := range run.Figures {
			value := f.Value * x.factor
			if !x.matches(f.Name) || ok && value <= row.Need.Value {
				continue
			}
			ok = true
			row = Row{Role: x.role, Mechanism: carrier, Allowed: x.allowed(b),
				What: fmt.Sprintf(scaleWords+"%s: %s (scenario %s, %s dispatchers)", mechanism, x.what, run.Scenario, counted(run.Dispatchers+run.Real)),
				Need: Quantity{Value: value, Unit: x.unit, Mark: Measured, Sources: []string{fmt.Sprintf("`%s` of `%s`", f.Name, run.File)}}}
		}
	}
	return row, ok
}
