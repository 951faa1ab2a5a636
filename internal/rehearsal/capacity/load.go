package capacity

import "fmt"

// Spans is a rate as the mean of a day, in the worst hour and at its peak.
type Spans struct{ Mean, WorstHour, Peak Quantity }

// times multiplies all three.
func (s Spans) times(q Quantity, unit Unit) Spans {
	return Spans{s.Mean.Times(q, unit), s.WorstHour.Times(q, unit), s.Peak.Times(q, unit)}
}

// over divides all three.
func (s Spans) over(q Quantity, unit Unit) Spans {
	return Spans{s.Mean.Over(q, unit), s.WorstHour.Over(q, unit), s.Peak.Over(q, unit)}
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
	messages := Spans{membership.Mean.Plus(configuration.Mean), membership.WorstHour.Plus(configuration.WorstHour), membership.Peak.Plus(configuration.Peak)}
	bytes := Spans{flow.Mean, flow.WorstHour, flow.PeakMinute}
	seen := membership.over(count(b.Target.Workers), UnitPerSecond)
	seen.Peak = given(1, UnitCount).Over(given(b.Target.MeanOver, UnitSeconds), UnitPerSecond) // its zone is lost: one change in a minute
	loads := []Load{
		{Dispatcher, "each; it watches list and configuration", messages, bytes, mechanisms.Membership},
		{WorkerSeen, "each; its changes of state", seen, seen.times(runs.delta, UnitBytesPerSecond), mechanisms.Membership},
	}
	for _, number := range b.Assumed.Dispatchers {
		all := b.dispatcherCount(number)
		loads = append(loads, Load{Origin, counted(number) + " dispatchers watch it", messages.times(all, UnitPerSecond), bytes.times(all, UnitBytesPerSecond), mechanisms.Membership})
	}
	machines := count(b.Target.ControlMachines)
	loads = append(loads, Load{Origin, "the control machines watch it, as relays", messages.times(machines, UnitPerSecond), bytes.times(machines, UnitBytesPerSecond), mechanisms.Relays})
	for _, n := range b.Assumed.Dispatchers {
		part := b.dispatcherCount(n).Over(count(b.Target.ControlMachines-1), UnitCount)
		loads = append(loads, Load{ControlMachine, "each; its part of " + counted(n) + " dispatchers, one machine down", messages.times(part, UnitPerSecond), bytes.times(part, UnitBytesPerSecond), mechanisms.Relays})
	}
	return append(loads, Load{Writer, "all together", configuration, configuration.times(b.Assumed.ConfigChangeBytes.Quantity(), UnitBytesPerSecond), mechanisms.Configuration}), nil
}

// counted returns a whole number with commas.
func counted(number int) string { return thousands(fmt.Sprint(number)) }
