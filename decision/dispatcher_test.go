package decision

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

// initialCeiling is the ceiling per worker that a dispatcher of testSettings starts with.
const initialCeiling = initialSlotsPerWorker / 2

// Many dispatchers must not start with ceilings that add up to many times what a worker holds.
func TestInitialCeilingsAreSharedByPeers(t *testing.T) {
	settings := testSettings()
	settings.Peers = 22
	if rig := newRig(t, settings, 2); math.Abs(rig.concurrencyPerWorker*22-initialSlotsPerWorker) > 1e-9 || rig.workRatePerWorker != rig.concurrencyPerWorker {
		t.Fatalf("22 dispatchers start with %v slots a worker each", rig.concurrencyPerWorker)
	}
}

// rig drives one dispatcher by hand.
type rig struct {
	*Machine
	t       *testing.T
	actions []Action // of the last event
	next    uint64
}

func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{PriorityWeight: 1, LateWeight: 0.5, LatencyObjective: 200 * time.Millisecond, ObjectiveStretch: 2, Deadline: 5 * time.Second},
			{PriorityWeight: 3, LateWeight: 0.5, LatencyObjective: 200 * time.Millisecond, ObjectiveStretch: 2, Deadline: 5 * time.Second,
				Idempotency: NonIdempotent},
		},
		WeightByWork: true, Peers: 2, Tick: time.Millisecond, MaxAttempts: 3, Hedging: true, Cancellation: true,
		SlowStartFloor: 0.3, SlowStartDuration: 8 * time.Second, OverloadMultiple: 3, OverloadWindow: 2 * time.Second,
		MaxRetryAfter: 2 * time.Second, ConnectTimeout: 200 * time.Millisecond, ProgressInterval: time.Second,
		ListPollInterval: 10 * time.Second,
	}
}

func newRig(t *testing.T, settings Settings, workers int) *rig {
	t.Helper()
	return newSeededRig(t, settings, workers, 1)
}

func newSeededRig(t *testing.T, settings Settings, workers int, seed uint64) *rig {
	t.Helper()
	machine, err := New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	rig := &rig{Machine: machine, t: t, next: 1}
	var list []Endpoint
	for i := range workers {
		list = append(list, Endpoint{Name: fmt.Sprintf("w%d", i), State: Running})
	}
	rig.handle(time.Hour, Event{Kind: ListUpdated, ListKind: ListCached, Endpoints: list})
	return rig
}

func (r *rig) handle(now time.Duration, event Event) []Action {
	r.actions = r.Handle(now, event, nil)
	return r.actions
}

// arrive brings a job of the class with a hint of one second and returns its id.
func (r *rig) arrive(class int) uint64 { return r.arriveWithKey(class, "") }

// arriveWithKey brings one with a key.
func (r *rig) arriveWithKey(class int, key string) uint64 {
	id := r.next
	r.next++
	r.handle(r.now, Event{
		Kind: RequestArrived, Request: id, Class: class, Slots: 1, Work: time.Second, TimeLeft: 5 * time.Second, Key: key,
	})
	return id
}

func (r *rig) endAttempt(id uint64, n int, outcome AttemptOutcome, after time.Duration) []Action {
	w := r.requests[id].attempts[n].worker.Name
	return r.handle(r.now+after, Event{
		Kind: AttemptEnded, Request: id, Attempt: n, Worker: w, Outcome: outcome, Answered: outcome == Completed,
	})
}

func (r *rig) assignedTo(id uint64) string {
	request := r.requests[id]
	if request == nil || len(request.attempts) == 0 {
		return ""
	}
	return request.attempts[len(request.attempts)-1].worker.Name
}

// send brings a job of the class and returns the worker it was sent to, if any.
func (r *rig) send(class int) string { return r.assignedTo(r.arrive(class)) }

// expectAllAt brings jobs one after another and fails unless each goes to the worker.
func (r *rig) expectAllAt(worker, complaint string) {
	r.t.Helper()
	for range 10 {
		id := r.arrive(0)
		if r.assignedTo(id) != worker {
			r.t.Fatal(complaint)
		}
		r.endAttempt(id, 0, Completed, time.Second)
	}
}

func findAction(actions []Action, kind ActionKind) *Action {
	for i := range actions {
		if actions[i].Kind == kind {
			return &actions[i]
		}
	}
	return nil
}

func TestPricesAreCheckedBeforeCapacityIsTaken(t *testing.T) {
	rig := newRig(t, testSettings(), 4)
	rig.arrive(0)
	leased, bucket := rig.inFlight, rig.bucketTokens
	rig.workPrice = 2 // above class 0's worth a slot-second, below class 1's
	rig.arrive(0)
	if findAction(rig.actions, Reject) == nil || findAction(rig.actions, Assign) != nil {
		t.Fatalf("worth 1 at price 2 was not refused: %v", rig.actions)
	}
	if rig.inFlight != leased || rig.bucketTokens != bucket {
		t.Fatal("a refused job was debited")
	}
	rig.arrive(1)
	if findAction(rig.actions, Assign) == nil {
		t.Fatal("worth 3 at price 2 was not sent")
	}
	rig.workPrice, rig.slotPrice = 1, 2
	rig.arrive(1)
	if findAction(rig.actions, Assign) == nil {
		t.Fatal("a value equal to the prices is admitted")
	}
	rig.slotPrice = 2.1
	if rig.arrive(1); findAction(rig.actions, Reject) == nil {
		t.Fatal("hold is not priced")
	}
}

func TestUnhintedRequestPaysNoSlotPrice(t *testing.T) {
	rig := newRig(t, testSettings(), 4)
	rig.slotPrice = 100
	rig.handle(rig.now, Event{Kind: RequestArrived, Request: 1, Slots: 1, TimeLeft: 5 * time.Second})
	if findAction(rig.actions, Assign) == nil {
		t.Fatal("an unhinted job pays no hold")
	}
}

func TestRefusedAttemptKeepsNoCapacity(t *testing.T) {
	rig := newRig(t, testSettings(), 4)
	rig.concurrencyPerWorker = 0.5 // two slots, and the room
	for range 2 + int(concurrencyHeadroom) {
		rig.arrive(0)
	}
	if rig.inFlight != 2+concurrencyHeadroom {
		t.Fatalf("%v slots leased under a ceiling of two and room for %v", rig.inFlight, concurrencyHeadroom)
	}
	if rig.send(0) != "" {
		t.Fatal("lease above the ceiling")
	}
	rig = newRig(t, testSettings(), 4)
	rig.bucketTokens, rig.bucketRefilledAt, rig.workRatePerWorker = 0.5, rig.now, 1
	if id := rig.arrive(0); rig.assignedTo(id) != "" || rig.inFlight != 0 {
		t.Fatalf("bucket denied, yet sent or %v slots leased", rig.inFlight)
	}
	rig = newRig(t, testSettings(), 1)
	rig.fleet[0].saturatedUntil = rig.now + time.Second
	bucket := 1.5
	rig.bucketTokens, rig.bucketRefilledAt = bucket, rig.now
	if id := rig.arrive(0); rig.assignedTo(id) != "" || rig.inFlight != 0 || rig.bucketTokens != bucket {
		t.Fatal("no ready worker, yet a lease or debit was kept")
	}
}

func TestCeilingsLearn(t *testing.T) {
	rig := newRig(t, testSettings(), 2)
	rig.concurrencyPerWorker = 1.2
	before := rig.concurrencyPerWorker
	a, b := rig.arrive(0), rig.arrive(0)
	rig.endAttempt(a, 0, Completed, time.Second)
	if rig.concurrencyPerWorker <= before {
		t.Fatal("no step up for a job served at the ceiling")
	}
	before = rig.concurrencyPerWorker
	rig.endAttempt(b, 0, Completed, 4*time.Second) // late
	if rig.concurrencyPerWorker >= before {
		t.Fatal("no cut for a late answer")
	}
	rig.badRatio, before = 1, rig.concurrencyPerWorker
	rig.cutCeilings(&request{class: &rig.settings.Classes[0]}, rig.now)
	if rig.concurrencyPerWorker != before {
		t.Fatal("two cuts within a round trip")
	}
	for range 1000 {
		rig.now += time.Minute
		rig.badRatio = 1
		rig.cutCeilings(&request{class: &rig.settings.Classes[0]}, rig.now)
	}
	// A dispatcher that restarted amid overload once cut itself to nothing before it knew a round trip (i1d0b2b).
	if rig.concurrencyPerWorker != initialCeiling/4 || rig.workRatePerWorker < initialCeiling/4 {
		t.Fatalf("ceilings fell to %v and %v, below a quarter of where they start", rig.concurrencyPerWorker, rig.workRatePerWorker)
	}
}

// A bucket that does not bind keeps its rate: cut unused, it would price work away later.
// Where starts are told, a job that has not started when it can hardly be in time any more is known to be late.
// Its end would tell a job's time later, while more work is sent into the same overload.
func TestLateUnstartedAttemptCutsCeilingsAtOnce(t *testing.T) {
	settings := testSettings()
	settings.StartNotices = true
	for _, started := range []bool{false, true} {
		rig := newRig(t, settings, 4)
		id := rig.arrive(0)
		request := rig.requests[id]
		if started {
			rig.handle(rig.now, Event{Kind: AttemptStarted, Request: id, Worker: rig.assignedTo(id)})
		}
		rig.handle(request.objective-seconds(request.work), Event{Kind: TimerFired, Timer: sweepTimer})
		if cut := rig.concurrencyPerWorker < initialCeiling; cut == started {
			t.Fatalf("started %v, cut %v", started, cut)
		}
		before := rig.badRatio
		if rig.endAttempt(id, 0, Completed, 2*time.Second); !started && rig.badRatio != before {
			t.Fatal("a late job was counted twice")
		}
	}
}

// Prices for a smaller budget than the lease lets in turned work away beside idle workers (ibd4ec3).
func TestPricesCountConcurrencyHeadroom(t *testing.T) {
	rig := newRig(t, testSettings(), 4)
	rig.concurrencyPerWorker, rig.workRatePerWorker = 0, 1e6
	for range minPricedJobs + 5 {
		rig.addToMix(&request{value: 0.1, cost: 0.1, holdTime: 0.1}, jobGroupKey{})
	}
	if rig.solvePrices(); rig.workPrice+rig.slotPrice > 0 {
		t.Fatalf("prices %v and %v though the room holds all of the mix", rig.workPrice, rig.slotPrice)
	}
}

// With a hundred dispatchers the ceiling of each is a slot or less; two jobs that chance brings together must
// not be refused beside idle workers.
func TestSmallCeilingsHaveHeadroom(t *testing.T) {
	settings := testSettings()
	settings.Peers = 100
	rig := newRig(t, settings, 4)
	rig.workRatePerWorker = 1
	if rig.concurrencyPerWorker*rig.readyWorkers() >= 1 || rig.send(0) == "" || rig.send(0) == "" {
		t.Fatalf("a second job was held back at a ceiling of %v slots", rig.concurrencyPerWorker*rig.readyWorkers())
	}
}

func TestBucketThatDoesNotBindIsNotCut(t *testing.T) {
	rig := newRig(t, testSettings(), 4)
	id := rig.arrive(0)
	rig.badRatio = 1
	rig.endAttempt(id, 0, Completed, 4*time.Second)
	if rig.workRatePerWorker != initialCeiling || rig.concurrencyPerWorker >= initialCeiling {
		t.Fatalf("rate %v, slots %v", rig.workRatePerWorker, rig.concurrencyPerWorker)
	}
	rig = newRig(t, testSettings(), 4)
	id = rig.arrive(0)
	rig.bucketTokens, rig.badRatio = 0, 1
	rig.endAttempt(id, 0, Completed, 4*time.Second)
	if rig.workRatePerWorker >= initialCeiling {
		t.Fatal("a bucket that binds is not cut")
	}
}

// Late answers of jobs sent before a cut trickle in for a long time after a slow spell. They say
// nothing of the ceiling after the cut and must not cut it to the floor.
func TestAnswersSentBeforeACutDoNotCutAgain(t *testing.T) {
	rig := newRig(t, testSettings(), 4)
	var ids []uint64
	for range 6 {
		ids = append(ids, rig.arrive(0))
	}
	rig.endAttempt(ids[0], 0, Completed, 4*time.Second)
	after := rig.concurrencyPerWorker
	for _, id := range ids[1:] {
		rig.meanLatency = 0.001
		rig.endAttempt(id, 0, Completed, 100*time.Millisecond)
	}
	if after >= initialCeiling || rig.concurrencyPerWorker != after {
		t.Fatalf("ceiling %v after the first late answer, %v after the others", after, rig.concurrencyPerWorker)
	}
}

// An attempt stuck on a silent machine must not keep it from being tried again.
func TestEjectedWorkerWithStuckAttemptGetsATrial(t *testing.T) {
	rig := newRig(t, testSettings(), 3)
	id := rig.arrive(1)
	worker := rig.workers[rig.assignedTo(id)]
	rig.setFailureScore(worker, 1, reportsNoMore)
	rig.now += worker.ejectionBackoff
	if !rig.usable(&request{class: &rig.settings.Classes[0]}, worker) {
		t.Fatal("never tried again while a job is stuck there")
	}
}

