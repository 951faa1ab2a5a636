package capacity

import (
	"fmt"
)

// Basis is what needs are computed from.
type Basis struct {
	Assumptions
	Slopes Slopes
	File   string // the name of the file of slopes
	Scale  []ScaleRun
}

// valueAt returns a series' value at a size: the median of the repetitions there, or the value of the fitted line.
func (b *Basis) valueAt(name SeriesName, size float64) (Quantity, error) {
	series := b.Slopes.series(name)
	if series == nil {
		return Quantity{}, fmt.Errorf("%s: no series %s", b.File, name)
	}
	source := []string{runSource(name)}
	for _, point := range series.Points {
		if float64(point.Size) == size {
			return Quantity{Median(point.Values), series.Unit, Measured, source}, nil
		}
	}
	fit, err := FitSeries(series.Points)
	if err != nil {
		return Quantity{}, fmt.Errorf("%s: series %s: %w", b.File, name, err)
	}
	return Quantity{fit.At(size), series.Unit, Extrapolated, source}, nil
}

// runSource returns a series as a source, in code type; assumptions have none.
func runSource(name SeriesName) string { return "`" + string(name) + "`" }

// slopeOf returns a series' slope: what one more worker, team or task adds.
func (b *Basis) slopeOf(name SeriesName) (Quantity, error) {
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

// measured has the figures of the runs at the target's size.
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
	for _, figure := range []struct {
		value  *Quantity
		series SeriesName
	}{
		{&m.snapshot, SnapshotBytes}, {&m.snapshotGzip, SnapshotGzip}, {&m.delta, DeltaBytes}, {&m.idleBytes, IdleBytes},
		{&m.deltaCPU, DeltaCPU}, {&m.idleCPU, IdleCPU}, {&m.startCPU, StartCPU}, {&m.zoneLossCPU, ZoneLossCPU},
		{&m.peakResident, PeakResident}, {&m.arrivalWarm, ModuleWarm}, {&m.arrivalCold, ModuleCold},
	} {
		*figure.value, err = b.valueAt(figure.series, b.Target.Workers)
		if err != nil {
			return m, err
		}
	}
	m.workerBytes, err = b.slopeOf(PeakResident)
	if err != nil {
		return m, err
	}
	m.taskBytes, err = b.slopeOf(ModuleHeld)
	return m, err
}

// dispatcherCount returns a number of dispatchers, which the target does not give.
func (b *Basis) dispatcherCount(number int) Quantity {
	return Quantity{Value: float64(number), Unit: UnitCount, Mark: ByAssumption, Sources: []string{"dispatchers"}}
}
