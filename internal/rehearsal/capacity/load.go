package capacity

import "fmt"

// Spans is a rate as the mean of a day, in the worst hour and at its peak.
type Spans struct {
	Mean      Quantity
	WorstHour Quantity
	Peak      Quantity
}

// times multiplies all three.
func (s Spans) times(factor Quantity, unit Unit) Spans {
	return Spans{
		Mean:      s.Mean.Times(factor, unit),
		WorstHour: s.WorstHour.Times(factor, unit),
		Peak:      s.Peak.Times(factor, unit),
	}
}

// over divides all three.
func (s Spans) over(divisor Quantity, unit Unit) Spans {
	return Spans{
		Mean:      s.Mean.Over(divisor, unit),
		WorstHour: s.WorstHour.Over(divisor, unit),
		Peak:      s.Peak.Over(divisor, unit),
	}
}

// plus adds all three.
func (s Spans) plus(other Spans) Spans {
	return Spans{
		Mean:      s.Mean.Plus(other.Mean),
		WorstHour: s.WorstHour.Plus(other.WorstHour),
		Peak:      s.Peak.Plus(other.Peak),
	}
}

// Load is the messages and bytes per second that a role sends or receives.
type Load struct {
	Role      Role
	With      string // which of the assumed numbers it holds for
	Messages  Spans
	Bytes     Spans
	Mechanism string
}

// membershipRate returns the changes of the endpoint list per second.
func (b *Basis) membershipRate(rates Rates) Spans {
	hour := given(secondsPerHour, UnitSeconds)
	minute := given(b.Target.MeanOver, UnitSeconds)
	lostAndBack := rates.ZoneWorkers.Times(b.Assumed.FailureChanges.Quantity(), UnitCount)
	return Spans{
		Mean:      rates.Membership,
		WorstHour: rates.Membership.Plus(lostAndBack.Over(hour, UnitPerSecond)),
		Peak:      rates.Membership.Plus(rates.ZoneWorkers.Over(minute, UnitPerSecond)),
	}
}

// configurationRate returns the changes of configuration per second.
func (b *Basis) configurationRate(rates Rates) Spans {
	return Spans{
		Mean:      rates.Configuration,
		WorstHour: rates.Configuration.Times(b.Assumed.ConfigPeakFactor.Quantity(), UnitPerSecond),
		Peak:      b.Assumed.ConfigPeakRate.Quantity(),
	}
}

// Loads computes the loads of all roles.
func (b *Basis) Loads() ([]Load, error) {
	runs, err := b.measured()
	if err != nil {
		return nil, err
	}
	rates := b.rates()
	mechanisms := b.Mechanisms
	flow := b.flow(runs, rates)
	membership := b.membershipRate(rates)
	configuration := b.configurationRate(rates)
	messages := membership.plus(configuration)
	bytes := Spans{Mean: flow.Mean, WorstHour: flow.WorstHour, Peak: flow.PeakMinute}
	oneWorker := membership.over(count(b.Target.Workers), UnitPerSecond)
	oneWorker.Peak = given(1, UnitCount).Over(given(b.Target.MeanOver, UnitSeconds), UnitPerSecond) // its zone is lost: one change in a minute
	// loadOf is the load of a role that serves a number of dispatchers.
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
			Role:      WorkerSeen,
			With:      "each; its changes of state",
			Messages:  oneWorker,
			Bytes:     oneWorker.times(runs.delta, UnitBytesPerSecond),
			Mechanism: mechanisms.Membership,
		},
	}
	for _, number := range b.Assumed.Dispatchers {
		with := counted(number) + " dispatchers watch it"
		loads = append(loads, loadOf(Origin, with, b.dispatcherCount(number), mechanisms.Membership))
	}
	machines := count(b.Target.ControlMachines)
	loads = append(loads, loadOf(Origin, "the control machines watch it, as relays", machines, mechanisms.Relays))
	for _, number := range b.Assumed.Dispatchers {
		part := b.dispatcherCount(number).Over(count(b.Target.ControlMachines-1), UnitCount)
		with := "each; its part of " + counted(number) + " dispatchers, one machine down"
		loads = append(loads, loadOf(ControlMachine, with, part, mechanisms.Relays))
	}
	return append(loads, Load{
		Role:      Writer,
		With:      "all together",
		Messages:  configuration,
		Bytes:     configuration.times(b.Assumed.ConfigChangeBytes.Quantity(), UnitBytesPerSecond),
		Mechanism: mechanisms.Configuration,
	}), nil
}

// counted returns a whole number with commas.
func counted(number int) string { return thousands(fmt.Sprint(number)) }