// Jobs that only the full workers of one kind could run cut the ceiling of a fleet that idled (ia3f4fd).
func TestFailuresAtOneKindCutByItsShare(t *testing.T) {
	settings := testSettings()
	settings.Classes[1].Kinds = []int{7}
	rig := newRig(t, settings, 10)
	rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListDelta, Endpoints: []Endpoint{{Name: "w0", Kind: 7}}})
	cut := func(class int) float64 {
		rig.now += time.Minute
		before := rig.concurrencyPerWorker
		rig.badRatio = 0.5
		rig.cutCeilings(&request{class: &rig.settings.Classes[class]}, rig.now)
		return 1 - rig.concurrencyPerWorker/before
	}
	all, one := cut(0), cut(1)
	if one <= 0 || one > all/9 {
		t.Fatalf("failures at one of ten workers cut %v, those at any %v", one, all)
	}
}

// A first 'full' or failure is about that worker: the job goes elsewhere and no ceiling is cut.
func TestFirstFailureCutsNoCeiling(t *testing.T) {
	rig := newRig(t, testSettings(), 4)
	id := rig.arrive(0)
	first := rig.assignedTo(id)
	rig.endAttempt(id, 0, Saturated, time.Millisecond)
	if rig.concurrencyPerWorker != initialCeiling || rig.assignedTo(id) == first {
		t.Fatalf("ceiling %v, sent again to %v", rig.concurrencyPerWorker, rig.assignedTo(id))
	}
	rig.endAttempt(id, 1, Saturated, time.Millisecond)
	if rig.concurrencyPerWorker >= initialCeiling || rig.badRatio == 0 {
		t.Fatal("a second failure is about the fleet")
	}
}

func TestPickTakesTheLowerExpectedDelay(t *testing.T) {
	rig := newRig(t, testSettings(), 2)
	rig.fleet[0].runTimeRatio, rig.fleet[1].runTimeRatio = 2, 0.5
	rig.concurrencyPerWorker = 100
	for range 3 {
		if rig.send(0) != "w1" {
			t.Fatal("the slower of two idle workers was taken")
		}
	}
	rig.fleet[1].outstanding = 10
	if rig.send(0) != "w0" {
		t.Fatal("outstanding slots do not count")
	}
}

// Where crossing zones costs, the own zone wins until its delay outweighs the price.
func TestOwnZoneBias(t *testing.T) {
	settings := testSettings()
	settings.CrossZoneCost = 0.05
	rig := newRig(t, settings, 2)
	rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListDelta, Endpoints: []Endpoint{{Name: "w1", Zone: 1}}})
	rig.fleet[0].runTimeRatio, rig.fleet[1].runTimeRatio = 1, 0.9
	if rig.send(0) != "w0" {
		t.Fatal("crossed for little")
	}
	rig.fleet[0].outstanding = 5
	if rig.send(0) != "w1" {
		t.Fatal("own zone kept at any delay")
	}
}

// What is known of a worker grows old: one that nothing has been heard of is taken for as crowded as the mean, and a
// report of long ago says no more. In a fleet of 80, a third of all jobs went to workers that their dispatcher had
// never heard of, for they looked idle, and waited there four times as long as elsewhere.
func TestKnowledgeOfWorkersFades(t *testing.T) {
	settings := testSettings()
	settings.StartNotices = true
	for _, test := range []struct {
		name     string
		meanWait float64
		others   float64
		age      time.Duration // of the report of w0
		want     string
	}{
		{"idle by a fresh report, beside an unknown one", 0.3, 0, 0, "w0"},
		{"two jobs there by a fresh report, beside an unknown one where waits are short", 0.01, 2, 0, "w1"},
		{"five jobs there by a report of a minute ago, beside one that never reported", 0.3, 5, time.Minute, ""},
	} {
		got := map[string]int{}
		for seed := range uint64(20) {
			rig := newSeededRig(t, settings, 2, seed+1)
			rig.meanStartWait = test.meanWait
			rig.fleet[0].othersOutstanding, rig.fleet[0].othersOutstandingAt = test.others, rig.now-test.age
			got[rig.send(0)]++
		}
		if test.want != "" && got[test.want] != 20 || test.want == "" && (got["w0"] < 3 || got["w1"] < 3) {
			t.Errorf("%s: %v", test.name, got)
		}
	}
	rig := newRig(t, settings, 2)
	id := rig.arrive(0)
	rig.handle(rig.now+time.Second, Event{Kind: AttemptStarted, Request: id, Worker: rig.assignedTo(id)})
	if want := 2.0 / minPricedJobs; math.Abs(rig.meanStartWait-want) > 1e-9 {
		t.Errorf("after a first wait of a second the mean is %v, not %v", rig.meanStartWait, want)
	}
}

func TestFewRequestsArePricedAtNothing(t *testing.T) {
	rig := newRig(t, testSettings(), 2)
	rig.concurrencyPerWorker, rig.workRatePerWorker = 0.01, 0.01
	for i := range 3 * minPricedJobs {
		rig.arrive(0)
		rig.solvePrices()
		// What has faded a little already does not count in full.
		if priced := rig.workPrice+rig.slotPrice > 0; priced && i < minPricedJobs-1 {
			t.Fatalf("priced from %d jobs", i+1)
		}
	}
	if rig.workPrice+rig.slotPrice == 0 {
		t.Fatal("scarcity is not priced")
	}
}

// Jobs that wait, and clients' repeats, count once in the mix.
func TestMixCountsFirstTriesOnce(t *testing.T) {
	rig := newRig(t, testSettings(), 1)
	rig.fleet[0].saturatedUntil = rig.now + time.Hour
	for range 5 {
		rig.arrive(0)
	}
	rig.handle(rig.now, Event{Kind: RequestArrived, Request: 99, Slots: 1, Work: time.Second, TimeLeft: 4 * time.Second, ClientRetry: true})
	rig.sweep()
	if _, jobs := rig.recentMix(); math.Abs(jobs-5) > 1e-9 {
		t.Fatalf("%v jobs in the mix, want 5", jobs)
	}
}

// Points of the mix once grew with the number of sizes ever seen, and the solver takes their cube.
func TestMixIsBoundedAndPruned(t *testing.T) {
	rig := newRig(t, testSettings(), 2)
	const jobs = 300
	for i := range jobs {
		rig.handle(rig.now, Event{
			Kind: RequestArrived, Request: uint64(i + 1000), Class: i % 2, Slots: math.Exp2(float64(i % 20)),
			Work: time.Duration(1+i/20) * time.Millisecond << (i % 13), TimeLeft: 5 * time.Second,
		})
	}
	bids, n := rig.recentMix()
	if len(bids) > 50 || math.Abs(n-jobs) > 1e-6 {
		t.Fatalf("%v jobs in %d points, want %d jobs in a few dozen", n, len(bids), jobs)
	}
	rig.now += 12 * rig.planningHorizon
	rig.arrive(0)
	if bids, _ := rig.recentMix(); len(bids) != 1 {
		t.Fatalf("%d points are left of a mix that has faded away", len(bids)-1)
	}
}

// The prices fall to zero again when nothing is scarce: with an unbounded tie the dual's zero vertex
// was never taken.
func TestPricesFallToZero(t *testing.T) {
	rig := newRig(t, testSettings(), 2)
	for range 2 * minPricedJobs {
		rig.arrive(0)
	}
	rig.concurrencyPerWorker, rig.workRatePerWorker = 1e6, 1e6
	if rig.solvePrices(); rig.workPrice != 0 || rig.slotPrice != 0 {
		t.Fatalf("prices %v, %v with budgets to spare", rig.workPrice, rig.slotPrice)
	}
}

func TestTenantBeyondQuotaWeighsLess(t *testing.T) {
	settings := testSettings()
	settings.TenantQuotas, settings.OverQuotaWeight = []float64{2, 50}, 0.1
	rig := newRig(t, settings, 50)
	over := 0
	for id := uint64(1); id <= 40; id++ {
		rig.now += 50 * time.Millisecond // 20 a second, of which the quota here is 1
		rig.handle(rig.now, Event{Kind: RequestArrived, Request: id, Tenant: 0, Slots: 1, Work: time.Second, TimeLeft: 5 * time.Second})
		if rig.requests[id].value < 0.5 {
			over++
		}
	}
	if over < 20 {
		t.Fatalf("%d of 40 judged beyond the quota", over)
	}
	rig.handle(rig.now, Event{Kind: RequestArrived, Request: 41, Slots: 1, Work: time.Second, TimeLeft: 4 * time.Second, ClientRetry: true})
	if rig.requests[41].value > 0.5 {
		t.Fatal("a repeat escapes the quota")
	}
	rig.handle(rig.now, Event{Kind: RequestArrived, Request: 42, Tenant: 1, Slots: 1, Work: time.Second, TimeLeft: 5 * time.Second})
	if rig.requests[42].value < 0.5 {
		t.Fatal("another tenant pays for the burst")
	}
}

// A worker that fails fast is ejected, however quick it looks, and tried again sparingly.
func TestFailingWorkerIsEjected(t *testing.T) {
	rig := newRig(t, testSettings(), 4)
	id := rig.arrive(0)
	bad := rig.assignedTo(id)
	worker := rig.workers[bad]
	rig.endAttempt(id, 0, Failed, time.Millisecond)
	if !worker.ejected || worker.runTimeRatio != 0 {
		t.Fatalf("suspect %v, pace %v", worker.ejected, worker.runTimeRatio)
	}
	for range 20 {
		if rig.send(0) == bad {
			t.Fatal("sent to a suspect at once")
		}
	}
	rig.now += worker.ejectionBackoff
	rig.concurrencyPerWorker, rig.workRatePerWorker, rig.bucketTokens = 100, 100, 1e6
	trials := 0
	for range 40 {
		rig.arrive(0)
		for _, action := range rig.actions {
			if action.Kind == Assign && action.Worker == bad {
				trials++
			}
		}
	}
	if trials != 1 {
		t.Fatalf("%d trials at once, want 1", trials)
	}
}

// Jobs stuck on suspects held leases of a ceiling that is scaled to the other workers, and starved them
// (ie64e29). While most are suspects, though, all leases count, lest ejecting them lift the ceiling.
func TestSlotsAtEjectedWorkersDoNotCount(t *testing.T) {
	rig := newRig(t, testSettings(), 3)
	rig.concurrencyPerWorker = (6 - concurrencyHeadroom) / 3
	var stuck []uint64
	for len(stuck) < 6 {
		stuck = append(stuck, rig.arrive(0))
	}
	suspect := rig.fleet[0]
	held := suspect.outstanding
	rig.setFailureScore(suspect, 1, reportsNoMore)
	if rig.inFlight != 6 || held == 0 || rig.countedInFlight() != 6-held {
		t.Fatalf("%v of 6 leases count though a suspect holds %v", rig.countedInFlight(), held)
	}
	rig.setFailureScore(rig.fleet[1], 1, reportsNoMore)
	if rig.countedInFlight() != 6 || rig.readyWorkers() != 3 || rig.send(0) != "" {
		t.Fatalf("%v of 6 leases and %v of 3 workers count while most are suspects", rig.countedInFlight(), rig.readyWorkers())
	}
	rig.handle(rig.now, Event{Kind: ClientDisconnected, Request: rig.next - 1})
	rig.setFailureScore(rig.fleet[1], 0, answersAgain)
	rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListDelta, Endpoints: []Endpoint{
		{Name: suspect.Name, State: Running, StartedAt: rig.now}}})
	for _, id := range stuck {
		rig.endAttempt(id, 0, Completed, 0)
	}
	if rig.inFlight != 0 || rig.inFlightAtEjected != 0 {
		t.Fatalf("%v leases, %v of them stuck, after all have ended", rig.inFlight, rig.inFlightAtEjected)
	}
}

// If most workers look bad the trouble is not theirs, and all are used.
func TestPanicUsesEjectedWorkers(t *testing.T) {
	rig := newRig(t, testSettings(), 4)
	for _, worker := range rig.fleet[:3] {
		rig.setFailureScore(worker, 1, attemptsFail)
	}
	rig.fleet[3].saturatedUntil = rig.now + time.Hour
	if rig.send(0) == "" {
		t.Fatal("nothing was sent though most look bad")
	}
}

