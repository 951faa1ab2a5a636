package scale

import (
	"encoding/json"

	"hollyyoke.example/hollyyoke/internal/rehearsal/daemonconfig"
)

// Units of the settings, which are in microseconds.
const (
	millisecondUs = 1_000
	secondUs      = 1_000 * millisecondUs
)

// dispatcherSettings returns the settings of a dispatcher of a run. Hollow dispatchers and daemons have the same.
func dispatcherSettings(scenario *Scenario, zones []string, zone int) json.RawMessage {
	settings := daemonconfig.Settings{
		ZoneNames: zones,
		Classes: []daemonconfig.Class{
			classSettings("status-check", daemonconfig.Retryable, 3),
			classSettings("renewal", daemonconfig.Fragile, 5),
		},
		Discovery: "ask",
		Domain:    daemonconfig.Domain{QueueOrder: "fifo", FirstReport: "free slots", StartNotices: true},
		KindNames: []string{"standard"},
		Limits: daemonconfig.AttemptLimits{
			Cancellation:            true,
			ConnectionIdleTimeoutUs: 10 * secondUs,
			ConnectTimeoutUs:        250 * millisecondUs,
			MaxAttempts:             3,
			MaxRetryAfterUs:         2 * secondUs,
			Hedging:                 true,
		},
		Zone:  zone,
		Peers: scenario.Dispatchers + scenario.Daemons,
		Workers: daemonconfig.WorkerRules{
			ListPollIntervalUs:  10 * secondUs,
			SlowStartFloor:      0.33,
			DrainGraceUs:        500 * millisecondUs,
			OverloadMultiple:    4,
			OverloadWindowUs:    secondUs,
			SlowStartDurationUs: scenario.SlowStartS * secondUs,
		},
		TickUs: 2 * millisecondUs,
	}
	text, _ := json.Marshal(settings) // strings and numbers always marshal
	return text
}

func classSettings(name string, idempotency daemonconfig.Idempotency, priorityWeight float64) daemonconfig.Class {
	return daemonconfig.Class{
		Name:               name,
		Idempotency:        idempotency,
		PriorityWeight:     priorityWeight,
		LateWeight:         0.25,
		LatencyObjectiveUs: secondUs,
		ObjectiveStretch:   2,
		DeadlineUs:         8 * secondUs,
	}
}
