package capacity

import "fmt"

// RateProfile is a rate as the mean of an ordinary day, as the mean of the worst hour, and at its peak.
type RateProfile struct {
	Mean      Quantity
	WorstHour Quantity
	Peak      Quantity
}

// times returns the profile with all three rates multiplied by a factor.
func (s RateProfile) times(factor Quantity, unit Unit) RateProfile {
	return RateProfile{
		Mean:      s.Mean.Times(factor, unit),
		WorstHour: s.WorstHour.Times(factor, unit),
		Peak:      s.Peak.Times(factor, unit),
	}
}

// over returns the profile with all three rates divided by a divisor.
func (s RateProfile) over(divisor Quantity, unit Unit) RateProfile {
	return RateProfile{
		Mean:      s.Mean.Over(divisor, unit),
		WorstHour: s.WorstHour.Over(divisor, unit),
		Peak:      s.Peak.Over(divisor, unit),
	}
}

// plus returns the sum of two profiles, rate by rate.
func (s RateProfile) plus(other RateProfile) RateProfile {
	return RateProfile{
		Mean:      s.Mean.Plus(other.Mean),
		WorstHour: s.WorstHour.Plus(other.WorstHour),
		Peak:      s.Peak.Plus(other.Peak),
	}
}

// Load is how many messages and bytes per second a role sends or receives.
type Load struct {
	Role      Role
	With      string // the conditions of the load, such as the number of dispatchers, as the page states them
	Messages  RateProfile
	Bytes     RateProfile
	Mechanism string
}

// membershipRate returns the number of changes of the endpoint list per second. In the worst hour a zone is lost and comes
// back; at the peak a zone is lost within a minute.
func (b *Basis) membershipRate(rates Rates) RateProfile {
	hour := given(secondsPerHour, UnitSeconds)
	minute := given(b.Target.MeanOver, UnitSeconds)
	zoneLossChanges := rates.ZoneWorkers.Times(b.Assumed.FailureChanges.Quantity(), UnitCount)
	return RateProfile{
		Mean:      rates.Membership,
		WorstHour: rates.Membership.Plus(zoneLossChanges.Over(hour, UnitPerSecond)),
		Peak:      rates.Membership.Plus(rates.ZoneWorkers.Over(minute, UnitPerSecond)),
	}
}

// configurationRate returns the number of changes of configuration per second.
func (b *Basis) configurationRate(rates Rates) RateProfile {
	return RateProfile{
		Mean:      rates.Configuration,
		WorstHour: rates.Configuration.Times(b.Assumed.ConfigPeakFactor.Quantity(), UnitPerSecond),
		Peak:      b.Assumed.ConfigPeakRate.Quantity(),
	}
}

// Loads computes the loads of all roles.
func (b *Basis) Loads() ([]Load, error) {
	measured, err := b.figuresAtTarget()
	if err != nil {
		return nil, err
	}
	rates := b.rates()
	mechanisms := b.Mechanisms
	flow := b.flow(measured, rates)
	membership := b.membershipRate(rates)
	configuration := b.configurationRate(rates)
	messages := membership.plus(configuration)
	bytes := RateProfile{Mean: flow.Mean, WorstHour: flow.WorstHour, Peak: flow.PeakMinute}
	oneWorker := membership.over(count(b.Target.Workers), UnitPerSecond)
	oneWorker.Peak = given(1, UnitCount).Over(given(b.Target.MeanOver, UnitSeconds), UnitPerSecond) // its zone is lost: the worker changes once within a minute
	// loadOf returns the load of a role that serves a number of dispatchers.
	loadOf := func(role Role, with string, dispatchers Quantity, mechanism string) Load {
		return Load{
			Role:      role,
			With:      with,
			Messages:  messages.times(dispatchers, UnitPerSecond),
			Bytes:     bytes.times(dispatchers, UnitBytesPerSecond),
			Mechanism: mechanism,
		}
	}
	loads := []Load{
		{
			Role:      Dispatcher,
			With:      "each; it watches list and configuration",
			Messages:  messages,
			Bytes:     bytes,
			Mechanism: mechanisms.Membership,
		},
		{
			Role:      ListedWorker,
			With:      "each; its changes of state",
			Messages:  oneWorker,
			Bytes:     oneWorker.times(measured.delta, UnitBytesPerSecond),
			Mechanism: mechanisms.Membership,
		},
	}
	for _, number := range b.Assumed.Dispatchers {
		with := formatCount(number) + " dispatchers watch it"
		loads = append(loads, loadOf(Origin, with, b.dispatcherCount(number), mechanisms.Membership))
	}
	machines := count(b.Target.ControlMachines)
	loads = append(loads, loadOf(Origin, "the control machines watch it, as relays", machines, mechanisms.Relays))
	for _, number := range b.Assumed.Dispatchers {
		dispatchersPerMachine := b.dispatcherCount(number).Over(count(b.Target.ControlMachines-1), UnitCount)
		with := "each; its part of " + formatCount(number) + " dispatchers, one machine down"
		loads = append(loads, loadOf(ControlMachine, with, dispatchersPerMachine, mechanisms.Relays))
	}
	return append(loads, Load{
		Role:      Writer,
		With:      "all together",
		Messages:  configuration,
		Bytes:     configuration.times(b.Assumed.ConfigChangeBytes.Quantity(), UnitBytesPerSecond),
		Mechanism: mechanisms.Configuration,
	}), nil
}

// formatCount returns a whole number with commas between thousands.
func formatCount(number int) string { return insertCommas(fmt.Sprint(number)) }