// What is called ejected is what gets no work: a suspect until it answers again, on trial too; none that
// drains, and none at all while most look bad and all are used.
func TestEjectedNamesWorkersThatGetNothing(t *testing.T) {
	rig := newRig(t, testSettings(), 5)
	rig.concurrencyPerWorker, rig.workRatePerWorker, rig.bucketTokens = 1000, 1000, 1e6
	bad := rig.fleet[2]
	if rig.Ejected() != nil {
		t.Fatalf("%v are ejected at the start", rig.Ejected())
	}
	rig.setFailureScore(bad, 1, attemptsFail)
	for range 30 {
		id := rig.arrive(0)
		if rig.assignedTo(id) == bad.Name || len(rig.Ejected()) != 1 || rig.Ejected()[0] != bad.Name {
			t.Fatalf("%v are ejected, and %s gets work", rig.Ejected(), rig.assignedTo(id))
		}
		rig.endAttempt(id, 0, Completed, time.Millisecond)
	}
	trials := 0
	for ; bad.ejected && trials < 5; trials++ {
		rig.now = max(rig.now, bad.trialAt)
		trial := uint64(0)
		for range 60 {
			if id := rig.arrive(0); rig.assignedTo(id) == bad.Name {
				trial = id
			}
		}
		if trial == 0 || len(rig.Ejected()) != 1 {
			t.Fatalf("trial %d, %v are ejected meanwhile", trial, rig.Ejected())
		}
		rig.endAttempt(trial, 0, Completed, time.Millisecond)
	}
	if trials == 0 || rig.Ejected() != nil {
		t.Fatalf("%v are ejected after %d trials that were served", rig.Ejected(), trials)
	}
	for _, worker := range rig.fleet[:3] {
		rig.setFailureScore(worker, 1, attemptsFail)
	}
	if rig.Ejected() != nil {
		t.Fatalf("%v are ejected while most look bad", rig.Ejected())
	}
	rig.setFailureScore(rig.fleet[0], 0, answersAgain)
	rig.setFailureScore(rig.fleet[1], 0, answersAgain)
	rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListDelta, Endpoints: []Endpoint{{Name: bad.Name, State: Draining}}})
	if rig.Ejected() != nil {
		t.Fatalf("%v are ejected, and drain", rig.Ejected())
	}
}

// While a dispatcher is replaced, what either process sends a cold worker is of one budget: each tells what
// it sends there, and the other's counts as its own.
func TestReservationsOfBothProcessesAddUp(t *testing.T) {
	budget := func(other float64) (sent int, charged float64) {
		settings := testSettings()
		settings.Peers = 1
		rig := newRig(t, settings, 4)
		rig.concurrencyPerWorker, rig.workRatePerWorker, rig.bucketTokens = 1000, 1000, 1e6
		for range 40 {
			rig.endAttempt(rig.arrive(0), 0, Completed, 10*time.Millisecond)
		}
		rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListDelta, Endpoints: []Endpoint{{Name: "w0", StartedAt: rig.now}}})
		for range 200 {
			id := rig.arrive(0)
			for _, action := range rig.actions {
				if action.Kind == Assign && action.Worker != "w0" && action.Reservation != 0 {
					t.Fatalf("a warm worker was charged %v", action.Reservation)
				}
				if action.Kind == Assign && action.Worker == "w0" {
					sent++
					charged += action.Reservation
				}
			}
			rig.endAttempt(id, 0, Completed, 10*time.Millisecond)
			rig.handle(rig.now, Event{Kind: ReservedElsewhere, Worker: "w0", Reservation: other})
		}
		rig.handle(rig.now, Event{Kind: ReservedElsewhere, Worker: "unknown", Reservation: 1})
		return sent, charged
	}
	alone, charged := budget(0)
	beside, _ := budget(charged / 200 / 2) // the other one sends half of what one may
	if alone < 10 || beside >= alone*3/4 || beside == 0 || charged <= 0 {
		t.Fatalf("%d sent alone, charged %v; %d beside one that sends half as much", alone, charged, beside)
	}
}

// A vanished machine gives no sign: the job is sent a second time, and the worker is ejected.
func TestSilentWorkerIsEjectedAndHedged(t *testing.T) {
	rig := newRig(t, testSettings(), 4)
	id := rig.arrive(0)
	worker := rig.workers[rig.assignedTo(id)]
	for end := rig.now + 4*time.Second; rig.now < end && len(rig.requests[id].attempts) < 2; {
		rig.handle(rig.now+rig.sweepInterval, Event{Kind: TimerFired, Timer: sweepTimer})
	}
	if !worker.ejected || len(rig.requests[id].attempts) != 2 {
		t.Fatalf("suspect %v, %d attempts", worker.ejected, len(rig.requests[id].attempts))
	}
}

// A lost zone's workers let connects time out, one after the other, at each of eighty dispatchers: 688 jobs of some 800
// in the four seconds until the list told of it. Two in a row without a word from the zone are enough, while other zones
// are heard of; one job at a time finds out whether it is back.
func TestUnreachableZoneIsAvoided(t *testing.T) {
	settings := testSettings()
	settings.StartNotices, settings.ZoneNames = true, []string{"zarqa-east", "russeifa", "hashemiya"}
	for seed := range uint64(10) {
		rig := newSeededRig(t, settings, 12, seed+1)
		var told []string
		var entries []Endpoint
		for i, worker := range rig.fleet {
			entries = append(entries, Endpoint{Name: worker.Name, Zone: i % 3, State: Running})
		}
		rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListSnapshot, Endpoints: entries})
		refuse := func(worker *worker) { // a job there whose connect fails
			request := &request{id: rig.next, class: &rig.settings.Classes[1], slots: 1, work: 1, deadline: rig.now + time.Second}
			rig.next++
			rig.requests[request.id] = request
			rig.startAttempt(request, worker)
			for _, action := range rig.handle(rig.now+settings.ConnectTimeout, Event{Kind: AttemptEnded, Request: request.id, Worker: worker.Name,
				Outcome: ConnectionRefused, Answered: true}) {
				told = append(told, action.Text)
			}
			rig.now += time.Millisecond
		}
		zone := func(n int) (of []*worker) {
			for _, worker := range rig.fleet {
				if worker.Zone == n {
					of = append(of, worker)
				}
			}
			return of
		}
		darkZones := func() (n int) {
			for z := range 3 {
				if rig.zoneUnreachable(zone(z)[3]) {
					n++
				}
			}
			return n
		}
		refuse(zone(1)[0])
		rig.markSeen(zone(0)[0])
		if darkZones() != 0 {
			t.Fatal("one failed connect darkens a zone")
		}
		refuse(zone(1)[1])
		rig.markSeen(zone(0)[0])
		said := slices.Contains(told, "zone russeifa looks unreachable: 2 connects failed in a row")
		if darkZones() != 1 || !rig.zoneUnreachable(zone(1)[3]) || !said {
			t.Fatalf("a zone of which two workers in a row cannot be reached is not lost: %q", told)
		}
		for range 6 {
			if worker := rig.workers[rig.send(1)]; worker != nil && worker.Zone == 1 {
				t.Fatalf("%s of the lost zone was sent a job", worker.Name)
			}
		}
		rig.now += 4*settings.ConnectTimeout + time.Millisecond
		if darkZones() != 0 {
			t.Fatal("no trial is due after four time-outs")
		}
		refuse(zone(1)[2]) // the trial fails: the next one comes later
		rig.now += 4*settings.ConnectTimeout + time.Millisecond
		rig.markSeen(zone(0)[0])
		if darkZones() != 1 {
			t.Fatal("trials do not become rarer")
		}
		id := rig.arrive(0)
		rig.requests[id].attempts[0].worker = zone(1)[3]
		note := rig.handle(rig.now, Event{Kind: AttemptStarted, Request: id, Worker: zone(1)[3].Name})
		if darkZones() != 0 || findAction(note, Log).Text != "zone russeifa is reachable again" {
			t.Fatalf("a zone that was heard of is still lost: %+v", note)
		}
		for z := range 3 { // nothing is heard of any more: the trouble is ours
			refuse(zone(z)[0])
			refuse(zone(z)[1])
		}
		if darkZones() != 0 {
			t.Fatal("all zones are lost at once")
		}
		rig.markSeen(zone(0)[0])
		if darkZones() != 2 {
			t.Fatal("one zone is back, the other two are not lost")
		}
		entries[1].StartedAt = rig.now
		rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListDelta, Endpoints: entries[1:2]})
		if darkZones() != 1 {
			t.Fatal("a zone in which a worker started is still lost")
		}
		rig.now += rig.planningHorizon
		if rig.zoneUnreachable(zone(2)[3]) {
			t.Fatal("no trial is due after a horizon")
		}
		rig.markSeen(zone(0)[0])
		rig.startAttempt(&request{class: &rig.settings.Classes[0], slots: 1, work: 1}, zone(2)[0])
		if !rig.zoneUnreachable(zone(2)[3]) {
			t.Fatal("two trials at once")
		}
		// A job that runs there and may be repeated is not waited for: silence is told after two seconds only.
		request := &request{id: rig.next, class: &rig.settings.Classes[0], slots: 1, work: 1, cost: 1, objective: rig.now + 5*time.Second}
		rig.startAttempt(request, zone(2)[3])
		rig.recordStart(request.class, &request.attempts[0])
		rig.now += 2 * rig.sweepInterval
		if rig.superviseAttempt(request, &request.attempts[0]); len(request.attempts) != 2 {
			t.Fatalf("a job in a lost zone has %d attempts", len(request.attempts))
		}
	}
}

// Two troubles at once: a worker vanishes while the list cannot be had. Its silence alone must keep new
// jobs away, and the list that comes at last must not bring it back into use.
func TestSilentWorkerIsAvoidedWhileTheListFails(t *testing.T) {
	rig := newRig(t, testSettings(), 3)
	lost := rig.assignedTo(rig.arrive(0))
	rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListFailed})
	rig.handle(rig.now+3*time.Second, Event{Kind: TimerFired, Timer: sweepTimer})
	for range 20 {
		id := rig.arrive(0)
		if rig.assignedTo(id) == lost {
			t.Fatal("sent to a silent worker while the list is down")
		}
		rig.endAttempt(id, 0, Completed, time.Millisecond)
	}
	rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListSnapshot, Endpoints: []Endpoint{{Name: lost}}})
	if worker := rig.workers[lost]; !worker.ejected || len(rig.fleet) != 1 {
		t.Fatal("the list cleared a silent worker that has not started anew")
	}
}

// A connection may go silent alone, on a worker that lives: the job's notes stop, or its start is never told
// though nothing waits there. A job that may be repeated is sent again elsewhere, a fragile one never, and the
// worker neither loses its trust nor is kept from other jobs. Where jobs wait, a missing start proves nothing.
func TestUnresponsiveConnectionIsHedged(t *testing.T) {
	for name, test := range map[string]struct {
		class, backlog int
		started        bool
		want           int // attempts in the end
	}{
		"notes stop": {0, 5, true, 2}, "no start, nothing waits": {0, 0, false, 2}, "no start, jobs wait": {0, 1, false, 1},
		"fragile, notes stop": {1, 0, true, 1}, "fragile, no start": {1, 0, false, 1},
	} {
		settings := testSettings()
		settings.StartNotices, settings.StartsInOrder, settings.HealthChecks, settings.Peers = true, true, true, 1
		settings.Cancellation = false // else a job that waits has a copy anyway
		rig := newRig(t, settings, 4)
		id := rig.arrive(test.class)
		worker := rig.workers[rig.assignedTo(id)]
		note := func(q uint64) {
			rig.handle(rig.now, Event{Kind: AttemptStarted, Request: q, Worker: rig.assignedTo(q)})
		}
		if test.started {
			note(id)
		}
		probes := 0
		for end := rig.now + 1900*time.Millisecond; rig.now < end; {
			rig.handle(rig.now+rig.sweepInterval, Event{Kind: TimerFired, Timer: sweepTimer})
			if findAction(rig.actions, CheckHealth) != nil {
				probes++
				rig.handle(rig.now, Event{Kind: HealthChecked, Worker: worker.Name, Outcome: Completed,
					Load: LoadReport{Backlog: float64(test.backlog), HasBacklog: true}})
			}
			worker.lastSeen = rig.now // by another connection
		}
		if n := len(rig.requests[id].attempts); n != test.want || worker.ejected {
			t.Errorf("%s: %d attempts, want %d; suspect %v", name, n, test.want, worker.ejected)
		}
		if test.started != (probes == 0) || probes > 3 {
			t.Errorf("%s: %d probes", name, probes)
		}
		if blocked := worker.unstarted > 0; !test.started && blocked != (test.backlog > 0) {
			t.Errorf("%s: %d starts are waited for", name, worker.unstarted)
		}
		rig.handle(rig.now, Event{Kind: ClientDisconnected, Request: id})
		for n := range rig.requests[id].attempts {
			rig.endAttempt(id, n, Cancelled, 0)
		}
		if worker.unstarted != 0 || worker.outstanding != 0 || rig.inFlight != 0 {
			t.Errorf("%s: in the end %d starts are waited for, %v slots out, %v leased", name, worker.unstarted, worker.outstanding, rig.inFlight)
		}
	}
}

