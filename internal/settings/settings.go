// Package settings reads the settings of a dispatcher. It decodes the settings object,
// a JSON object from the platform or the simulator, into decision.Settings, applies
// changes of single settings at run time, and reads workers' load reports and the
// operator's TOML file. No other package reads these formats. The package stores no
// settings; its types hold only what decoding needs.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"hollyyoke.example/hollyyoke/decision"
)

var idempotencyByName = map[string]decision.Idempotency{
	"retryable": decision.Idempotent,
	"dedup":     decision.Deduplicated,
	"fragile":   decision.NonIdempotent,
}

var dedupScopeByName = map[string]decision.DedupScope{
	"":     decision.DedupEverywhere,
	"all":  decision.DedupEverywhere,
	"zone": decision.DedupWithinZone,
	"cell": decision.DedupWithinCell,
}

// Values in the settings object.
const (
	weightByWork        = "work"
	listBySubscription  = "ask"
	loadByHealthCheck   = "probe"
	loadAdjusted        = "live"
	firstInFirstOut     = "fifo"
	freeSlotsReport     = "free slots"
	firstReportedValue  = "x0"
	secondReportedValue = "x1"
)

// maxMicroseconds is the limit to which durations in the settings object are clamped,
// so that the sum of a few of them does not overflow.
const maxMicroseconds = float64(math.MaxInt64 / 4000)

// DurationFromMicroseconds converts a number of microseconds, which may have a fraction, to a
// time.Duration of whole microseconds. Values out of range are clamped.
func DurationFromMicroseconds(number float64) time.Duration {
	return time.Duration(min(max(number, -maxMicroseconds), maxMicroseconds)) * time.Microsecond
}

// Read decodes the settings object. Unknown keys are ignored. If a value is invalid,
// Read returns an error that names the key.
func Read(raw []byte) (decision.Settings, error) {
	var wire wireSettings
	if err := json.Unmarshal(raw, &wire); err != nil {
		return decision.Settings{}, DecodeError(err)
	}
	settings := wire.settings()
	for _, project := range wire.Projects {
		settings.TenantQuotas = append(settings.TenantQuotas, project.Quota)
	}
	for i := range wire.Classes {
		class, err := wire.class(i)
		if err != nil {
			return decision.Settings{}, err
		}
		settings.Classes = append(settings.Classes, class)
	}
	return settings, nil
}

// DecodeError converts an error of encoding/json: if a value has the wrong type, the returned error names the key.
// Other errors are returned unchanged.
func DecodeError(err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) && typeError.Field != "" {
		return fmt.Errorf("%s: a %s cannot stand here", typeError.Field, typeError.Value)
	}
	return err
}

// settings returns the decoded settings, without those of the tenants and the classes.
func (w *wireSettings) settings() decision.Settings {
	return decision.Settings{
		OverQuotaWeight:       w.OverQuotaWeight,
		WeightByWork:          w.WeightBy == weightByWork,
		Zone:                  int(w.Zone),
		Peers:                 int(w.Peers),
		Tick:                  w.Tick.duration(),
		ListBySubscription:    w.Discovery == listBySubscription,
		ListPollInterval:      w.Rules.ListPollInterval.duration(),
		SlowStartFloor:        w.Rules.SlowStartFloor,
		SlowStartDuration:     w.Rules.SlowStartDuration.duration(),
		OverloadMultiple:      w.Rules.OverloadMultiple,
		OverloadWindow:        w.Rules.OverloadWindow.duration(),
		SaturatedMayHaveRun:   w.Rules.SaturatedMayHaveRun,
		KeyCooldown:           w.Rules.KeyCooldown.duration(),
		RetryBudgetWindow:     w.Rules.RetryBudgetWindow.duration(),
		RetryBudgetFloor:      w.Rules.RetryBudgetFloor,
		RetryBudgetRatio:      w.Rules.RetryBudgetRatio,
		MaxAttempts:           int(w.Limits.MaxAttempts),
		Hedging:               w.Limits.Hedging,
		Cancellation:          w.Limits.Cancellation,
		HealthChecks:          w.Limits.HealthChecks,
		LoadByHealthCheck:     w.Reporting.Via == loadByHealthCheck,
		MaxRetryAfter:         w.Limits.MaxRetryAfter.duration(),
		ConnectTimeout:        w.Limits.ConnectTimeout.duration(),
		ConnectionIdleTimeout: w.Limits.ConnectionIdleTimeout.duration(),
		StartNotices:          w.Domain.StartNotices,
		StartsInOrder:         w.Domain.QueueOrder == firstInFirstOut,
		ProgressInterval:      w.Domain.ProgressInterval.duration(),
		CrossZoneCost:         w.Prices.CrossZone,
		CacheMissCost:         w.Prices.CacheMiss,
		ClientsMarkRetries:    w.ClientHabits.MarkRetries,
		LoadAdjustedWeights:   w.Weights == loadAdjusted,
		ZoneNames:             w.ZoneNames,
		KindNames:             w.KindNames,
		DrainGrace:            w.Rules.DrainGrace.duration(),
		FreeSlotsField:        w.Domain.freeSlots(),
	}
}

// freeSlots returns the name of the value in load reports that counts free slots, or
// "" if there is none.
func (d *wireDomain) freeSlots() string {
	switch {
	case d.FirstReportMeaning == freeSlotsReport:
		return firstReportedValue
	case d.SecondReportMeaning == freeSlotsReport:
		return secondReportedValue
	}
	return ""
}

// class returns the decoded class with an index.
func (w *wireSettings) class(index int) (decision.Class, error) {
	wire := &w.Classes[index]
	idempotency, known := idempotencyByName[wire.Idempotency]
	if !known {
		return decision.Class{}, fmt.Errorf("classes[%d].repeat: unknown value %q", index, wire.Idempotency)
	}
	dedupScope, known := dedupScopeByName[wire.DedupScope]
	if !known {
		return decision.Class{}, fmt.Errorf("classes[%d].group: unknown value %q", index, wire.DedupScope)
	}
	return decision.Class{
		Name:             wire.Name,
		PriorityWeight:   wire.PriorityWeight,
		LateWeight:       wire.LateWeight,
		LatencyObjective: wire.LatencyObjective.duration(),
		ObjectiveStretch: w.objectiveStretch(index),
		Deadline:         wire.Deadline.duration(),
		Idempotency:      idempotency,
		DedupScope:       dedupScope,
		DedupWindow:      wire.DedupWindow.duration(),
		Kinds:            w.kinds(index),
		Zones:            wire.Zones,
		Serialized:       wire.Serialized,
		Streaming:        wire.Streaming,
	}, nil
}

// kinds returns the kinds of workers on which a class may run, or nil for all kinds.
// If both the class and the domain restrict them, both restrictions apply.
func (w *wireSettings) kinds(class int) []int {
	kinds := w.Classes[class].Kinds
	if class >= len(w.Domain.KindByClass) || w.Domain.KindByClass[class] < 0 {
		return kinds
	}
	kind := int(w.Domain.KindByClass[class])
	if kinds == nil {
		return []int{kind}
	}
	return slices.DeleteFunc(kinds, func(other int) bool { return other != kind })
}

// objectiveStretch returns the stretch that the class states or, if it states none,
// the stretch that the domain states for the class.
func (w *wireSettings) objectiveStretch(class int) float64 {
	own := w.Classes[class].ObjectiveStretch
	switch {
	case own != nil:
		return *own
	case class < len(w.Domain.StretchByClass):
		return w.Domain.StretchByClass[class]
	}
	return 0
}
