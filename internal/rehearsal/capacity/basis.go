package capacity

import (
	"fmt"
)

// Basis is the data from which needs are computed: the assumptions, one file of slope runs and the scale runs.
type Basis struct {
	Assumptions
	Slopes Slopes
	File   string // name of the file of Slopes
	Scale  []ScaleRun
}

// valueAt returns the value of a series at a size: the median of the repetitions if that size was measured, otherwise the
// value of the fitted line.
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

// runSource returns the name of a series as the page shows it among the sources of a figure. It is in backquotes, which
// tell series from assumptions.
func runSource(name SeriesName) string { return "`" + string(name) + "`" }

// slopeOf returns the slope of the line fitted to a series: what one more worker, team or task adds.
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

// runFigures holds the figures of the slope runs at the target's number of workers.
type runFigures struct {
	snapshot            Quantity // bytes of the endpoint list
	snapshotGzip        Quantity // bytes of the endpoint list compressed by gzip
	delta               Quantity // bytes of a one-worker delta
	idleBytes           Quantity // bytes per second while nothing changes
	deltaCPU            Quantity // processor time of a one-worker delta
	idleCPU             Quantity // processor time per second while nothing changes
	startCPU            Quantity // processor time of a daemon's start
	zoneLossCPU         Quantity // processor time for the loss of all workers of a zone
	peakResident        Quantity // peak resident memory of a daemon
	memoryPerWorker     Quantity // memory for one more worker
	memoryPerTask       Quantity // memory for one more running task
	requestCPU          Quantity // processor time of the decision on a request, with no worker in slow start
	slowStartRequestCPU Quantity // the same, with a tenth of the workers in slow start
}

// figuresAtTarget returns the figures of the slope runs at the target's number of workers.
func (b *Basis) figuresAtTarget() (figures runFigures, err error) {
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
		{&figures.requestCPU, ModuleRequest},
		{&figures.slowStartRequestCPU, ModuleSlowStartRequest},
	} {
		*figure.value, err = b.valueAt(figure.series, b.Target.Workers)
		if err != nil {
			return figures, err
		}
	}
	figures.memoryPerWorker, err = b.slopeOf(PeakResident)
	if err != nil {
		return figures, err
	}
	figures.memoryPerTask, err = b.slopeOf(ModuleTaskMemory)
	return figures, err
}

// dispatcherCount returns a number of dispatchers as a quantity, which is an assumption since the target does not give it.
func (b *Basis) dispatcherCount(number int) Quantity {
	return Quantity{Value: float64(number), Unit: UnitCount, Mark: ByAssumption, Sources: []string{"dispatchers"}}
}