// Where starts are told, a job in a worker's queue is silent by nature: that proves nothing, and a
// second copy that could not be called off would only fill another queue.
func TestUnstartedAttemptIsNotSilence(t *testing.T) {
	settings := testSettings()
	settings.StartNotices, settings.Cancellation = true, false
	rig := newRig(t, settings, 2)
	id := rig.arrive(0)
	worker := rig.workers[rig.assignedTo(id)]
	for range 30 {
		rig.handle(rig.now+rig.sweepInterval, Event{Kind: TimerFired, Timer: sweepTimer})
	}
	if worker.ejected || len(rig.requests[id].attempts) != 1 {
		t.Fatalf("suspect %v, %d attempts for a job that waits in a queue", worker.ejected, len(rig.requests[id].attempts))
	}
	if next := rig.arrive(0); rig.assignedTo(next) == worker.Name {
		t.Fatal("more work behind a job that has not started")
	}
}

// With 300 dispatchers each knows next to nothing of the queues, and jobs waited 0.23 s for their start on a calm
// day, one in five longer than its aim allows. A job that may be repeated and waits has a copy elsewhere, and the
// first to start has the other called off. A fragile one has none, nor has one that is late already.
func TestWaitingAttemptIsHedged(t *testing.T) {
	settings := testSettings()
	settings.StartNotices = true
	stopped := func(rig *rig) []int {
		var list []int
		for _, action := range rig.actions {
			if action.Kind == CancelAttempt {
				list = append(list, action.Attempt)
			}
		}
		return list
	}
	wait := func(class int) (*rig, uint64) {
		rig := newRig(t, settings, 4)
		id := rig.arrive(class)
		rig.handle(rig.now+rig.sweepInterval, Event{Kind: TimerFired, Timer: sweepTimer})
		return rig, id
	}
	start := func(rig *rig, id uint64, n int) {
		rig.handle(rig.now+time.Millisecond, Event{Kind: AttemptStarted, Request: id, Attempt: n, Worker: rig.requests[id].attempts[n].worker.Name})
	}
	for first := range 2 {
		rig, id := wait(0)
		request := rig.requests[id]
		if len(request.attempts) != 2 || request.attempts[0].worker == request.attempts[1].worker {
			t.Fatalf("%d attempts for a job that waits", len(request.attempts))
		}
		start(rig, id, first)
		if got := stopped(rig); len(got) != 1 || got[0] != 1-first {
			t.Fatalf("attempt %d starts first: called off: %v", first, got)
		}
		rig.endAttempt(id, 1-first, Cancelled, 0)
		if worker := request.attempts[1-first].worker; worker.unstarted != 0 || worker.recentWork.get(rig.now, rig.planningHorizon) > 1e-3 {
			t.Errorf("a copy that never started is still booked: %d, %v", worker.unstarted, worker.recentWork)
		}
	}
	rig, id := wait(0)
	rig.requests[id].attempts[0].startedAt = rig.now
	start(rig, id, 1)
	if got := stopped(rig); len(got) != 1 || got[0] != 1 {
		t.Errorf("the later start is not called off: %v", got)
	}
	if rig, id := wait(1); len(rig.requests[id].attempts) != 1 {
		t.Error("a copy of a job that must not run twice")
	}
	rig = newRig(t, settings, 4)
	id = rig.arrive(0)
	rig.requests[id].late = true
	rig.handle(rig.now+rig.sweepInterval, Event{Kind: TimerFired, Timer: sweepTimer})
	if len(rig.requests[id].attempts) != 1 {
		t.Error("a copy of a job that is late")
	}
}

// While many jobs are late, one that can hardly be in time any more stands before others in its worker's queue, for
// a quarter of its worth. It is called off before it starts and refused; so is a client's repeat that comes too
// late. One that has started, or must not run twice, goes on, and so do all while few are late.
func TestLateRequestMakesWay(t *testing.T) {
	for name, test := range map[string]struct {
		class         int
		bad           float64
		from          int // beats after which it is that
		started, away bool
	}{
		"crowded": {0, 0.4, 0, false, true}, "calm": {0, 0.1, 0, false, false},
		"crowded once it is late": {0, 0.4, 16, false, true},
		"started":                 {0, 0.4, 0, true, false}, "fragile": {1, 0.4, 0, false, false},
	} {
		settings := testSettings()
		settings.StartNotices = true
		rig := newRig(t, settings, 4)
		id := rig.arrive(test.class)
		if test.started {
			rig.handle(rig.now, Event{Kind: AttemptStarted, Request: id, Worker: rig.assignedTo(id)})
		}
		var refused, stopped bool
		for beat := range 20 {
			if rig.badRatio = 0; beat >= test.from {
				rig.badRatio = test.bad
			}
			if beat == 16 && test.from > 0 && !rig.requests[id].late {
				t.Fatal("it is not late yet")
			}
			rig.handle(rig.now+rig.sweepInterval, Event{Kind: TimerFired, Timer: sweepTimer})
			refused = refused || findAction(rig.actions, Reject) != nil
			stopped = stopped || findAction(rig.actions, CancelAttempt) != nil
		}
		if refused != test.away || stopped != test.away {
			t.Errorf("%s: refused %v, called off %v, want %v", name, refused, stopped, test.away)
		}
		rig.badRatio = test.bad
		const full = 5 * time.Second
		rig.maxTimeLeft[0] = full
		rig.handle(rig.now, Event{Kind: RequestArrived, Request: 1 << 40, Class: 0, Work: 100 * time.Millisecond, TimeLeft: full / 2})
		if again := findAction(rig.actions, Reject) != nil; again != (test.bad > overloadBadRatio) {
			t.Errorf("%s: a repeat that comes too late: refused %v", name, again)
		}
	}
}

// After a mass replacement most of the fleet is cold, and nearly every cold worker says no to a job. When 32 were
// drawn for one, the rest had to wait for theirs; all are drawn, while warm ones stay bounded for CPU.
func TestAllWorkersInSlowStartAreDrawn(t *testing.T) {
	settings := testSettings()
	settings.Peers = 300
	for seed := range uint64(10) {
		rig := newSeededRig(t, settings, 4*maxWarmDraws, seed)
		for _, worker := range rig.fleet[1:] { // the first stays warm: what the others may get is measured by it
			worker.StartedAt, worker.slowStartBudgetAt, worker.slowStartBudget = rig.now, rig.now, -1
			worker.recentWork.add(rig.now, rig.planningHorizon, 0)
			rig.warmingUp = append(rig.warmingUp, worker)
		}
		rig.fleet[0].recentWork.add(rig.now, rig.planningHorizon, 100)
		rig.warmWorkRatesAt = 0
		room := rig.fleet[len(rig.fleet)-1]
		room.slowStartBudget = 100
		request := &request{class: &rig.settings.Classes[0], slots: 1, work: 1, classMeanWork: 1, cost: 1, objective: rig.now + time.Minute}
		if worker := rig.pickFrom(request, rig.warmingUp, inWarmingUp); worker != room {
			t.Fatalf("seed %d: the one cold worker of %d that has room is not found: %v", seed, len(rig.warmingUp), worker)
		}
		for _, worker := range rig.warmWorkers {
			worker.saturatedUntil = rig.now + time.Second
		}
		first := slices.Clone(rig.warmWorkers)
		for _, worker := range rig.fleet[1:] {
			worker.StartedAt = 0
		}
		rig.pickFrom(request, rig.warmWorkers, inWarmWorkers)
		moved := 0
		for i := maxWarmDraws; i < len(first); i++ {
			if rig.warmWorkers[i] != first[i] {
				moved++
			}
		}
		if moved > maxWarmDraws {
			t.Fatalf("%d warm ones were drawn in vain", moved)
		}
	}
}

// Where jobs are larger than the part, a cold worker's budget is saved for two windows: a dispatcher with a job every
// second lost a third of it to a window's bound, and newcomers stood idle. Where they are small it is one window, so
// that few dispatchers that spend all at once stay under the rule: that and a window's part are 0.8 of it.
func TestSlowStartBudgetIsSaved(t *testing.T) {
	settings := testSettings()
	settings.Peers = 300
	for _, test := range []struct{ work, windows float64 }{{1e6, 2}, {1e-6, 1}} {
		rig := newRig(t, settings, 2)
		worker := rig.workers["w0"]
		warm := rig.workers["w1"]
		warm.recentWork.add(rig.now, rig.planningHorizon, 2)
		worker.StartedAt, worker.slowStartBudgetAt, worker.slowStartBudget, rig.warmWorkRatesAt = rig.now, rig.now, 0, 0
		worker.recentWork.add(rig.now, rig.planningHorizon, 0)
		rig.now += settings.OverloadWindow * 3
		share, warmth := rig.warmWorkRate(0), rig.capacityFraction(worker)
		rig.withinSlowStartBudget(&request{class: &rig.settings.Classes[0], slots: 1, work: test.work, cost: test.work, classMeanWork: 1e-7}, worker)
		most := settings.OverloadMultiple * warmth * share * settings.OverloadWindow.Seconds()
		if got := worker.slowStartBudget / most / slowStartSafety; math.Abs(got-test.windows) > 0.01 {
			t.Errorf("jobs of %g s: the budget of %.2f windows is saved", test.work, got)
		}
	}
	if 2*slowStartSafety > 0.8 {
		t.Errorf("few dispatchers may send %.2f of the rule's budget in a window", 2*slowStartSafety)
	}
}

// Of the cold workers the first that takes a job has it. While two were drawn and the better one taken, a stake that
// was won went for nothing.
func TestWonDrawingIsUsed(t *testing.T) {
	for seed := range uint64(20) {
		rig := newSeededRig(t, testSettings(), 6, seed+1)
		for i, worker := range rig.fleet {
			worker.StartedAt, worker.slowStartBudgetAt, worker.slowStartBudget, worker.outstanding = rig.now, rig.now, 0.06, float64(i)
			worker.recentWork.add(rig.now, rig.planningHorizon, 0)
		}
		rig.warmingUp = append(rig.warmingUp[:0], rig.fleet...)
		rig.warmWorkRates, rig.warmWorkRatesAt = map[int]float64{0: 0.1}, rig.now
		job := &request{class: &rig.settings.Classes[0], slots: 1, work: 0.05, cost: 0.05, classMeanWork: 0.05, objective: rig.now + time.Second}
		if picked := rig.pickFrom(job, rig.warmingUp, inWarmingUp); picked != rig.warmingUp[0] {
			t.Fatalf("seed %d: the first that had room was passed over", seed)
		}
	}
}

// A rule of length 0 is off. Where settings told none, cold workers got nothing until they were warm.
func TestNoOverloadRuleBindsNothing(t *testing.T) {
	settings := testSettings()
	settings.OverloadWindow, settings.OverloadMultiple, settings.SlowStartFloor = 0, 0, 0.9
	rig := newRig(t, settings, 1)
	rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListDelta, Endpoints: []Endpoint{{Name: "w0", StartedAt: rig.now}}})
	if rig.send(0) != "w0" {
		t.Fatal("a cold worker gets nothing though no rule says so")
	}
}

// A busy dispatcher takes its part times its peers for what all have. One that was four times as busy as the mean sent
// a worker just started a renewal of 2.8 s, five jobs of the mean and half of what the rule allows in its window.
func TestNoHeavyRequestInSlowStart(t *testing.T) {
	settings := testSettings()
	settings.Peers = 80
	for _, test := range []struct {
		work float64
		want bool
	}{{0.9, true}, {1.1, false}} {
		rig := newRig(t, settings, 2)
		worker := rig.fleet[0]
		rig.fleet[1].recentWork.add(rig.now, rig.planningHorizon, rig.planningHorizon.Seconds()) // a slot-second a second from this one alone
		job := &request{class: &rig.settings.Classes[0], slots: 1, work: test.work, cost: test.work, classMeanWork: 0.5}
		taken := false
		for range 1000 {
			worker.StartedAt, worker.slowStartBudgetAt, worker.slowStartBudget, rig.warmWorkRatesAt = rig.now, rig.now, 0.1, 0
			taken = taken || rig.withinSlowStartBudget(job, worker)
		}
		if taken != test.want {
			t.Errorf("a job of %.1f s where the mean is 0.5: taken %v", test.work, taken)
		}
	}
}

// A worker without repeatable jobs to try it must not stay ejected for good.
func TestFailureScoreFades(t *testing.T) {
	rig := newRig(t, testSettings(), 3)
	id := rig.arrive(1)
	bad := rig.workers[rig.assignedTo(id)]
	rig.endAttempt(id, 0, Failed, time.Millisecond)
	request := &request{class: &rig.settings.Classes[1]}
	if rig.usable(request, bad) {
		t.Fatal("fragile work trusted to a worker that has just failed")
	}
	rig.now += 3 * rig.planningHorizon
	if !rig.usable(request, bad) {
		t.Fatal("ejected for good")
	}
}

func TestNonIdempotentFailsRatherThanRunsTwice(t *testing.T) {
	rig := newRig(t, testSettings(), 4)
	id := rig.arrive(1)
	rig.endAttempt(id, 0, Failed, time.Millisecond)
	if findAction(rig.actions, Fail) == nil || findAction(rig.actions, Assign) != nil || findAction(rig.actions, Reject) != nil {
		t.Fatalf("actions %v", rig.actions)
	}
	id = rig.arrive(1)
	rig.endAttempt(id, 0, ConnectionRefused, time.Millisecond) // proof that it never ran
	if findAction(rig.actions, Assign) == nil {
		t.Fatal("not sent again though it never ran")
	}
}

