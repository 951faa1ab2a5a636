package decision

import "slices"

// reconfigure applies the settings that may change while running: see Event.Settings. Classes keep their
// addresses, since open requests, rejections and counts refer to them. The sweep interval is the only
// derived value that depends on these settings; it takes effect with the next sweep. Learned values are
// kept.
func (m *Machine) reconfigure(settings *Settings) {
	if settings == nil || len(settings.Classes) != len(m.settings.Classes) ||
		len(settings.TenantQuotas) != len(m.settings.TenantQuotas) {
		m.logf("settings rejected: the number of classes or tenants differs")
		return
	}
	next := *settings
	if err := next.normalize(); err != nil {
		m.logf("settings rejected: %v", err)
		return
	}
	for i := range m.settings.Classes {
		class := &m.settings.Classes[i]
		changed := &next.Classes[i]
		class.PriorityWeight = changed.PriorityWeight
		class.LateWeight = changed.LateWeight
		class.LatencyObjective = changed.LatencyObjective
		class.ObjectiveStretch = changed.ObjectiveStretch
	}
	m.settings.TenantQuotas = slices.Clone(next.TenantQuotas)
	m.settings.OverQuotaWeight = next.OverQuotaWeight
	m.settings.MaxRetryAfter = next.MaxRetryAfter
	m.sweepInterval = m.settings.sweepInterval()
}
