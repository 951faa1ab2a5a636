package decision

import (
	"math"
	"testing"
	"time"
)

// An attempt needs the concurrency ceiling, the token bucket and a worker. If one of them does not admit it,
// nothing may remain reserved at the others.

func TestConcurrencyCeilingBoundsSlotsInFlight(t *testing.T) {
	rig := newRig(t, testSettings(), 4)
	rig.ceilings.concurrencyPerWorker = 0.5 // two slots, and the headroom
	for range 2 + int(concurrencyHeadroom) {
		rig.arrive(0)
	}
	if rig.ceilings.inFlight != 2+concurrencyHeadroom {
		t.Fatalf("%v slots in flight under a ceiling of two and headroom of %v",
			rig.ceilings.inFlight, concurrencyHeadroom)
	}
	if rig.send(0) != "" {
		t.Fatal("an attempt was started above the ceiling")
	}
}

func TestEmptyTokenBucketReservesNoSlot(t *testing.T) {
	rig := newRig(t, testSettings(), 4)
	rig.bucket = tokenBucket{ratePerWorker: 1, tokens: 0.5, refilledAt: rig.now}
	if id := rig.arrive(0); rig.assignedTo(id) != "" || rig.ceilings.inFlight != 0 {
		t.Fatalf("with too few tokens the request was sent, or %v slots are in flight", rig.ceilings.inFlight)
	}
}

func TestLackOfWorkersReservesNoSlotAndNoTokens(t *testing.T) {
	rig := newRig(t, testSettings(), 1)
	rig.fleet[0].saturatedUntil = rig.now + time.Second
	tokens := 1.5
	rig.bucket.tokens = tokens
	rig.bucket.refilledAt = rig.now
	id := rig.arrive(0)
	if rig.assignedTo(id) != "" || rig.ceilings.inFlight != 0 || rig.bucket.tokens != tokens {
		t.Fatal("no worker is ready, but the request was sent, or slots or tokens were reserved")
	}
}

// An idle dispatcher admits one request at a time for any number of peers, even if that is far more than the
// number of requests per second.
func TestAnyNumberOfPeersWorks(t *testing.T) {
	for _, peers := range []int{-1, 0, 1, 1e6} {
		settings := testSettings()
		settings.Peers = peers
		rig := newRig(t, settings, 4)
		for range 5 {
			id := rig.arrive(0)
			if rig.assignedTo(id) == "" {
				t.Fatalf("%d peers: an idle dispatcher did not send a request", peers)
			}
			rig.endAttempt(id, 0, Completed, time.Second)
		}
	}
}

func TestExtremeValuesOfRequestsAreHarmless(t *testing.T) {
	rig := newRig(t, testSettings(), 3)
	for _, work := range []time.Duration{-1, 0, 1, math.MaxInt64, math.MinInt64} {
		for _, left := range []time.Duration{-time.Hour, 0, 1, math.MaxInt64} {
			for _, slots := range []float64{0, -1, math.NaN(), math.Inf(1), 1e300, 3} {
				id := rig.next
				rig.next++
				rig.offer(Event{Request: id, Slots: slots, Work: work, TimeLeft: left, Tenant: -7})
				if request := rig.requests[id]; request != nil &&
					!(request.value >= 0 && request.cost > 0 && !math.IsInf(request.cost+request.value, 0)) {
					t.Fatalf("work %v, left %v, slots %v: %+v", work, left, slots, request)
				}
			}
		}
	}
	rig.offer(Event{Request: 1 << 40, Class: 99})
	if findAction(rig.actions, Fail) == nil {
		t.Fatal("an unknown class is not answered")
	}
	rig.solvePrices()
	prices := rig.prices
	if !(prices.work >= 0 && prices.slot >= 0) || math.IsInf(prices.work+prices.slot, 0) {
		t.Fatalf("prices %v, %v", prices.work, prices.slot)
	}
}

// If clients do not mark retries, the time left shows how long ago the first try was sent: a retry keeps the
// objective of the first try and is not counted in the mix again.
func TestUnmarkedRetriesKeepTheirObjective(t *testing.T) {
	rig := newRig(t, testSettings(), 4)
	first := rig.arrive(0)
	objective := rig.requests[first].objective
	rig.now += 2 * time.Second
	rig.offer(Event{Request: 99, Slots: 1, Work: time.Second, TimeLeft: 3 * time.Second})
	if request := rig.requests[99]; request == nil || request.objective != objective {
		t.Fatalf("the retry of a request with its objective at %v: %+v", objective, request)
	}
	if _, requests := rig.recentBids(); requests > 1 {
		t.Fatalf("%v requests in the mix", requests)
	}
}