// Jobs for a kind of worker that is lost filled the head of the queue, and nothing behind them was tried
// though most workers idled (i3ba968, i403265).
func TestRequestsWithoutAWorkerHoldUpNoOthers(t *testing.T) {
	settings := testSettings()
	settings.Classes[1] = Class{PriorityWeight: 9, LatencyObjective: 5 * time.Second, Deadline: 5 * time.Second, Kinds: []int{7}}
	rig := newRig(t, settings, 2)
	for range 5 * maxQueueSkips {
		if rig.send(1) != "" {
			t.Fatal("there is no worker of that kind")
		}
	}
	if rig.send(0) == "" {
		t.Fatal("a job that every worker can run waits behind those that none can")
	}
}

// While most workers are full, a job's attempts are spread over its time, not spent in a burst.
func TestAttemptsAreSpreadOverTimeLeft(t *testing.T) {
	rig := newRig(t, testSettings(), 20)
	id := rig.arrive(0)
	rig.endAttempt(id, 0, Saturated, time.Millisecond)
	rig.endAttempt(id, 1, Saturated, time.Millisecond)
	if request := rig.requests[id]; request == nil || !request.queued || request.notBefore < rig.now+100*time.Millisecond {
		t.Fatalf("third attempt not held: %+v", request)
	}
}

func TestWaitingRequestIsRejectedBeforeItsObjectiveWhenScarce(t *testing.T) {
	rig := newRig(t, testSettings(), 1)
	rig.fleet[0].saturatedUntil = rig.now + time.Hour
	id := rig.arrive(0)
	aim := rig.requests[id].objective
	rig.workPrice, rig.nextPricingAt = 0.1, rig.now+time.Hour
	for rig.requests[id] != nil && rig.now < aim+time.Second {
		rig.handle(rig.now+rig.sweepInterval, Event{Kind: TimerFired, Timer: sweepTimer})
	}
	if action := findAction(rig.actions, Reject); action == nil || rig.now >= aim || action.Delay <= 0 || action.Delay > rig.settings.MaxRetryAfter {
		t.Fatalf("at %v of %v: %v", rig.now, aim, rig.actions)
	}
}

// At full ceilings and prices of zero, late jobs stayed in the queue and made fresh ones late (i1e0ef8).
func TestLateRequestIsRejectedAtFullCeiling(t *testing.T) {
	rig := newRig(t, testSettings(), 2)
	rig.concurrencyPerWorker = (2 - concurrencyHeadroom) / 2
	rig.arrive(0)
	rig.arrive(0)
	waits := rig.requests[rig.arrive(0)]
	if !waits.queued || rig.workPrice+rig.slotPrice > 0 {
		t.Fatal("the third job should wait, unpriced")
	}
	rig.handle(waits.objective-seconds(waits.work), Event{Kind: TimerFired, Timer: sweepTimer})
	if !waits.ended || findAction(rig.actions, Reject) == nil {
		t.Fatal("a job that can hardly be in time waits on, though no lease is free")
	}
}

// A job that lapses while it waits is worth less and must fall behind those still in time.
func TestLateRequestFallsBackInTheQueue(t *testing.T) {
	rig := newRig(t, testSettings(), 1)
	rig.fleet[0].saturatedUntil = rig.now + time.Hour
	high := rig.arrive(1)
	rig.markLate(rig.requests[high])
	rig.requests[high].value /= 10
	low := rig.arrive(0)
	rig.sweep()
	if len(rig.queue) != 2 || rig.queue[0].id != low {
		t.Fatal("the lapsed job keeps its place")
	}
}

func TestDrainingWorkerGetsNothing(t *testing.T) {
	rig := newRig(t, testSettings(), 2)
	rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListDelta, Endpoints: []Endpoint{{Name: "w0", State: Draining}}})
	for range 4 {
		if rig.send(0) == "w0" {
			t.Fatal("sent to a draining worker")
		}
	}
	rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListSnapshot})
	if rig.send(0) != "" {
		t.Fatal("sent to a worker that a complete list lacks")
	}
}

func TestListFailuresBackOffWithJitter(t *testing.T) {
	settings := testSettings()
	settings.ListBySubscription = true
	rig := newRig(t, settings, 1)
	if findAction(rig.actions, Subscribe) == nil {
		t.Fatal("not subscribed at the start")
	}
	last := time.Duration(0)
	for i := range 8 {
		rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListFailed})
		action := findAction(rig.actions, SetTimer)
		if findAction(rig.actions, Subscribe) != nil || action == nil || action.Delay > settings.ListPollInterval/2 {
			t.Fatalf("try %d: %v", i, rig.actions)
		}
		last = action.Delay
	}
	if last < settings.ListPollInterval/4 {
		t.Fatalf("still asking every %v after eight failures", last)
	}
	if rig.handle(rig.now, Event{Kind: TimerFired, Timer: subscribeTimer}); findAction(rig.actions, Subscribe) == nil {
		t.Fatal("not asked again")
	}
	if rig.send(0) != "w0" {
		t.Fatal("the old list does not stand")
	}
}

// The wait before a call for the list grew with the number of dispatchers beyond all bounds: of 300, half had none
// 11.5 s after their start, though 10 s without asking count as heard, and sent work to workers that had left.
// However many they are, all have called early enough for two more calls in that time.
func TestSubscribeDelayIsBounded(t *testing.T) {
	settings := testSettings()
	settings.ListBySubscription, settings.Peers = true, 300
	early, late := settings.ListPollInterval, time.Duration(0)
	for i := range 200 {
		rig := newSeededRig(t, settings, 1, uint64(i))
		action := findAction(rig.actions, SetTimer)
		if action == nil {
			t.Fatalf("called at once: %v", rig.actions)
		}
		early, late = min(early, action.Delay), max(late, action.Delay)
	}
	if late > settings.ListPollInterval/4 || late-early < settings.ListPollInterval/5 {
		t.Errorf("calls come between %v and %v after the start", early, late)
	}
}

// Thirty-six dispatchers that start together, or lose their subscription together, do not call together: their
// calls are spread so that a service of seven calls a second keeps none waiting for the two seconds after which
// it fails, and those that fail come back ever more seldom. Few dispatchers call at once.
func TestLargeFleetSpreadsItsCalls(t *testing.T) {
	const peers, service, patience = 36, time.Second / 7, 2 * time.Second
	settings := testSettings()
	settings.ListBySubscription, settings.Peers = true, largeFleetThreshold
	if rig := newRig(t, settings, 1); findAction(rig.actions, Subscribe) == nil || findAction(rig.actions, SetTimer) != nil {
		t.Fatalf("few dispatchers do not call at once: %v", rig.actions)
	}
	settings.Peers = peers
	for _, first := range []ListKind{ListCached, ListFailed} {
		var rigs []*rig
		var calls []time.Duration // when each calls next
		for i := range peers {
			rig := newSeededRig(t, settings, 1, uint64(i))
			if first == ListFailed {
				rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListFailed})
			}
			if rig.send(0) == "" {
				t.Fatal("the known list does not serve meanwhile")
			}
			rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: first})
			action := findAction(rig.actions, SetTimer)
			if action == nil || findAction(rig.actions, Subscribe) != nil {
				t.Fatalf("called at once: %v", rig.actions)
			}
			rigs, calls = append(rigs, rig), append(calls, time.Hour+action.Delay)
		}
		free, failed, last := time.Duration(0), 0, time.Duration(0)
		for served := 0; served < peers; {
			next := 0
			for i := range calls {
				if calls[i] < calls[next] {
					next = i
				}
			}
			now := calls[next]
			start := max(free, now)
			free = start + service // a call that has waited too long takes its time all the same
			if start+service-now <= patience {
				served, last = served+1, start+service
				calls[next] = math.MaxInt64
				continue
			}
			failed++
			rig := rigs[next]
			rig.handle(now+patience, Event{Kind: ListUpdated, ListKind: ListFailed})
			calls[next] = now + patience + findAction(rig.actions, SetTimer).Delay
		}
		if last > time.Hour+10*time.Second || failed > peers/2 {
			t.Errorf("list kind %d: all served after %v, %d calls in vain", first, last-time.Hour, failed)
		}
	}
}

// The cold rule, played out: four dispatchers under the same overload hear of a start at once. Work
// that warm workers turn away must not enlarge the budget, nor a fast kind's rate a slow kind's.
func TestWorkerInSlowStartIsNotOverloaded(t *testing.T) {
	const peers, capacity, tick = 4, 4.0, 10 * time.Millisecond // capacity in hinted seconds a second
	settings := testSettings()
	settings.Peers = peers
	var rigs []*rig
	for i := range peers {
		rig := newRig(t, settings, 6)
		machine, _ := New(settings, uint64(i+1))
		list := []Endpoint{}
		for n := range 6 {
			list = append(list, Endpoint{Name: fmt.Sprintf("w%d", n), Kind: n % 2, State: Running})
		}
		rig.Machine = machine
		rig.handle(time.Hour, Event{Kind: ListUpdated, ListKind: ListCached, Endpoints: list})
		rigs = append(rigs, rig)
	}
	var cold []workSent
	load, start := map[string]float64{}, time.Hour+20*time.Second
	type running struct {
		r    *rig
		id   uint64
		n    int
		w    string
		ends time.Duration
		o    AttemptOutcome
	}
	var out []running
	now := time.Duration(time.Hour)
	handle := func(rig *rig, event Event) {
		for _, action := range rig.handle(now, event) {
			if action.Kind != Assign {
				continue
			}
			request := rig.requests[action.Request]
			speed := capacity / 4 // kind 1; kind 0 is three times as fast
			if action.Worker == "w0" || action.Worker == "w2" || action.Worker == "w4" {
				speed *= 3
			}
			x := running{rig, action.Request, len(request.attempts) - 1, action.Worker, now + seconds(request.work/speed), Completed}
			if action.Worker == "w1" && now >= start {
				cold = append(cold, workSent{now, request.cost})
			}
			if load[action.Worker] >= 4 {
				x.ends, x.o = now+tick, Saturated
			}
			load[action.Worker]++
			out = append(out, x)
		}
	}
	for ; now < start+settings.SlowStartDuration; now += tick {
		if now == start {
			for _, rig := range rigs {
				handle(rig, Event{Kind: ListUpdated, ListKind: ListDelta,
					Endpoints: []Endpoint{{Name: "w1", Kind: 1, State: Running, StartedAt: start}}})
			}
		}
		for i := 0; i < len(out); i++ {
			if x := out[i]; x.ends <= now {
				out = append(out[:i], out[i+1:]...)
				load[x.w]--
				if x.r.requests[x.id] != nil {
					handle(x.r, Event{Kind: AttemptEnded, Request: x.id, Attempt: x.n, Worker: x.w, Outcome: x.o,
						Answered: x.o == Completed})
				}
				i = -1
			}
		}
		for i, rig := range rigs {
			if int(now/tick)%10 == i { // ten jobs a second each: far more than there is room for
				rig.next++
				handle(rig, Event{Kind: RequestArrived, Request: rig.next, Slots: 1, TimeLeft: 5 * time.Second,
					Work: time.Duration(300+rig.random.IntN(2000)) * time.Millisecond})
			}
			if rig.sweepScheduled && int(now/tick)%10 == 0 {
				handle(rig, Event{Kind: TimerFired, Timer: sweepTimer})
			}
		}
	}
	if len(cold) == 0 {
		t.Fatal("a cold worker got nothing at all")
	}
	failIfOverloaded(t, settings, capacity, start, cold)
}

// workSent is work sent to a cold worker.
type workSent struct {
	at   time.Duration
	work float64
}

// failIfOverloaded checks every fall window that ends with a send to a worker of that capacity and start.
func failIfOverloaded(t *testing.T, settings Settings, capacity float64, start time.Duration, sends []workSent) {
	t.Helper()
	for i, a := range sends {
		sum := 0.0
		for _, b := range sends[:i+1] {
			if b.at > a.at-settings.OverloadWindow {
				sum += b.work
			}
		}
		warmth := settings.SlowStartFloor + (1-settings.SlowStartFloor)*(a.at-start).Seconds()/settings.SlowStartDuration.Seconds()
		if budget := settings.OverloadMultiple * warmth * capacity * settings.OverloadWindow.Seconds(); sum > budget {
			t.Fatalf("%.2f s of work in a window whose budget is %.2f, %v after the start", sum, budget, a.at-start)
		}
	}
}

