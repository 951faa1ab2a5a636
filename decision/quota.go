package decision

import (
	"math"
	"time"
)

// tenant is a token bucket for one tenant's traffic at this dispatcher.
type tenant struct {
	tokens     float64 // further arrivals that are within the quota
	refilledAt time.Duration
	arrivals   decayingValue // first tries
}

// overQuota reports whether an arrival is beyond its tenant's quota, and counts it. This dispatcher grants
// an even share of the quota, or, if that is more, a share equal to its share of all tenants' traffic. A
// client's retry is not counted, since its first try was.
func (m *Machine) overQuota(tenant int, isRetry bool) bool {
	if tenant < 0 || tenant >= len(m.tenants) {
		return false
	}
	t := &m.tenants[tenant]
	if isRetry {
		return t.tokens < 1
	}
	t.arrivals.add(m.now, m.planningHorizon, 1)
	arrivals, quotas := m.tenantTraffic()
	share := max(1/float64(m.settings.Peers), arrivals/max(quotas, math.SmallestNonzeroFloat32))
	rate := share * m.settings.TenantQuotas[tenant]
	capacity := max(rate*m.planningHorizon.Seconds()/2, 1)
	return !t.takeToken(m.now, rate, capacity)
}

// takeToken refills the bucket, which is full at first, and takes a token if there is one.
func (t *tenant) takeToken(now time.Duration, rate, capacity float64) bool {
	if t.refilledAt == 0 {
		t.tokens = capacity
	}
	t.tokens = min(t.tokens+rate*(now-t.refilledAt).Seconds(), capacity)
	t.refilledAt = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// tenantTraffic returns the requests per second of all tenants that arrive at this dispatcher, and the sum
// of their quotas, which apply to all dispatchers together.
func (m *Machine) tenantTraffic() (arrivals, quotas float64) {
	for i := range m.tenants {
		arrivals += m.tenants[i].arrivals.get(m.now, m.planningHorizon) / m.planningHorizon.Seconds()
		quotas += m.settings.TenantQuotas[i]
	}
	return arrivals, quotas
}
