package capacity

// Rates is how often things change in the whole fleet.
type Rates struct {
	Membership    Quantity // changes of the list, mean
	Configuration Quantity // mean
	ZoneWorkers   Quantity // workers of one zone
	MissedAnHour  Quantity // changes of configuration in an hour
}

// rates computes the rates of change.
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

// Flow is the control traffic of one subscribed dispatcher, in bytes per second.
type Flow struct {
	Mean       Quantity // ordinary day
	WorstHour  Quantity // a zone lost and back, the worst hour of configuration, one snapshot
	PeakMinute Quantity // a zone lost, while configuration is rolled out
	Snapshot   Quantity // a start: the whole list in a minute
	CatchUp    Quantity // after an hour's cut: the changes missed, in a minute
}

// flow computes the control traffic.
func (b *Basis) flow(runs measured, rates Rates) Flow {
	assumed := b.Assumed
	hour := given(secondsPerHour, UnitSeconds)
	minute := given(b.Target.MeanOver, UnitSeconds)
	changeBytes := assumed.ConfigChangeBytes.Quantity()
	membership := rates.Membership.Times(runs.delta, UnitBytesPerSecond)
	configuration := rates.Configuration.Times(changeBytes, UnitBytesPerSecond)
	mean := runs.idleBytes.Plus(membership).Plus(configuration)
	zoneLoss := rates.ZoneWorkers.Times(runs.delta, UnitBytes)
	zoneBack := zoneLoss.Times(assumed.FailureChanges.Quantity(), UnitBytes)
	worst := runs.idleBytes.Plus(membership).Plus(configuration.Times(assumed.ConfigPeakFactor.Quantity(), UnitBytesPerSecond)).
		Plus(zoneBack.Plus(runs.snapshot).Over(hour, UnitBytesPerSecond))
	rollout := assumed.ConfigPeakRate.Quantity().Times(changeBytes, UnitBytesPerSecond)
	return Flow{
		Mean:       mean,
		WorstHour:  worst,
		PeakMinute: runs.idleBytes.Plus(zoneLoss.Over(minute, UnitBytesPerSecond)).Plus(rollout),
		Snapshot:   runs.snapshot.Over(minute, UnitBytesPerSecond),
		CatchUp:    b.missedBytes(runs, rates).Over(minute, UnitBytesPerSecond),
	}
}

// missedBytes is what a dispatcher misses while its region is cut off, sent change by change.
func (b *Basis) missedBytes(runs measured, rates Rates) Quantity {
	cut := given(b.Target.RegionCut, UnitSeconds)
	configuration := rates.MissedAnHour.Times(b.Assumed.ConfigChangeBytes.Quantity(), UnitBytes)
	return configuration.Plus(rates.Membership.Times(cut, UnitCount).Times(runs.delta, UnitBytes))
}
