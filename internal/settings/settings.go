// Package settings reads the settings that a dispatcher is told, as JSON, into
// the module's Settings: the one reader for the adapter and the daemon. It must
// never hold a settings type of its own beyond what decoding needs, nor guess
// at a value that a rule rests on.
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

var repeats = map[string]decision.Idempotency{
	"retryable": decision.Idempotent, "dedup": decision.Deduplicated, "fragile": decision.NonIdempotent,
}

var groups = map[string]decision.DedupScope{
	"": decision.DedupEverywhere, "all": decision.DedupEverywhere,
	"zone": decision.DedupWithinZone, "cell": decision.DedupWithinCell,
}

// micros is a time on the wire: microseconds, whole or not.
type micros float64

func (m micros) duration() time.Duration {
	const most = float64(math.MaxInt64 / 4000)
	return time.Duration(min(max(float64(m), -most), most)) * time.Microsecond
}

// Read reads the settings object. Keys that it does not know are passed over.
func Read(raw []byte) (s decision.Settings, err error) {
	var w struct {
		Areas          []string `json:"areas"`
		Kinds          []string `json:"kinds"`
		OverShareWorth float64  `json:"over_share_worth"`
		WorthBy        string   `json:"worth_by"`
		MyZone         float64  `json:"my_zone"`
		PeersTotal     float64  `json:"peers_total"`
		Tick           micros   `json:"tick_us"`
		Discovery      string   `json:"discovery"`
		Weights        string   `json:"weights"`
		Rules          struct {
			AskWithin  micros  `json:"ask_within_us"`
			ColdFrom   float64 `json:"cold_from"`
			WarmAfter  micros  `json:"warm_after_us"`
			Fall       float64 `json:"fall_multiple"`
			FallWindow micros  `json:"fall_us"`
			DrainGrace micros  `json:"drain_grace_us"`
			BusyNo     bool    `json:"busy_is_no_proof"`
			KeyRest    micros  `json:"key_rest_us"`
			LookBack   micros  `json:"look_back_us"`
			ExtraFloor float64 `json:"extra_floor"`
			ExtraRatio float64 `json:"extra_ratio"`
		} `json:"rules"`
		Limits struct {
			MaxAttempts    float64 `json:"max_attempts"`
			SecondCopies   bool    `json:"second_copies"`
			Cancel         bool    `json:"cancel"`
			Probing        bool    `json:"probing"`
			MaxRetryAfter  micros  `json:"max_retry_after_us"`
			ConnectTimeout micros  `json:"connect_timeout_us"`
			ConnIdle       micros  `json:"conn_idle_us"`
		} `json:"limits"`
		Reporting struct {
			Via string `json:"via"`
		} `json:"reporting"`
		Prices struct {
			CrossZone float64 `json:"cross_zone"`
			Origin    float64 `json:"origin"`
		} `json:"prices"`
		Habits struct {
			MarksRetry bool `json:"marks_retry"`
		} `json:"client_habits"`
		Domain struct {
			ClassKind    []float64 `json:"class_kind"`
			ClassStretch []float64 `json:"class_stretch"`
			Progress     micros    `json:"progress_us"`
			QueueOrder   string    `json:"queue_order"`
			TellsStart   bool      `json:"tells_start"`
			ReportX0     string    `json:"report_x0"`
			ReportX1     string    `json:"report_x1"`
		} `json:"domain"`
		Projects []struct {
			Quota float64 `json:"quota_per_s"`
		} `json:"projects"`
		Classes []struct {
			Name       string   `json:"name"`
			Worth      float64  `json:"worth"`
			LateWorth  float64  `json:"late_worth"`
			Aim        micros   `json:"slo_us"`
			Deadline   micros   `json:"deadline_us"`
			Stretch    *float64 `json:"aim_stretch"`
			Repeat     string   `json:"repeat"`
			Group      string   `json:"group"`
			Window     micros   `json:"window_us"`
			RunsOn     []int    `json:"runs_on"`
			ConfinedTo []int    `json:"confined_to"`
			InTurn     bool     `json:"one_at_a_time"`
			Stream     bool     `json:"stream"`
		} `json:"classes"`
	}
	if err := json.Unmarshal(raw, &w); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) && wrong.Field != "" {
			return s, fmt.Errorf("%s: a %s cannot stand here", wrong.Field, wrong.Value)
		}
		return s, err
	}
	s = decision.Settings{
		OverQuotaWeight:       w.OverShareWorth,
		WeightByWork:          w.WorthBy == "work",
		Zone:                  int(w.MyZone),
		Peers:                 int(w.PeersTotal),
		Tick:                  w.Tick.duration(),
		ListBySubscription:    w.Discovery == "ask",
		ListPollInterval:      w.Rules.AskWithin.duration(),
		SlowStartFloor:        w.Rules.ColdFrom,
		SlowStartDuration:     w.Rules.WarmAfter.duration(),
		OverloadMultiple:      w.Rules.Fall,
		OverloadWindow:        w.Rules.FallWindow.duration(),
		SaturatedMayHaveRun:   w.Rules.BusyNo,
		KeyCooldown:           w.Rules.KeyRest.duration(),
		RetryBudgetWindow:     w.Rules.LookBack.duration(),
		RetryBudgetFloor:      w.Rules.ExtraFloor,
		RetryBudgetRatio:      w.Rules.ExtraRatio,
		MaxAttempts:           int(w.Limits.MaxAttempts),
		Hedging:               w.Limits.SecondCopies,
		Cancellation:          w.Limits.Cancel,
		HealthChecks:          w.Limits.Probing,
		LoadByHealthCheck:     w.Reporting.Via == "probe",
		MaxRetryAfter:         w.Limits.MaxRetryAfter.duration(),
		ConnectTimeout:        w.Limits.ConnectTimeout.duration(),
		ConnectionIdleTimeout: w.Limits.ConnIdle.duration(),
		StartNotices:          w.Domain.TellsStart,
		StartsInOrder:         w.Domain.QueueOrder == "fifo",
		ProgressInterval:      w.Domain.Progress.duration(),
		CrossZoneCost:         w.Prices.CrossZone,
		CacheMissCost:         w.Prices.Origin,
		ClientsMarkRetries:    w.Habits.MarksRetry,
		LoadAdjustedWeights:   w.Weights == "live",
		ZoneNames:             w.Areas,
		KindNames:             w.Kinds,
		DrainGrace:            w.Rules.DrainGrace.duration(),
	}
	const freeSlots = "free slots"
	switch {
	case w.Domain.ReportX0 == freeSlots:
		s.FreeSlots = "x0"
	case w.Domain.ReportX1 == freeSlots:
		s.FreeSlots = "x1"
	}
	for _, t := range w.Projects {
		s.TenantQuotas = append(s.TenantQuotas, t.Quota)
	}
	for i, c := range w.Classes {
		class := decision.Class{
			Name: c.Name, PriorityWeight: c.Worth, LateWeight: c.LateWorth,
			LatencyObjective: c.Aim.duration(), Deadline: c.Deadline.duration(), DedupWindow: c.Window.duration(),
			Kinds: c.RunsOn, Zones: c.ConfinedTo, Serialized: c.InTurn, Streaming: c.Stream,
		}
		var ok bool
		if class.Idempotency, ok = repeats[c.Repeat]; !ok {
			return s, fmt.Errorf("classes[%d].repeat: unknown value %q", i, c.Repeat)
		}
		if class.DedupScope, ok = groups[c.Group]; !ok {
			return s, fmt.Errorf("classes[%d].group: unknown value %q", i, c.Group)
		}
		if i < len(w.Domain.ClassKind) && w.Domain.ClassKind[i] >= 0 { // a second bound to kinds: both hold
			kind := int(w.Domain.ClassKind[i])
			if class.Kinds == nil {
				class.Kinds = []int{kind}
			}
			class.Kinds = slices.DeleteFunc(class.Kinds, func(k int) bool { return k != kind })
		}
		switch {
		case c.Stretch != nil:
			class.ObjectiveStretch = *c.Stretch
		case i < len(w.Domain.ClassStretch):
			class.ObjectiveStretch = w.Domain.ClassStretch[i]
		}
		s.Classes = append(s.Classes, class)
	}
	return s, nil
}

// Load reads a load report, by the names of the settings or by the plain ones
// that backends use. What no decision rests on is passed over.
func Load(s *decision.Settings, raw []byte) (l decision.LoadReport) {
	var report map[string]any
	if json.Unmarshal(raw, &report) != nil {
		return l // a report that cannot be read tells nothing
	}
	value := func(names ...string) (float64, bool) {
		for _, name := range names {
			if x, ok := report[name].(float64); ok && name != "" {
				return x, true
			}
		}
		return 0, false
	}
	l.FreeSlots, l.HasFreeSlots = value(s.FreeSlots)
	l.Outstanding, l.HasOutstanding = value("outstanding", "inflight")
	l.Backlog, l.HasBacklog = value("backlog", "queue")
	return l
}
