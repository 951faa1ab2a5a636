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
			return Quantity{Value: Median(point.Values), Unit: series.Unit, Mark: Measured, Sources: source}, nil
		}
	}
	fit, err := FitSeries(series.Points)
	if err != nil {
		return Quantity{}, fmt.Errorf("%s: series %s: %w", b.File, name, err)
	}
	return Quantity{Value: fit.At(size), Unit: series.Unit, Mark: Extrapolated, Sources: source}, nil
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
	return Quantity{Value: fit.Slope, Unit: series.Unit, Mark: Extrapolated, Sources: []string{runSource(name)}}, nil
}

// measured has the figures of the runs at the target's size.
type measured struct {
	snapshot       Quantity // bytes
	snapshotGzip   Quantity // bytes
	delta          Quantity // bytes of a one-worker delta
	idleBytes      Quantity // bytes per second
	deltaCPU       Quantity // processor time of a one-worker delta
	idleCPU        Quantity
	startCPU       Quantity
	zoneLossCPU    Quantity
	peakResident   Quantity
	workerBytes    Quantity // memory for one more worker
	taskBytes      Quantity // memory for one more running task
	arrivalWarm    Quantity // processor time of a request, all workers warm
	arrivalWarming Quantity // the same, a tenth of the workers warming up
}

func (b *Basis) measured() (figures measured, err error) {
	for _, figure := range []struct {
		value  *Quantity
		series SeriesName
	}{
		{&figures.snapshot, SnapshotBytes},
		{&figures.snapshotGzip, SnapshotGzip},
		{&figures.delta, DeltaBytes},
		{&figures.idleBytes, IdleBytes},
		{&figures.deltaCPU, DeltaCPU},
		{&figures.idleCPU, IdleCPU},
		{&figures.startCPU, StartCPU},
		{&figures.zoneLossCPU, ZoneLossCPU},
		{&figures.peakResident, PeakResident},
		{&figures.arrivalWarm, ModuleWarm},
		{&figures.arrivalWarming, ModuleCold},
	} {
		*figure.value, err = b.valueAt(figure.series, b.Target.Workers)
		if err != nil {
			return figures, err
		}
	}
	figures.workerBytes, err = b.slopeOf(PeakResident)
	if err != nil {
		return figures, err
	}
	figures.taskBytes, err = b.slopeOf(ModuleHeld)
	return figures, err
}

// dispatcherCount returns a number of dispatchers, which the target does not give.
func (b *Basis) dispatcherCount(number int) Quantity {
	return Quantity{Value: float64(number), Unit: UnitCount, Mark: ByAssumption, Sources: []string{"dispatchers"}}
}
