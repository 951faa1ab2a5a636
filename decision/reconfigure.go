package decision

import "slices"

// reconfigure takes over the settings that may change while running: see Event.Settings. Classes keep their
// addresses, since open requests, rejections and counts refer to them. Of what is derived from settings
// only the sweep interval depends on these, and follows with the next sweep; what was learned stays.
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
