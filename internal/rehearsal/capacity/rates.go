package capacity

// Rates holds how often the endpoint list and the configuration of the whole fleet change.
type Rates struct {
	Membership    Quantity // changes of the endpoint list per second, mean of a day
	Configuration Quantity // changes of configuration per second, mean of a day
	ZoneWorkers   Quantity // number of workers of one zone
	MissedAnHour  Quantity // number of changes of configuration while a region is cut off, which lasts an hour
}

// rates computes the rates of change from the target and the assumptions.
func (b *Basis) rates() Rates {
	target := b.Target
	assumed := b.Assumed
	day := given(secondsPerDay, UnitSeconds)
	failures := given(target.FailuresPerDay, UnitPerDay).Times(assumed.FailureChanges.Quantity(), UnitPerDay)
	restarts := given(target.RestartsPerDay, UnitPerDay).Times(assumed.RestartChanges.Quantity(), UnitPerDay)
	racks := assumed.RackWorkers.Quantity().Times(assumed.FailureChanges.Quantity(), UnitPerDay).Over(count(target.DaysBetweenRacks), UnitPerDay)
	zone := count(target.Workers).Over(count(target.Zones), UnitCount)
	zones := zone.Times(assumed.FailureChanges.Quantity(), UnitPerDay).Over(count(target.DaysBetweenZones), UnitPerDay)
	return Rates{
		Membership:    failures.Plus(restarts).Plus(racks).Plus(zones).Over(day, UnitPerSecond),
		Configuration: given(target.ConfigChangesPerDay, UnitPerDay).Over(day, UnitPerSecond),
		ZoneWorkers:   zone,
		MissedAnHour:  count(target.ConfigChangesPerDay * target.RegionCut / secondsPerDay),
	}
}

// Flow is the control traffic of one dispatcher that watches the endpoint list and configuration, in bytes per second.
type Flow struct {
	Mean       Quantity // mean of an ordinary day
	WorstHour  Quantity // a zone is lost and comes back, configuration changes most often, and one snapshot is sent, all within an hour
	PeakMinute Quantity // a zone is lost within a minute, while configuration is rolled out
	Snapshot   Quantity // at a start: the whole endpoint list within a minute
	CatchUp    Quantity // after a region was cut off for an hour: the missed changes within a minute
}

// flow computes the control traffic of one dispatcher.
func (b *Basis) flow(measured runFigures, rates Rates) Flow {
	assumed := b.Assumed
	hour := given(secondsPerHour, UnitSeconds)
	minute := given(b.Target.MeanOver, UnitSeconds)
	changeBytes := assumed.ConfigChangeBytes.Quantity()
	membership := rates.Membership.Times(measured.delta, UnitBytesPerSecond)
	configuration := rates.Configuration.Times(changeBytes, UnitBytesPerSecond)
	mean := measured.idleBytes.Plus(membership).Plus(configuration)
	zoneLoss := rates.ZoneWorkers.Times(measured.delta, UnitBytes)
	zoneLossAndReturn := zoneLoss.Times(assumed.FailureChanges.Quantity(), UnitBytes)
	worst := measured.idleBytes.Plus(membership).Plus(configuration.Times(assumed.ConfigPeakFactor.Quantity(), UnitBytesPerSecond)).
		Plus(zoneLossAndReturn.Plus(measured.snapshot).Over(hour, UnitBytesPerSecond))
	rollout := assumed.ConfigPeakRate.Quantity().Times(changeBytes, UnitBytesPerSecond)
	return Flow{
		Mean:       mean,
		WorstHour:  worst,
		PeakMinute: measured.idleBytes.Plus(zoneLoss.Over(minute, UnitBytesPerSecond)).Plus(rollout),
		Snapshot:   measured.snapshot.Over(minute, UnitBytesPerSecond),
		CatchUp:    b.missedBytes(measured, rates).Over(minute, UnitBytesPerSecond),
	}
}

// missedBytes returns the bytes of the changes that a dispatcher misses while its region is cut off, if each change is sent
// by itself.
func (b *Basis) missedBytes(measured runFigures, rates Rates) Quantity {
	cut := given(b.Target.RegionCut, UnitSeconds)
	configuration := rates.MissedAnHour.Times(b.Assumed.ConfigChangeBytes.Quantity(), UnitBytes)
	return configuration.Plus(rates.Membership.Times(cut, UnitCount).Times(measured.delta, UnitBytes))
}
