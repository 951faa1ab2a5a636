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
	Deduplicated                     // workers within the DedupScope discard repeats during the DedupWindow
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

// Class describes one class of requests. A response within the latency objective, LatencyObjective +
// ObjectiveStretch * work after the first try, earns PriorityWeight; a later one earns LateWeight of it.
type Class struct {
	Name             string  // for logs and protocols; no decision depends on it
	PriorityWeight   float64 // what a response within the latency objective earns
	LateWeight       float64 // fraction of PriorityWeight that a later response earns
	LatencyObjective time.Duration
	ObjectiveStretch float64       // if this and LatencyObjective are 0, the objective is Deadline
	Deadline         time.Duration // how long a client waits in total
	Idempotency      Idempotency
	DedupScope       DedupScope    // for Deduplicated
	DedupWindow      time.Duration // for Deduplicated: how long the workers detect repeats of a request
	Kinds            []int         // the only worker kinds that may run the class; nil: any
	Zones            []int         // the only zones in which the class may run; nil: any
	Serialized       bool          // requests of such classes with the same key run one at a time, by arrival
	Streaming        bool          // the response is a stream, whose beginning FirstByte reports
}

// mayRunOn reports whether the class may run on a worker, by the worker's kind and zone in the latest list.
func (c *Class) mayRunOn(worker *worker) bool {
	return (c.Kinds == nil || slices.Contains(c.Kinds, worker.Kind)) &&
		(c.Zones == nil || slices.Contains(c.Zones, worker.Zone))
}

// Settings are fixed when a dispatcher starts, except for those that a SettingsChanged event may change.
// Only Classes is required, with the Deadline of each. For all other fields the zero value is a safe
// default: optional actions are not taken, and rules with a duration or window of 0 are disabled.
type Settings struct {
	Classes         []Class
	TenantQuotas    []float64     // requests per second over all dispatchers, by tenant; empty: no tenants
	OverQuotaWeight float64       // fraction of its weight that a request beyond its tenant's quota keeps
	WeightByWork    bool          // PriorityWeight is per second of work, not per request
	Zone            int           // zone of this dispatcher
	Peers           int           // dispatchers in this tier, itself included
	Tick            time.Duration // resolution of the caller's clock and timers

	ListBySubscription bool          // updates of the endpoint list come only after Subscribe
	ListPollInterval   time.Duration // the longest time without a call before the list counts as stale

	SlowStartFloor    float64       // fraction of its capacity that a worker has when it has just started
	SlowStartDuration time.Duration // time after which a started worker has its full capacity
	OverloadMultiple  float64       // multiple of its capacity that overloads a worker in slow start
	OverloadWindow    time.Duration // length of the window in which that work is counted

	SaturatedMayHaveRun bool          // Saturated does not prove that an attempt never ran
	KeyCooldown         time.Duration // how long a key waits after an attempt that may still be running
	RetryBudgetWindow   time.Duration // window in which retries and hedges are limited; 0: no limit
	RetryBudgetFloor    float64       // retries and hedges that are allowed in any window
	RetryBudgetRatio    float64       // further ones that are allowed per request that arrived in the window

	MaxAttempts           int           // of one request, hedges included
	Hedging               bool          // a request may have two attempts outstanding at once
	Cancellation          bool          // CancelAttempt is allowed
	HealthChecks          bool          // CheckHealth is allowed
	LoadByHealthCheck     bool          // load reports come with health checks only
	MaxRetryAfter         time.Duration // the longest Delay of Reject
	ConnectTimeout        time.Duration
	ConnectionIdleTimeout time.Duration // idle time after which workers close a connection; 0: unknown
	SendNotices           bool          // AttemptSent reports the last byte sent; else Assign counts as sent
	StartNotices          bool          // workers report when a request starts to run
	StartsInOrder         bool          // workers start waiting requests in the order of their arrival
	ProgressInterval      time.Duration // interval of progress reports; 0: there are none
	CrossZoneCost         float64       // score lost when every attempt crosses zones
	CacheMissCost         float64       // score lost when each request's key misses the worker's cache
	ClientsMarkRetries    bool          // clients mark their own retries
	LoadAdjustedWeights   bool          // the weights in the endpoint list decrease with the workers' load

	// The following fields are for the code that carries out the actions; no decision depends on them.

	ZoneNames      []string      // names of zones by their number
	KindNames      []string      // names of worker kinds by their number
	FreeSlotsField string        // name of the load report's field with the free slots; empty: there is none
	DrainGrace     time.Duration // how long a worker may still be sent to after it is known to be draining
}

// manyDispatchersThreshold is the largest number of dispatchers that may call for the endpoint list at the
// same moment: a list service that answers seven calls per second, and fails a call after two seconds, can
// still serve that many.
const manyDispatchersThreshold = 8

// ManyDispatchers reports whether there are so many dispatchers that their calls for the endpoint list must
// be spread over time. Until its first call, a dispatcher uses the initial endpoint list.
func (s *Settings) ManyDispatchers() bool { return s.Peers > manyDispatchersThreshold }

// normalize checks the settings and replaces zero values that are not usable. It does not modify the
// caller's Classes.
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
	if !(s.SlowStartFloor >= 0 && s.SlowStartFloor <= 1) { // NaN is rejected as well
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

// normalize checks the class with that index in Settings.Classes, and sets its latency objective if it has
// none.
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

// checkAmount rejects a number that is negative, infinite or NaN.
func checkAmount(field string, x float64) error {
	if !(x >= 0) || math.IsInf(x, 0) {
		return fmt.Errorf("settings: %s must be finite and not negative", field)
	}
	return nil
}

// checkPlacement rejects a list of kinds or zones that is empty but not nil, or that has a negative number.
func checkPlacement(class int, field string, list []int) error {
	if list != nil && (len(list) == 0 || slices.Min(list) < 0) {
		return fmt.Errorf("settings: Classes[%d].%s must name one at least, or be nil", class, field)
	}
	return nil
}
