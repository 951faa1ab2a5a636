package capacity

import "fmt"

// This file owns what each role sends or takes in over a day.

// Spans is a rate as the mean of a day, over the worst hour and at its peak.
type Spans struct{ Mean, WorstHour, Peak Quantity }

// times multiplies all three.
func (s Spans) times(q Quantity, unit Unit) Spans {
	return Spans{s.Mean.Times(q, unit), s.WorstHour.Times(q, unit), s.Peak.Times(q, unit)}
}

// over divides all three.
func (s Spans) over(q Quantity, unit Unit) Spans {
	return Spans{s.Mean.Over(q, unit), s.WorstHour.Over(q, unit), s.Peak.Over(q, unit)}
}

// Load is the messages and bytes a second of a role.
type Load struct {
	Role      Role
	With      string // which of the assumed numbers it holds for
	Messages  Spans
	Bytes     Spans
	Mechanism string
}

// membershipRate is the changes of the list a second, and configurationRate those of configuration.
func (b *Basis) membershipRate(r Rates) Spans {
	hour, minute := given(secondsPerHour, UnitSeconds), given(b.Target.MeanOver, UnitSeconds)
	lostAndBack := r.ZoneWorkers.Times(b.Assumed.FailureChanges.Quantity(), UnitCount)
	return Spans{
		Mean:      r.Membership,
		WorstHour: r.Membership.Plus(lostAndBack.Over(hour, UnitPerSecond)),
		Peak:      r.Membership.Plus(r.ZoneWorkers.Over(minute, UnitPerSecond)),
	}
}

func (b *Basis) configurationRate(r Rates) Spans {
	return Spans{
		Mean:      r.Configuration,
		WorstHour: r.Configuration.Times(b.Assumed.ConfigPeakFactor.Quantity(), UnitPerSecond),
		Peak:      b.Assumed.ConfigPeakRate.Quantity(),
	}
}

// Loads reckons the loads of all roles.
func (b *Basis) Loads() ([]Load, error) {
	m, err := b.measured()
	if err != nil {
		return nil, err
	}
	r, mech := b.rates(), b.Mechanisms
	f := b.flow(m, r)
	membership, configuration := b.membershipRate(r), b.configurationRate(r)
	messages := Spans{membership.Mean.Plus(configuration.Mean), membership.WorstHour.Plus(configuration.WorstHour), membership.Peak.Plus(configuration.Peak)}
	bytes := Spans{f.Mean, f.WorstHour, f.PeakMinute}
	seen := membership.over(count(b.Target.Workers), UnitPerSecond)
	seen.Peak = given(1, UnitCount).Over(given(b.Target.MeanOver, UnitSeconds), UnitPerSecond) // its zone is lost: one change in the minute
	loads := []Load{
		{Dispatcher, "each; it watches list and configuration", messages, bytes, mech.Membership},
		{WorkerSeen, "each; its changes of state", seen, seen.times(m.delta, UnitBytesPerSecond), mech.Membership},
	}
	for _, n := range b.Assumed.Dispatchers {
		all := b.dispatchers(n)
		loads = append(loads, Load{Origin, counted(n) + " dispatchers watch it", messages.times(all, UnitPerSecond), bytes.times(all, UnitBytesPerSecond), mech.Membership})
	}
	machines := count(b.Target.ControlMachines)
	loads = append(loads, Load{Origin, "the control machines watch it, as relays", messages.times(machines, UnitPerSecond), bytes.times(machines, UnitBytesPerSecond), mech.Relays})
	for _, n := range b.Assumed.Dispatchers {
		part := b.dispatchers(n).Over(count(b.Target.ControlMachines-1), UnitCount)
		loads = append(loads, Load{ControlMachine, "each; its part of " + counted(n) + " dispatchers, one machine down", messages.times(part, UnitPerSecond), bytes.times(part, UnitBytesPerSecond), mech.Relays})
	}
	return append(loads, Load{Writer, "all together", configuration, configuration.times(b.Assumed.ConfigChangeBytes.Quantity(), UnitBytesPerSecond), mech.Configuration}), nil
}

// counted is a whole number with commas.
func counted(n int) string { return thousands(fmt.Sprint(n)) }
