package decision

import (
	"testing"
	"time"
)

// Requests beyond their tenant's quota have less value; those of other tenants keep theirs.
func TestRequestsBeyondTheQuotaHaveLessValue(t *testing.T) {
	settings := testSettings()
	settings.TenantQuotas = []float64{2, 50}
	settings.OverQuotaWeight = 0.1
	rig := newRig(t, settings, 50)
	over := 0
	for id := uint64(1); id <= 40; id++ {
		rig.now += 50 * time.Millisecond // 20 per second; this dispatcher's share of the quota is 1
		rig.offer(Event{Request: id, Tenant: 0, Slots: 1, Work: time.Second, TimeLeft: 5 * time.Second})
		if rig.requests[id].value < 0.5 {
			over++
		}
	}
	if over < 20 {
		t.Fatalf("%d of 40 requests counted as beyond the quota", over)
	}
	rig.offer(Event{Request: 41, Slots: 1, Work: time.Second, TimeLeft: 4 * time.Second, ClientRetry: true})
	if rig.requests[41].value > 0.5 {
		t.Fatal("a client's retry is not subject to the quota")
	}
	rig.offer(Event{Request: 42, Tenant: 1, Slots: 1, Work: time.Second, TimeLeft: 5 * time.Second})
	if rig.requests[42].value < 0.5 {
		t.Fatal("a request of another tenant has less value because of the burst")
	}
}