// With few dispatchers a part holds a job, and the pace to a cold worker is an even debt. When each job was drawn for,
// the jobs of four dispatchers fell together and pushed a newcomer over.
func TestSlowStartPaceIsEven(t *testing.T) {
	rig := newRig(t, testSettings(), 2)
	worker, warm := rig.fleet[0], rig.fleet[1]
	job := &request{class: &rig.settings.Classes[0], slots: 1, work: 1, cost: 1}
	worker.StartedAt, worker.slowStartBudgetAt, rig.warmWorkRatesAt = rig.now, rig.now, 0
	sent, last := 0, time.Duration(0)
	for end := rig.now + rig.settings.SlowStartDuration/2; rig.now < end; rig.Machine.now += 10 * time.Millisecond {
		warm.recentWork = decayingValue{4 * rig.planningHorizon.Seconds(), rig.now} // four slot-seconds a second
		if !rig.withinSlowStartBudget(job, worker) {
			continue
		}
		rate := slowStartSafety * rig.settings.OverloadMultiple * rig.capacityFraction(worker) * rig.warmWorkRate(0)
		if gap := (rig.now - last).Seconds(); sent > 1 && (gap < 0.9/rate || gap > 1.2/rate+0.02) {
			t.Fatalf("%.2f s between two jobs, the budget pays for one in %.2f s", gap, 1/rate)
		}
		sent, last = sent+1, rig.now
		worker.recentWork.add(rig.now, rig.planningHorizon, 1e-9) // the first has gone
		worker.slowStartBudget -= job.cost
	}
	if sent < 4 {
		t.Fatalf("%d jobs were sent", sent)
	}
}

// With many dispatchers a job is larger than the part for a window, and is drawn for each time. Taken on debt by all
// whose last, small job was paid for, such jobs pushed a newcomer over.
func TestLargeRequestsInSlowStartAreDrawnFor(t *testing.T) {
	settings := testSettings()
	settings.Peers = 100
	rig := newRig(t, settings, 2)
	worker := rig.fleet[0]
	for _, x := range rig.fleet {
		x.recentWork.add(rig.now, rig.planningHorizon, 0.04*rig.planningHorizon.Seconds())
	}
	job := &request{class: &rig.settings.Classes[0], slots: 1, work: 0.5, cost: 0.5, classMeanWork: 0.5}
	worker.StartedAt, rig.warmWorkRatesAt = rig.now-rig.settings.SlowStartDuration/2, 0
	taken := 0
	const tries = 1000
	for range tries {
		worker.slowStartBudgetAt, worker.slowStartBudget = rig.now, 0.01
		if rig.withinSlowStartBudget(job, worker) {
			taken++
		} else if worker.slowStartBudget != 0 {
			t.Fatal("what was staked is still there")
		}
	}
	if taken == 0 || taken > 2*tries*0.01/0.5 {
		t.Fatalf("%d of %d jobs taken, 20 are paid for", taken, tries)
	}
}

// A fleet that doubles under a hundred dispatchers, then a surge. Newcomers must carry load while they are cold,
// though each dispatcher's part of the cold budget is far below one job (they once stood idle until they
// were warm, beside a full old set), and what the parts had saved up must not push one over in the surge.
func TestSlowStartCarriesLoadUnderManyDispatchers(t *testing.T) {
	const peers, workers, capacity, tick = 100, 20, 4.0, 10 * time.Millisecond
	settings := testSettings()
	settings.Peers = peers
	type job struct {
		r    *rig
		id   uint64
		w    string
		ends time.Duration
	}
	var rigs []*rig
	for i := range peers {
		rigs = append(rigs, newSeededRig(t, settings, workers, uint64(i+1)))
	}
	var newcomers []Endpoint
	start, now := time.Hour+10*time.Second, time.Duration(time.Hour)
	for i := range workers {
		newcomers = append(newcomers, Endpoint{Name: fmt.Sprintf("new%d", i), StartedAt: start})
	}
	var out []job
	toNew, toAll := 0, 0
	sent := map[string][]workSent{}
	handle := func(rig *rig, event Event) {
		for _, action := range rig.handle(now, event) {
			if action.Kind != Assign {
				continue
			}
			work := rig.requests[action.Request].work
			out = append(out, job{rig, action.Request, action.Worker, now + seconds(work)})
			if now < start {
				continue
			}
			if toAll++; strings.HasPrefix(action.Worker, "new") {
				toNew++
				sent[action.Worker] = append(sent[action.Worker], workSent{now, work})
			}
		}
	}
	perTick := 0.7 * workers * capacity * tick.Seconds() / 0.35
	for due, next := 0.0, 0; now < start+settings.SlowStartDuration; now += tick {
		if now == start {
			for _, rig := range rigs {
				handle(rig, Event{Kind: ListUpdated, ListKind: ListDelta, Endpoints: newcomers})
			}
		}
		if due += perTick; now >= start+settings.SlowStartDuration/2 {
			due += 2 * perTick
		}
		for ; due >= 1; due-- {
			rig := rigs[next*37%peers]
			next++
			rig.next++
			handle(rig, Event{Kind: RequestArrived, Request: rig.next, Slots: 1, TimeLeft: 5 * time.Second,
				Work: time.Duration(100+rig.random.IntN(500)) * time.Millisecond})
		}
		ended := out
		out = nil
		for _, x := range ended {
			if x.ends > now {
				out = append(out, x)
			} else if request := x.r.requests[x.id]; request != nil {
				handle(x.r, Event{Kind: AttemptEnded, Request: x.id, Attempt: len(request.attempts) - 1, Worker: x.w,
					Outcome: Completed, Answered: true})
			}
		}
		for _, rig := range rigs {
			if rig.sweepScheduled && int(now/tick)%10 == 0 {
				handle(rig, Event{Kind: TimerFired, Timer: sweepTimer})
			}
		}
	}
	if share := float64(toNew) / float64(toAll); share < 0.15 {
		t.Errorf("%.1f%% of the jobs went to the cold half of the fleet", 100*share)
	} else {
		t.Logf("%.1f%% of the jobs went to the cold half of the fleet", 100*share)
	}
	for _, sends := range sent {
		failIfOverloaded(t, settings, capacity, start, sends)
	}
}

// A large fleet must not cost more CPU than a small one: scans of 300 workers at each event used up
// the dispatcher's share of CPU.
func TestPickDrawsAreBounded(t *testing.T) {
	rig := newRig(t, testSettings(), 300)
	rig.concurrencyPerWorker, rig.workRatePerWorker, rig.bucketTokens = 100, 100, 1e6
	for _, worker := range rig.fleet {
		worker.saturatedUntil = rig.now + time.Hour
	}
	rig.arrive(0)
	before, moved := slices.Clone(rig.warmWorkers), 0
	rig.pickFrom(rig.queue[0], rig.warmWorkers, inWarmWorkers)
	for i, worker := range rig.warmWorkers {
		if worker != before[i] {
			moved++
		}
	}
	if moved > 2*maxWarmDraws {
		t.Fatalf("%d workers were moved for one pick", moved)
	}
}

// A dispatcher with few jobs that spread them over a large fleet knew nothing current of any worker and
// opened a connection for each job. It keeps to a set of its own, but not when that set cannot take the job.
func TestFewRequestsKeepToTheSubset(t *testing.T) {
	rig := newRig(t, testSettings(), 200)
	used := map[string]bool{}
	for range 100 {
		id := rig.arrive(0)
		used[rig.assignedTo(id)] = true
		rig.endAttempt(id, 0, Completed, 10*time.Millisecond)
	}
	if len(used) > 2*minSubsetSize {
		t.Fatalf("100 jobs, one at a time, went to %d workers", len(used))
	}
	for _, worker := range rig.warmWorkers[:rig.subsetSize] {
		worker.saturatedUntil = rig.now + time.Hour
	}
	if w := rig.send(0); w == "" || used[w] {
		t.Fatalf("with its own set full, a job went to %q", w)
	}
	before := slices.Clone(rig.warmWorkers)
	rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListDelta, Endpoints: []Endpoint{{Name: "new"}}})
	moved := 0
	for i, worker := range before {
		if rig.warmWorkers[i] != worker {
			moved++
		}
	}
	if moved > 1 {
		t.Fatalf("one new worker moved %d others in the order of draws", moved)
	}
}

// Every dispatcher must draw an own set of its own: the same for all would overload a few workers.
func TestSubsetsDiffer(t *testing.T) {
	var heads []string
	for seed := range uint64(8) {
		heads = append(heads, newSeededRig(t, testSettings(), 100, seed).warmWorkers[0].Name)
	}
	slices.Sort(heads)
	if len(slices.Compact(heads)) < 5 {
		t.Fatalf("8 dispatchers begin with %v", heads)
	}
}

// What others have outstanding at a worker delays a job there as much as own jobs do.
func TestOthersOutstandingCounts(t *testing.T) {
	rig := newRig(t, testSettings(), 2)
	rig.concurrencyPerWorker = 100
	rig.handle(rig.now, Event{Kind: HealthChecked, Worker: "w0", Load: LoadReport{Outstanding: 5, HasOutstanding: true}})
	for range 3 {
		if rig.send(0) != "w1" {
			t.Fatal("a worker with five jobs of others was taken before an idle one")
		}
	}
}

// Work for a job must not grow with the fleet: counted by allocations and by workers moved in the order of
// draws, at fleets of a hundred to several thousand.
func TestWorkPerRequestDoesNotGrowWithTheFleet(t *testing.T) {
	counts := map[int]float64{}
	for _, workers := range []int{100, 1000, 8000} {
		rig := newRig(t, testSettings(), workers)
		out, id := make([]Action, 0, 64), uint64(1000)
		counts[workers] = testing.AllocsPerRun(200, func() {
			id++
			out = rig.Handle(rig.now, Event{Kind: RequestArrived, Request: id, Slots: 1, Work: time.Millisecond, TimeLeft: time.Second}, out[:0])
			w := rig.assignedTo(id)
			out = rig.Handle(rig.now+time.Millisecond, Event{Kind: AttemptEnded, Request: id, Worker: w, Answered: true}, out[:0])
		})
	}
	if counts[8000] > counts[100]+2 {
		t.Fatalf("allocations for a job by fleet size: %v", counts)
	}
}

// Lists may be long, name a worker twice, or shrink to nothing; none of it may break the bookkeeping.
func TestOddListsAreHarmless(t *testing.T) {
	rig := newRig(t, testSettings(), 0)
	var list []Endpoint
	for i := range 5000 {
		list = append(list, Endpoint{Name: fmt.Sprintf("w%d", i%4000), Zone: i % 3})
	}
	for range 2 {
		rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListSnapshot, Endpoints: list})
		near := 0
		for _, worker := range rig.fleet {
			if worker.Zone == rig.settings.Zone {
				near++
			}
		}
		if len(rig.fleet) != 4000 || len(rig.warmWorkers) != 4000 || len(rig.localWarmWorkers) != near || len(rig.workers) != 4000 {
			t.Fatalf("%d workers, %d to draw, %d of %d near", len(rig.fleet), len(rig.warmWorkers), len(rig.localWarmWorkers), near)
		}
	}
	if rig.send(0) == "" {
		t.Fatal("nothing is sent to a fleet of 4000")
	}
	rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListSnapshot})
	if rig.send(0) != "" || len(rig.warmWorkers)+len(rig.localWarmWorkers)+rig.runningCount+len(rig.eligible) != 0 {
		t.Fatal("an empty list leaves workers behind")
	}
	rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListSnapshot, Endpoints: list[:1]})
	if rig.send(0) != "w0" {
		t.Fatal("the first worker after an empty list is not used")
	}
}

// peers_total may be missing, or far above the jobs a second there are: one job at a time is let in still.
func TestAnyNumberOfPeersWorks(t *testing.T) {
	for _, peers := range []int{-1, 0, 1, 1e6} {
		settings := testSettings()
		settings.Peers = peers
		rig := newRig(t, settings, 4)
		for range 5 {
			id := rig.arrive(0)
			if rig.assignedTo(id) == "" {
				t.Fatalf("%d peers: an idle dispatcher holds a job back", peers)
			}
			rig.endAttempt(id, 0, Completed, time.Second)
		}
	}
}

// A new process knows nothing of the old one's failures or speed.
func TestRestartedWorkerIsUnknown(t *testing.T) {
	rig := newRig(t, testSettings(), 3)
	worker := rig.fleet[0]
	rig.setFailureScore(worker, 1, attemptsFail)
	worker.runTimeRatio = 9
	rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListDelta,
		Endpoints: []Endpoint{{Name: "w0", State: Running, StartedAt: rig.now - 20*time.Second}}})
	if worker.ejected || worker.runTimeRatio != 0 {
		t.Fatal("the old process is remembered")
	}
}

func TestAbsurdInputIsHarmless(t *testing.T) {
	rig := newRig(t, testSettings(), 3)
	for _, work := range []time.Duration{-1, 0, 1, math.MaxInt64, math.MinInt64} {
		for _, left := range []time.Duration{-time.Hour, 0, 1, math.MaxInt64} {
			for _, slots := range []float64{0, -1, math.NaN(), math.Inf(1), 1e300, 3} {
				id := rig.next
				rig.next++
				rig.handle(rig.now, Event{Kind: RequestArrived, Request: id, Slots: slots, Work: work, TimeLeft: left, Tenant: -7})
				if request := rig.requests[id]; request != nil && !(request.value >= 0 && request.cost > 0 && !math.IsInf(request.cost+request.value, 0)) {
					t.Fatalf("work %v, left %v, slots %v: %+v", work, left, slots, request)
				}
			}
		}
	}
	rig.handle(rig.now, Event{Kind: RequestArrived, Request: 1 << 40, Class: 99})
	if findAction(rig.actions, Fail) == nil {
		t.Fatal("an unknown class is not answered")
	}
	rig.solvePrices()
	if !(rig.workPrice >= 0 && rig.slotPrice >= 0) || math.IsInf(rig.workPrice+rig.slotPrice, 0) {
		t.Fatalf("prices %v, %v", rig.workPrice, rig.slotPrice)
	}
}

