package scale

import "encoding/json"

// dispatcherConfig is the value of a configuration's key "settings". The fields are in the order of their keys.
type dispatcherConfig struct {
	Areas      []string       `json:"areas"`
	Classes    []classConfig  `json:"classes"`
	Discovery  string         `json:"discovery"`
	Domain     domainConfig   `json:"domain"`
	Kinds      []string       `json:"kinds"`
	Limits     attemptLimits  `json:"limits"`
	Zone       int            `json:"my_zone"`
	PeersTotal int            `json:"peers_total"`
	Workers    workerSettings `json:"rules"`
	TickUs     int            `json:"tick_us"`
}

type classConfig struct {
	ObjectiveStretch float64 `json:"aim_stretch"`
	DeadlineUs       int     `json:"deadline_us"`
	LateWeight       float64 `json:"late_worth"`
	Name             string  `json:"name"`
	Idempotency      string  `json:"repeat"`
	ObjectiveUs      int     `json:"slo_us"`
	PriorityWeight   float64 `json:"worth"`
}

type domainConfig struct {
	QueueOrder      string `json:"queue_order"`
	LoadReportField string `json:"report_x0"`
	StartNotices    bool   `json:"tells_start"`
}

type attemptLimits struct {
	Cancellation     bool `json:"cancel"`
	ConnIdleUs       int  `json:"conn_idle_us"`
	ConnectTimeoutUs int  `json:"connect_timeout_us"`
	MaxAttempts      int  `json:"max_attempts"`
	MaxRetryAfterUs  int  `json:"max_retry_after_us"`
	HealthChecks     bool `json:"probing"`
	Hedging          bool `json:"second_copies"`
}

type workerSettings struct {
	PollIntervalUs   int     `json:"ask_within_us"`
	SlowStartFloor   float64 `json:"cold_from"`
	DrainGraceUs     int     `json:"drain_grace_us"`
	OverloadMultiple int     `json:"fall_multiple"`
	OverloadWindowUs int     `json:"fall_us"`
	SlowStartUs      float64 `json:"warm_after_us"`
}

// secondUs is a second in microseconds.
const secondUs = 1_000_000

// dispatcherSettings returns the settings of a dispatcher of a run, hollow or real.
func dispatcherSettings(scenario *Scenario, zones []string, zone int) json.RawMessage {
	class := func(name, idempotency string, weight float64) classConfig {
		return classConfig{
			Name:             name,
			Idempotency:      idempotency,
			PriorityWeight:   weight,
			LateWeight:       0.25,
			ObjectiveUs:      secondUs,
			ObjectiveStretch: 2,
			DeadlineUs:       8 * secondUs,
		}
	}
	config := dispatcherConfig{
		Areas:      zones,
		Classes:    []classConfig{class("status-check", "retryable", 3), class("renewal", "fragile", 5)},
		Discovery:  "ask",
		Domain:     domainConfig{QueueOrder: "fifo", LoadReportField: "free slots", StartNotices: true},
		Kinds:      []string{"standard"},
		Zone:       zone,
		PeersTotal: scenario.Dispatchers + scenario.Daemons,
		TickUs:     2000,
		Limits: attemptLimits{
			Cancellation:     true,
			ConnIdleUs:       10 * secondUs,
			ConnectTimeoutUs: secondUs / 4,
			MaxAttempts:      3,
			MaxRetryAfterUs:  2 * secondUs,
			Hedging:          true,
		},
		Workers: workerSettings{
			PollIntervalUs:   10 * secondUs,
			SlowStartFloor:   0.33,
			DrainGraceUs:     secondUs / 2,
			OverloadMultiple: 4,
			OverloadWindowUs: secondUs,
			SlowStartUs:      scenario.SlowStartS * secondUs,
		},
	}
	text, _ := json.Marshal(config) // strings and numbers always marshal
	return text
}
