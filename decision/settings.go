package decision

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// Idempotency says whether a request may be sent again after an attempt that may have run.
type Idempotency uint8

// The values of Idempotency.
const (
	Idempotent    Idempotency = iota // may run any number of times
	Deduplicated                     // workers of one DedupScope discard repeats for a while
	NonIdempotent                    // must never run twice
)

// DedupScope names the workers that discard each other's repeats of a Deduplicated request.
type DedupScope uint8

// The values of DedupScope. A cell lies within one zone.
const (
	DedupEverywhere DedupScope = iota
	DedupWithinZone
	DedupWithinCell
)

// covers reports whether two workers discard each other's repeats.
func (s DedupScope) covers(a, b *worker) bool {
	return s == DedupEverywhere || a.Zone == b.Zone && (s == DedupWithinZone || a.Cell == b.Cell)
}

// Class describes one class of requests. An answer within the latency objective, LatencyObjective +
// ObjectiveStretch * work after the first try, earns PriorityWeight; a later one earns LateWeight of it.
type Class struct {
	Name             string  // for logs and wires; no decision rests on it
	PriorityWeight   float64 // what an answer within the latency objective earns
	LateWeight       float64 // fraction of PriorityWeight that a later answer earns
	LatencyObjective time.Duration
	ObjectiveStretch float64       // with LatencyObjective 0 as well, the objective is Deadline
	Deadline         time.Duration // how long a client waits in all
	Idempotency      Idempotency
	DedupScope       DedupScope    // for Deduplicated
	DedupWindow      time.Duration // for Deduplicated: how long the workers remember a request
	Kinds            []int         // the only machine kinds that may run the class; nil: any
	Zones            []int         // the only zones in which it may run; nil: any
	Serialized       bool          // requests of such classes with one key run one at a time, by arrival
	Streaming        bool          // the answer is a stream, announced by FirstByte
}

// mayRunOn reports whether a worker is open to the class, by its kind and zone in the latest list.
func (c *Class) mayRunOn(worker *worker) bool {
	return (c.Kinds == nil || slices.Contains(c.Kinds, worker.Kind)) &&
		(c.Zones == nil || slices.Contains(c.Zones, worker.Zone))
}

// Settings are fixed when a dispatcher starts, but for those of a SettingsChanged event. Only Classes is
// required, with the Deadline of each; for the rest the zero value is a safe default: what is not allowed
// is not done, and a rule whose span is 0 is off.
type Settings struct {
	Classes         []Class
	TenantQuotas    []float64     // requests a second over all dispatchers, by tenant; empty: no tenants
	OverQuotaWeight float64       // fraction of its weight that a request beyond its tenant's quota keeps
	WeightByWork    bool          // PriorityWeight counts per unit of work, not per request
	Zone            int           // zone of this dispatcher
	Peers           int           // dispatchers in this tier, itself included
	Tick            time.Duration // resolution of the caller's clock and timers

	ListBySubscription bool          // the endpoint list comes only after Subscribe
	ListPollInterval   time.Duration // the longest time without a call before the list counts as stale

	SlowStartFloor    float64       // part of its capacity that a worker has when it has just started
	SlowStartDuration time.Duration // it has all of it after this time
	OverloadMultiple  float64       // in slow start it is overloaded when sent this multiple of its capacity
	OverloadWindow    time.Duration // within a window of this length

	SaturatedMayHaveRun bool          // Saturated does not prove that an attempt never ran
	KeyCooldown         time.Duration // a key waits this long after an attempt that may still be running
	RetryBudgetWindow   time.Duration // in any such span, retries and hedges number at most RetryBudgetFloor
	RetryBudgetFloor    float64       // plus RetryBudgetRatio for each request that arrived in the span;
	RetryBudgetRatio    float64       // with a window of 0 they are not bounded

	MaxAttempts           int           // of one request, hedges included
	Hedging               bool          // a request may have two attempts outstanding at once
	Cancellation          bool          // CancelAttempt is allowed
	HealthChecks          bool          // CheckHealth is allowed
	LoadByHealthCheck     bool          // load reports come with health checks only
	MaxRetryAfter         time.Duration // the longest Delay of Reject
	ConnectTimeout        time.Duration
	ConnectionIdleTimeout time.Duration // connections unused for so long are closed by workers; 0: unknown
	SendNotices           bool          // AttemptSent says when the last byte has left; else Assign sends
	StartNotices          bool          // workers report when a request starts to run
	StartsInOrder         bool          // workers start waiting requests in the order in which they came
	ProgressInterval      time.Duration // interval of progress reports; 0: none
	CrossZoneCost         float64       // score lost when every attempt crosses zones
	CacheMissCost         float64       // score lost when each request's key misses the worker's cache
	ClientsMarkRetries    bool          // clients mark their own retries
	LoadAdjustedWeights   bool          // the list's weights fall with the load

	// What follows serves those who carry out the actions; no decision rests on it.

	ZoneNames  []string      // names of zones by their number
	KindNames  []string      // names of machine kinds by their number
	FreeSlots  string        // the field of a load report that gives the free slots; empty: none
	DrainGrace time.Duration // how long after it is known to drain a worker may still be sent to
}