// All state of a request is released in the end, over many thousands and over restarts of workers.
func TestNothingLeaks(t *testing.T) {
	rig := newRig(t, testSettings(), 6)
	for i := range 30000 {
		id := rig.arrive(i % 2)
		if request := rig.requests[id]; request != nil && len(request.attempts) > 0 {
			outcome := []AttemptOutcome{Completed, Completed, Completed, Failed, Saturated, ConnectionLost}[i%6]
			rig.endAttempt(id, 0, outcome, 10*time.Millisecond)
			if request := rig.requests[id]; request != nil {
				rig.handle(rig.now, Event{Kind: ClientDisconnected, Request: id})
				for n := range request.attempts {
					if !request.attempts[n].ended {
						rig.endAttempt(id, n, Cancelled, time.Millisecond)
					}
				}
			}
		} else if request != nil {
			rig.handle(rig.now, Event{Kind: ClientDisconnected, Request: id})
		}
		if i%50 == 0 {
			rig.handle(rig.now, Event{Kind: TimerFired, Timer: sweepTimer})
			name := fmt.Sprintf("w%d", i/50%6)
			rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListDelta, Endpoints: []Endpoint{{Name: name, State: Removed}}})
			rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListDelta,
				Endpoints: []Endpoint{{Name: fmt.Sprintf("w%d", i/50%6), State: Running}}})
		}
	}
	rig.handle(rig.now, Event{Kind: TimerFired, Timer: sweepTimer})
	if n := len(rig.requests) + len(rig.unanswered) + len(rig.queue); n != 0 || rig.inFlight != 0 || rig.inFlightAtEjected != 0 {
		t.Fatalf("%d requests and %v slots held", n, rig.inFlight)
	}
	if len(rig.workers) != 6 || len(rig.fleet) != 6 || len(rig.mix) > 100 {
		t.Fatalf("%d workers, %d in the fleet, %d points", len(rig.workers), len(rig.fleet), len(rig.mix))
	}
}

func TestSettingsAreChecked(t *testing.T) {
	for field, change := range map[string]func(*Settings){
		"Classes is empty":                 func(settings *Settings) { settings.Classes = nil },
		"Classes[0].Deadline":              func(settings *Settings) { settings.Classes[0].Deadline = 0 },
		"Classes[1].PriorityWeight":        func(settings *Settings) { settings.Classes[1].PriorityWeight = math.NaN() },
		"Classes[1].ObjectiveStretch":      func(settings *Settings) { settings.Classes[1].ObjectiveStretch = -1 },
		"TenantQuotas[0]":                  func(settings *Settings) { settings.TenantQuotas = []float64{-1} },
		"OverQuotaWeight":                  func(settings *Settings) { settings.OverQuotaWeight = math.Inf(1) },
		"SlowStartFloor must be between 0": func(settings *Settings) { settings.SlowStartFloor = 2 },
		"Classes[0].Kinds":                 func(settings *Settings) { settings.Classes[0].Kinds = []int{} },
		"Classes[1].Zones":                 func(settings *Settings) { settings.Classes[1].Zones = []int{0, -1} },
		"Classes[1].Serialized":            func(settings *Settings) { settings.Classes[1].Serialized, settings.Classes[1].Streaming = true, true },
		"KeyCooldown":                      func(settings *Settings) { settings.KeyCooldown = -1 },
		"RetryBudgetFloor":                 func(settings *Settings) { settings.RetryBudgetFloor = math.NaN() },
		"RetryBudgetRatio":                 func(settings *Settings) { settings.RetryBudgetRatio = -1 },
		"RetryBudgetWindow":                func(settings *Settings) { settings.RetryBudgetRatio = 0.2 },
	} {
		settings := testSettings()
		change(&settings)
		if _, err := New(settings, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
	}
	machine, err := New(Settings{Classes: []Class{{Deadline: time.Second}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	if got := machine.Handle(1, Event{Kind: RequestArrived, Request: 1, TimeLeft: time.Second}, nil); findAction(got, SetTimer) == nil {
		t.Fatalf("bare settings: %v", got)
	}
}

// Rough hints: a hundred jobs picked for their small hints were twelve times larger than those said, and pushed a
// cold worker over (hcf25ac): 0.8 s by their hints, where it could do 7 in the window. They are charged more.
func TestSmallHintsDoNotFloodAWorkerInSlowStart(t *testing.T) {
	small := &request{slots: 1, work: 0.008, cost: 0.008, classMeanWork: 0.14}
	if c := small.slowStartCost(); c < 0.03 {
		t.Fatalf("a job that ran for 40 ms and more is charged %v s", c)
	}
	if large := (&request{slots: 2, work: 0.2, cost: 0.4, classMeanWork: 0.14}); large.slowStartCost() != large.cost {
		t.Fatal("a large hint is taken as it is")
	}
}

// Where a fetch has a price, all dispatchers send a key to the same few workers, and elsewhere when those are full:
// spread over the fleet, every job fetched what it needed anew.
func TestKeysHaveOwners(t *testing.T) {
	settings := testSettings()
	settings.CacheMissCost = 0.15
	homes := map[string]bool{}
	var rig *rig
	keyed := func() string { return rig.assignedTo(rig.arriveWithKey(0, "k")) }
	for seed := range uint64(20) {
		rig = newSeededRig(t, settings, 50, seed)
		homes[keyed()] = true
	}
	if len(homes) > 2 {
		t.Fatalf("20 dispatchers send one key to %d workers", len(homes))
	}
	for _, worker := range rig.ring {
		if homes[worker.Name] {
			worker.saturatedUntil = rig.now + time.Hour
		}
	}
	if w := keyed(); w == "" || homes[w] {
		t.Fatalf("sent to %q while the homes are full", w)
	}
}

// Live weights are the only word of others' load on workers that this dispatcher has not used lately.
func TestLoadAdjustedWeightsTellOthersLoad(t *testing.T) {
	settings := testSettings()
	settings.LoadAdjustedWeights = true
	rig := newRig(t, settings, 2)
	rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListDelta, Endpoints: []Endpoint{
		{Name: "w0", Weight: 2}, // it holds two requests a core, and did so when this dispatcher started
		{Name: "w1", Weight: 6},
	}})
	rig.expectAllAt("w1", "sent to the worker that others load")
}

// Connections that were dropped unseen while unused swallowed what was sent on them, at many workers at once
// (dolny-slask-pisma big-2). A later job that starts there tells; from then on old ones are closed before use.
func TestDeadConnectionsAreFoundAndClosed(t *testing.T) {
	settings := testSettings()
	settings.StartNotices, settings.StartsInOrder, settings.ConnectionIdleTimeout = true, true, 30*time.Second
	settings.Classes[1].LateWeight = 0.1 // one that earns nothing late is called off before the next job tells
	rig := newRig(t, settings, 1)
	first := rig.arrive(1)
	rig.endAttempt(first, 0, Completed, 100*time.Millisecond)
	rig.now += 6 * time.Second
	rig.connectionLostAt = rig.now // one was lost before: a single one may have another cause
	lost := rig.arrive(1)          // sent on the connection that was unused for 6 s
	if findAction(rig.actions, CloseIdle) != nil {
		t.Fatal("connections closed without a reason")
	}
	for range 40 {
		rig.handle(rig.now+rig.sweepInterval, Event{Kind: TimerFired, Timer: sweepTimer})
	}
	next := rig.arrive(1)
	if rig.assignedTo(next) == "" {
		t.Fatal("the worker is kept from work by a job that its connection lost")
	}
	rig.handle(rig.now+5*time.Millisecond, Event{Kind: AttemptStarted, Request: next, Worker: "w0"})
	if findAction(rig.actions, Fail) == nil || findAction(rig.actions, CancelAttempt) == nil || !rig.requests[lost].ended {
		t.Fatalf("a lost job is kept: %v", rig.actions)
	}
	if rig.workers["w0"].ejected || rig.safeIdleTime > 3*time.Second {
		t.Fatalf("suspect %v, bound %v", rig.workers["w0"].ejected, rig.safeIdleTime)
	}
	rig.endAttempt(next, 0, Completed, 100*time.Millisecond)
	rig.handle(rig.now, Event{Kind: AttemptEnded, Request: lost, Worker: "w0", Outcome: Cancelled})
	rig.now += 4 * time.Second
	if rig.arrive(1); findAction(rig.actions, CloseIdle) == nil || findAction(rig.actions, Assign) == nil {
		t.Fatalf("a connection unused for 4 s is used: %v", rig.actions)
	}
}

// A reset right after the send on an old connection is about the connection, not about the worker.
func TestResetOfAnOldConnectionBlamesNoWorker(t *testing.T) {
	settings := testSettings()
	settings.ConnectionIdleTimeout = 30 * time.Second
	rig := newRig(t, settings, 1)
	rig.endAttempt(rig.arrive(0), 0, Completed, 100*time.Millisecond)
	rig.now += 6 * time.Second
	rig.connectionLostAt = rig.now
	id := rig.arrive(0)
	rig.endAttempt(id, 0, ConnectionLost, time.Millisecond)
	if worker := rig.fleet[0]; worker.ejected || worker.failureScore.value > 0 || rig.safeIdleTime != 3*time.Second {
		t.Fatalf("failure score %v, bound %v", worker.failureScore.value, rig.safeIdleTime)
	}
}

// Given up means answered: a job that earns nothing once late is turned away when its aim passes.
func TestWorthlessRequestIsAnsweredAtOnce(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].LateWeight = 0
	rig := newRig(t, settings, 1)
	rig.fleet[0].saturatedUntil = rig.now + time.Hour
	id := rig.arrive(0)
	aim := rig.requests[id].objective
	for findAction(rig.actions, Reject) == nil {
		if rig.handle(rig.now+rig.sweepInterval, Event{Kind: TimerFired, Timer: sweepTimer}); rig.now > aim {
			t.Fatal("still waiting after its aim")
		}
	}
	if action := findAction(rig.actions, Reject); action.Request != id || action.Delay <= 0 {
		t.Fatalf("refusal %+v", action)
	}
}

// Once the budget is spent, a failed request is answered at once rather than tried again (dolny-slask-pisma: five
// further attempts where 14 requests allowed 3.8), and a window later there is room again.
// A keyed request that may have run and whose window for repeats is over has nothing to wait for: it is
// answered then, refused where any worker would know a repeat, else failed.
func TestRequestBeyondItsDedupWindowIsAnsweredAtOnce(t *testing.T) {
	for group, want := range map[DedupScope]ActionKind{DedupEverywhere: Reject, DedupWithinZone: Fail, DedupWithinCell: Fail} {
		for _, last := range []AttemptOutcome{Failed, Saturated} { // the window ends as it waits, and as it comes back
			settings := testSettings()
			settings.Classes[1].Idempotency, settings.Classes[1].DedupScope, settings.Classes[1].DedupWindow = Deduplicated, group, 1500*time.Millisecond
			settings.Classes[1].LatencyObjective, settings.Classes[1].ObjectiveStretch = 5*time.Second, 0
			rig := newRig(t, settings, 2)
			id := rig.arrive(1)
			sent := rig.requests[id].attempts[0].sentAt
			for _, worker := range rig.fleet {
				worker.saturatedUntil = rig.now + time.Hour
			}
			if last == Saturated {
				rig.fleet[0].saturatedUntil, rig.fleet[1].saturatedUntil = 0, 0
			}
			rig.endAttempt(id, 0, Failed, 100*time.Millisecond)
			if last == Saturated { // a repeat has gone out in time, and comes back late, never run
				if request := rig.requests[id]; request == nil || len(request.attempts) != 2 {
					t.Fatalf("group %d: not repeated in time", group)
				}
				if rig.endAttempt(id, 1, Saturated, 1500*time.Millisecond); findAction(rig.actions, want) == nil {
					t.Fatalf("group %d: not answered in the turn in which its last attempt came back", group)
				}
			}
			for findAction(rig.actions, want) == nil {
				if rig.handle(rig.now+rig.sweepInterval, Event{Kind: TimerFired, Timer: sweepTimer}); rig.now > sent+2*time.Second {
					t.Fatalf("group %d, %v: still waiting after its window", group, last)
				}
				if findAction(rig.actions, Assign) != nil {
					t.Fatalf("group %d, %v: repeated after its window", group, last)
				}
			}
			if rig.now < sent+1400*time.Millisecond {
				t.Errorf("group %d, %v: given up after %v, with the window still open", group, last, rig.now-sent)
			}
		}
	}
}

func TestRetryBudget(t *testing.T) {
	settings := testSettings()
	settings.RetryBudgetWindow, settings.RetryBudgetFloor, settings.RetryBudgetRatio = 10*time.Second, 1, 0.25
	rig := newRig(t, settings, 8)
	again := 0
	for range 8 {
		id := rig.arrive(0)
		rig.endAttempt(id, 0, ConnectionRefused, time.Millisecond)
		if findAction(rig.actions, Assign) != nil {
			again++
			rig.endAttempt(id, 1, Completed, time.Millisecond)
		} else if findAction(rig.actions, Reject) == nil {
			t.Fatalf("neither tried again nor answered: %v", rig.actions)
		}
	}
	if again < 1 || again > 3 {
		t.Fatalf("%d further attempts for 8 requests", again)
	}
	rig.now += settings.RetryBudgetWindow + 2*settings.Tick
	id := rig.arrive(0)
	if rig.endAttempt(id, 0, ConnectionRefused, time.Millisecond); findAction(rig.actions, Assign) == nil {
		t.Fatal("not tried again though the window has passed")
	}
}

// Requests of one key run one at a time, in the order in which they came, and after a reset the key rests
// (malopolska-zadania: one was sent while an earlier one was not over). Those without it, or of another, go on.
func TestSerializedKeysRunOneAtATime(t *testing.T) {
	settings := testSettings()
	settings.KeyCooldown = 300 * time.Millisecond
	settings.Classes[1].Serialized = true
	rig := newRig(t, settings, 8)
	send := func(key string) uint64 { return rig.arriveWithKey(1, key) }
	first, second := send("a"), send("a")
	if rig.assignedTo(first) == "" || rig.assignedTo(second) != "" {
		t.Fatal("two of a key at once")
	}
	if rig.assignedTo(send("b")) == "" || rig.assignedTo(send("")) == "" {
		t.Fatal("another key waits as well")
	}
	rig.endAttempt(first, 0, ConnectionLost, time.Millisecond)
	rig.handle(rig.now+299*time.Millisecond, Event{Kind: TimerFired, Timer: 1})
	if rig.assignedTo(second) != "" {
		t.Fatal("the key has not rested")
	}
	rig.handle(rig.now+2*time.Millisecond, Event{Kind: TimerFired, Timer: cooldownTimer})
	if rig.assignedTo(second) == "" {
		t.Fatal("not sent when its turn came")
	}
}

// A class bound to a kind or a zone is sent there only, also when all its workers are full, and 'full' is no proof
// where that is stated: a fragile request is then failed at once (wokanda-hosted).
func TestPlacementAndSaturationWithoutProof(t *testing.T) {
	settings := testSettings()
	settings.SaturatedMayHaveRun = true
	settings.Classes[1].Kinds, settings.Classes[1].Zones = []int{1}, []int{2}
	rig := newRig(t, settings, 4)
	rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListDelta, Endpoints: []Endpoint{
		{Name: "w0", Kind: 1}, {Name: "w1", Zone: 2}, {Name: "w2", Kind: 1, Zone: 2}}})
	id := rig.arrive(1)
	if rig.assignedTo(id) != "w2" {
		t.Fatalf("sent to %q", rig.assignedTo(id))
	}
	rig.endAttempt(id, 0, Saturated, time.Millisecond)
	if findAction(rig.actions, Fail) == nil || findAction(rig.actions, Assign) != nil || findAction(rig.actions, Reject) != nil {
		t.Fatalf("after 'full' without proof: %v", rig.actions)
	}
	rig.workers["w2"].saturatedUntil = rig.now + time.Hour
	if w := rig.send(1); w != "" {
		t.Fatalf("sent to %q though its only worker is full", w)
	}
}

