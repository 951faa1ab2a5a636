package decision

import (
	"math"
	"testing"
	"time"
)

func TestPricesAreCheckedBeforeCapacityIsTaken(t *testing.T) {
	rig := newRig(t, testSettings(), 4)
	rig.arrive(0)
	inFlight := rig.ceilings.inFlight
	tokens := rig.bucket.tokens
	rig.prices.work = 2 // above class 0's weight a slot-second, below class 1's
	rig.arrive(0)
	if findAction(rig.actions, Reject) == nil || findAction(rig.actions, Assign) != nil {
		t.Fatalf("weight 1 at price 2 was not rejected: %v", rig.actions)
	}
	if rig.ceilings.inFlight != inFlight || rig.bucket.tokens != tokens {
		t.Fatal("a rejected request used slots or tokens")
	}
	rig.arrive(1)
	if findAction(rig.actions, Assign) == nil {
		t.Fatal("weight 3 at price 2 was not sent")
	}
	rig.prices = prices{work: 1, slot: 2}
	rig.arrive(1)
	if findAction(rig.actions, Assign) == nil {
		t.Fatal("a request whose value equals the prices was not admitted")
	}
	rig.prices.slot = 2.1
	rig.arrive(1)
	if findAction(rig.actions, Reject) == nil {
		t.Fatal("a request whose value does not cover the price of its hold time was not rejected")
	}
}

func TestUnhintedRequestPaysNoSlotPrice(t *testing.T) {
	rig := newRig(t, testSettings(), 4)
	rig.prices.slot = 100
	rig.offer(Event{Request: 1, Slots: 1, TimeLeft: 5 * time.Second})
	if findAction(rig.actions, Assign) == nil {
		t.Fatal("a slot price was applied to a request without a hint")
	}
}

// The slot budget for prices includes the headroom of the concurrency ceiling. A smaller budget would reject
// requests while workers are idle.
func TestPricesCountConcurrencyHeadroom(t *testing.T) {
	rig := newRig(t, testSettings(), 4)
	rig.ceilings.concurrencyPerWorker = 0
	rig.bucket.ratePerWorker = 1e6
	for range minPricedRequests + 5 {
		small := &request{value: 0.1, cost: 0.1, holdTime: 0.1}
		rig.mix.add(rig.now, rig.planningHorizon, small, requestGroupKey{})
	}
	rig.solvePrices()
	if rig.prices.work+rig.prices.slot > 0 {
		t.Fatalf("prices %+v though the whole mix fits into the headroom", rig.prices)
	}
}

func TestFewRequestsArePricedAtNothing(t *testing.T) {
	rig := newRig(t, testSettings(), 2)
	rig.ceilings.concurrencyPerWorker = 0.01
	rig.bucket.ratePerWorker = 0.01
	for i := range 3 * minPricedRequests {
		rig.arrive(0)
		rig.solvePrices()
		// Earlier requests have decayed a little and do not count in full.
		if priced := rig.prices.work+rig.prices.slot > 0; priced && i < minPricedRequests-1 {
			t.Fatalf("priced from %d requests", i+1)
		}
	}
	if rig.prices.work+rig.prices.slot == 0 {
		t.Fatal("prices are 0 though capacity is scarce")
	}
}

// Requests that wait, and clients' retries, count once in the mix.
func TestMixCountsFirstTriesOnce(t *testing.T) {
	rig := newRig(t, testSettings(), 1)
	rig.fleet[0].saturatedUntil = rig.now + time.Hour
	for range 5 {
		rig.arrive(0)
	}
	rig.offer(Event{Request: 99, Slots: 1, Work: time.Second, TimeLeft: 4 * time.Second, ClientRetry: true})
	rig.sweep()
	if _, requests := rig.recentBids(); math.Abs(requests-5) > 1e-9 {
		t.Fatalf("%v requests in the mix, want 5", requests)
	}
}

// The number of groups of the mix must not grow with the number of sizes ever seen, since the time to
// compute prices grows with the cube of that number.
func TestMixIsBoundedAndPruned(t *testing.T) {
	rig := newRig(t, testSettings(), 2)
	const requests = 300
	for i := range requests {
		rig.handle(rig.now, Event{
			Kind: RequestArrived, Request: uint64(i + 1000), Class: i % 2, Slots: math.Exp2(float64(i % 20)),
			Work: time.Duration(1+i/20) * time.Millisecond << (i % 13), TimeLeft: 5 * time.Second,
		})
	}
	bids, n := rig.recentBids()
	if len(bids) > 50 || math.Abs(n-requests) > 1e-6 {
		t.Fatalf("%v requests in %d groups, want %d requests in a few dozen", n, len(bids), requests)
	}
	rig.now += 12 * rig.planningHorizon
	rig.arrive(0)
	if bids, _ := rig.recentBids(); len(bids) != 1 {
		t.Fatalf("%d groups are left of a mix that has decayed", len(bids)-1)
	}
}

// The prices return to zero when capacity is no longer scarce: the dual must be evaluated at zero, too.
func TestPricesFallToZero(t *testing.T) {
	rig := newRig(t, testSettings(), 2)
	for range 2 * minPricedRequests {
		rig.arrive(0)
	}
	rig.ceilings.concurrencyPerWorker = 1e6
	rig.bucket.ratePerWorker = 1e6
	rig.solvePrices()
	if rig.prices != (prices{}) {
		t.Fatalf("prices %+v though the budgets exceed the demand", rig.prices)
	}
}