// largeFleetThreshold is the largest number of dispatchers that may call for the endpoint list at the same
// moment: a list service that answers seven calls a second, and fails a call after two seconds, still
// serves that many.
const largeFleetThreshold = 8

// LargeFleet reports whether there are so many dispatchers that their calls for the endpoint list must be
// spread over time. The initial endpoint list serves meanwhile.
func (s *Settings) LargeFleet() bool { return s.Peers > largeFleetThreshold }

// normalize checks the settings and fills in what must not be zero. The caller's Classes stay as they are.
func (s *Settings) normalize() error {
	if len(s.Classes) == 0 {
		return errors.New("settings: Classes is empty")
	}
	s.Classes = slices.Clone(s.Classes)
	for i := range s.Classes {
		if err := s.Classes[i].normalize(i); err != nil {
			return err
		}
	}
	for i, quota := range s.TenantQuotas {
		if err := checkAmount(fmt.Sprintf("TenantQuotas[%d]", i), quota); err != nil {
			return err
		}
	}
	if err := checkAmount("OverQuotaWeight", s.OverQuotaWeight); err != nil {
		return err
	}
	if !(s.SlowStartFloor >= 0 && s.SlowStartFloor <= 1) { // NaN is refused as well
		return errors.New("settings: SlowStartFloor must be between 0 and 1")
	}
	if s.KeyCooldown < 0 {
		return errors.New("settings: KeyCooldown must not be negative")
	}
	if err := s.checkRetryBudget(); err != nil {
		return err
	}
	s.Peers = max(s.Peers, 1)
	s.MaxAttempts = max(s.MaxAttempts, 1)
	s.Tick = max(s.Tick, time.Microsecond)
	return nil
}

// normalize checks the class with that index in Settings.Classes, and gives it a latency objective.
func (c *Class) normalize(index int) error {
	if c.Deadline <= 0 {
		return fmt.Errorf("settings: Classes[%d].Deadline must be positive", index)
	}
	err := cmp.Or(checkPlacement(index, "Kinds", c.Kinds), checkPlacement(index, "Zones", c.Zones))
	if err != nil {
		return err
	}
	if c.LatencyObjective == 0 && c.ObjectiveStretch == 0 {
		c.LatencyObjective = c.Deadline
	}
	if c.Serialized && c.Streaming {
		return fmt.Errorf("settings: Classes[%d].Serialized: a Streaming class cannot be serialized", index)
	}
	prefix := fmt.Sprintf("Classes[%d].", index)
	return cmp.Or(
		checkAmount(prefix+"PriorityWeight", c.PriorityWeight),
		checkAmount(prefix+"LateWeight", c.LateWeight),
		checkAmount(prefix+"ObjectiveStretch", c.ObjectiveStretch),
		checkAmount(prefix+"LatencyObjective", c.LatencyObjective.Seconds()),
	)
}

func (s *Settings) checkRetryBudget() error {
	err := cmp.Or(
		checkAmount("RetryBudgetFloor", s.RetryBudgetFloor),
		checkAmount("RetryBudgetRatio", s.RetryBudgetRatio),
	)
	if err != nil {
		return err
	}
	if s.RetryBudgetWindow < 0 || s.RetryBudgetWindow == 0 && s.RetryBudgetFloor+s.RetryBudgetRatio > 0 {
		return errors.New("settings: RetryBudgetWindow must be positive " +
			"where RetryBudgetFloor or RetryBudgetRatio is given")
	}
	return nil
}

// checkAmount refuses a number that is negative, infinite or NaN.
func checkAmount(field string, x float64) error {
	if !(x >= 0) || math.IsInf(x, 0) {
		return fmt.Errorf("settings: %s must be finite and not negative", field)
	}
	return nil
}

// checkPlacement refuses a list of kinds or zones that is empty but not nil, or has a negative number.
func checkPlacement(class int, field string, list []int) error {
	if list != nil && (len(list) == 0 || slices.Min(list) < 0) {
		return fmt.Errorf("settings: Classes[%d].%s must name one at least, or be nil", class, field)
	}
	return nil
}