// A reported backlog is others' load too: without it dispatchers with few jobs sent behind each other's (big-2 of
// dolny-slask-pisma).
func TestReportedBacklogCounts(t *testing.T) {
	rig := newRig(t, testSettings(), 2)
	rig.handle(rig.now, Event{Kind: HealthChecked, Worker: "w0", Load: LoadReport{Backlog: 3, HasBacklog: true}})
	rig.expectAllAt("w1", "sent to the worker with a backlog")
}

// Where clients do not mark repeats, each got a new aim and counted in the mix and against quotas again (i832186): the
// time left tells how long ago the first try was sent.
func TestUnmarkedRetriesKeepTheirObjective(t *testing.T) {
	rig := newRig(t, testSettings(), 4)
	first := rig.arrive(0)
	aim := rig.requests[first].objective
	rig.now += 2 * time.Second
	rig.handle(rig.now, Event{Kind: RequestArrived, Request: 99, Slots: 1, Work: time.Second, TimeLeft: 3 * time.Second})
	if request := rig.requests[99]; request == nil || request.objective != aim {
		t.Fatalf("the repeat of a job with its aim at %v: %+v", aim, request)
	}
	if _, jobs := rig.recentMix(); jobs > 1 {
		t.Fatalf("%v jobs in the mix", jobs)
	}
}

// A job that a worker calls unusable fails at once: it is not tried elsewhere, and neither that worker nor the
// fleet is blamed. Repeats of other clients' names once ejected one worker after the other and cut the
// ceilings. A worker that says so of all that it gets is at fault itself.
func TestInvalidRequestBlamesNoWorker(t *testing.T) {
	rig := newRig(t, testSettings(), 3)
	perSlot, worker := rig.concurrencyPerWorker, ""
	for i := range 2 * maxConsecutiveInvalid {
		id := rig.arrive(i % 2)
		out := rig.endAttempt(id, 0, InvalidRequest, time.Millisecond)
		if len(out) == 0 || out[0].Kind != Fail || out[0].Request != id || rig.requests[id] != nil {
			t.Fatalf("job %d: %+v", i, out)
		}
		good := rig.arrive(0)
		worker = rig.assignedTo(good)
		rig.endAttempt(good, 0, Completed, time.Second)
		for _, worker := range rig.fleet {
			worker.consecutiveInvalid = 0
		}
	}
	if rig.ejectedCount != 0 || rig.concurrencyPerWorker < perSlot || rig.inFlight != 0 {
		t.Errorf("%d suspects, ceiling %v of %v, %v in flight", rig.ejectedCount, rig.concurrencyPerWorker, perSlot, rig.inFlight)
	}
	rig.workers[worker].consecutiveInvalid = maxConsecutiveInvalid
	for {
		id := rig.arrive(0)
		if rig.assignedTo(id) != worker {
			rig.endAttempt(id, 0, Completed, time.Second)
			continue
		}
		if rig.endAttempt(id, 0, InvalidRequest, time.Millisecond); rig.requests[id] == nil || !rig.workers[worker].ejected {
			t.Error("a worker that can use nothing is believed")
		}
		break
	}
}

// A worker that turns away job after job of one class while it takes others gets that class ever more seldom,
// and the others as before. All attempts of such jobs once went to a few workers of that kind, and the last
// one was put off until it was late.
func TestClassTurnedAwayGoesElsewhere(t *testing.T) {
	settings := testSettings()
	settings.StartNotices = true
	rig := newRig(t, settings, 4)
	turned, picky := map[string]int{}, true
	serve := func(class int) { // also what was held back and is placed only now
		rig.arrive(class)
		for _, id := range slices.Sorted(maps.Keys(rig.requests)) {
			for n := 0; rig.requests[id] != nil && n < len(rig.requests[id].attempts); n++ {
				request := rig.requests[id]
				w := request.attempts[n].worker.Name
				if request.attempts[n].ended {
					continue
				}
				if picky && request.class == &rig.settings.Classes[1] && (w == "w0" || w == "w1") {
					turned[w]++
					rig.endAttempt(id, n, Saturated, time.Millisecond)
					continue
				}
				rig.handle(rig.now+time.Millisecond, Event{Kind: AttemptStarted, Request: id, Attempt: n, Worker: w})
				rig.endAttempt(id, n, Completed, 100*time.Millisecond)
			}
		}
	}
	for range 120 {
		serve(0)
		serve(1)
	}
	if n := turned["w0"] + turned["w1"]; n < 4 || n > 30 {
		t.Errorf("%d of 120 jobs were turned away by workers that do not take them", n)
	}
	// It is tried again, and believed.
	rig.now += 5 * time.Second
	picky = false
	for range 40 { // four at a time, lest the two known best serve them all
		rig.arrive(1)
		rig.arrive(1)
		rig.arrive(1)
		serve(1)
	}
	for _, worker := range rig.fleet {
		if u := worker.rejectionsOf(&rig.settings.Classes[1]); u.count != 0 || u.blockedUntil != 0 {
			t.Errorf("%s takes the class again, but is held to turn it away: %+v", worker.Name, *u)
		}
	}
}

// settingsWithoutHints are classes as another customer has them: no hints come, and an answer that is late earns nothing.
func settingsWithoutHints() Settings {
	settings := testSettings()
	settings.StartNotices = true
	for i := range settings.Classes {
		settings.Classes[i].LateWeight, settings.Classes[i].LatencyObjective = 0, time.Second
	}
	return settings
}

// On a busy day of comun-bucuresti seven in ten answers were late and earned nothing, since every worker's queue was
// full of jobs whose time was over. One that waits there and can't be in time any more is called off.
func TestWorthlessAttemptIsCancelledWhereItWaits(t *testing.T) {
	for class, answer := range []ActionKind{Reject, Fail} {
		for _, started := range []bool{false, true} {
			rig := newRig(t, settingsWithoutHints(), 1)
			id := rig.arrive(class) // runs for 1 s, and has 1 s + 2 x 1 s
			if rig.assignedTo(id) == "" {
				t.Fatal("not sent")
			}
			if started {
				rig.handle(rig.now, Event{Kind: AttemptStarted, Request: id, Worker: "w0"})
			}
			var actions []Action
			sweep := func(until time.Duration) {
				for rig.now < time.Hour+until {
					actions = append(actions, rig.handle(rig.now+rig.sweepInterval, Event{Kind: TimerFired, Timer: sweepTimer})...)
				}
			}
			if sweep(time.Second); findAction(actions, CancelAttempt) != nil || findAction(actions, answer) != nil {
				t.Fatalf("class %d is called off while it can be in time: %v", class, actions)
			}
			sweep(3 * time.Second)
			if off := findAction(actions, CancelAttempt) != nil && findAction(actions, answer) != nil; off == started {
				t.Fatalf("class %d, started %v, called off %v: %v", class, started, off, actions)
			}
		}
	}
}

// Where no hints come the aim stood for a job's run time, and jobs were held for hopeless that were not.
func TestRunTimesAreLearnedWithoutHints(t *testing.T) {
	rig := newRig(t, settingsWithoutHints(), 4)
	job := func(work time.Duration) *request {
		id := rig.next
		rig.next++
		rig.handle(rig.now, Event{Kind: RequestArrived, Request: id, Slots: 1, Work: work, TimeLeft: 5 * time.Second})
		return rig.requests[id]
	}
	for range 30 {
		request := job(0)
		rig.handle(rig.now+time.Second, Event{Kind: AttemptStarted, Request: request.id, Worker: rig.assignedTo(request.id)}) // waits are no part of it
		rig.endAttempt(request.id, 0, Completed, 300*time.Millisecond)
	}
	if got := job(0).work; got < 0.29 || got > 0.45 {
		t.Fatalf("jobs run for 0.3 s, %v s is expected", got)
	}
	if got := job(2 * time.Second).work; got != 2 {
		t.Fatalf("a hint of 2 s is taken for %v s", got)
	}
}

// A worker keeps what few keys name, and gets others from one store for all, which was overrun: run times rose
// threefold. Keys met seldom go to the same eight workers from every dispatcher; one met often would overrun
// those, and is kept everywhere anyway.
func TestRareKeysHaveOwnersWithoutAPrice(t *testing.T) {
	homes, often, trouble := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for seed := range uint64(60) {
		r := newSeededRig(t, testSettings(), 50, seed)
		homes[r.assignedTo(r.arriveWithKey(0, "k"))] = true
		for name, wrong := range map[string]func(*rig){
			"a suspect":         func(rig *rig) { rig.setFailureScore(rig.fleet[0], 1, attemptsFail) },
			"many bad outcomes": func(rig *rig) { rig.badRatio = overloadBadRatio },
		} { // then what is known of workers counts for more than what they keep
			rig := newSeededRig(t, testSettings(), 50, seed)
			wrong(rig)
			trouble[name+rig.assignedTo(rig.arriveWithKey(0, "k"))] = true
		}
		for range 8 {
			r.now += 5 * time.Second
			id := r.arriveWithKey(0, "k")
			often[r.assignedTo(id)] = true
			r.endAttempt(id, 0, Completed, time.Second)
		}
	}
	if len(homes) > maxOwners || len(homes) < maxOwners/2 {
		t.Fatalf("60 dispatchers send a rare key to %d workers", len(homes))
	}
	if len(trouble) < 2*3*maxOwners {
		t.Fatalf("in trouble they send a rare key to %d workers", len(trouble)/2)
	}
	if len(often) < 3*maxOwners {
		t.Fatalf("they send one that they meet all the time to %d", len(often))
	}
}
