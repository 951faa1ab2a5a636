package settings

import "time"

// microseconds is a duration in the settings object. It may have a fraction.
type microseconds float64

func (m microseconds) duration() time.Duration { return DurationFromMicroseconds(float64(m)) }

// wireSettings is the settings object. Numbers that are used as integers are decoded
// as floats, since senders write them with or without a fraction.
type wireSettings struct {
	ZoneNames       []string         `json:"areas"`
	KindNames       []string         `json:"kinds"`
	OverQuotaWeight float64          `json:"over_share_worth"`
	WeightBy        string           `json:"worth_by"`
	Zone            float64          `json:"my_zone"`
	Peers           float64          `json:"peers_total"`
	Tick            microseconds     `json:"tick_us"`
	Discovery       string           `json:"discovery"`
	Weights         string           `json:"weights"`
	Rules           wireRules        `json:"rules"`
	Limits          wireLimits       `json:"limits"`
	Reporting       wireReporting    `json:"reporting"`
	Prices          wirePrices       `json:"prices"`
	ClientHabits    wireClientHabits `json:"client_habits"`
	Domain          wireDomain       `json:"domain"`
	Projects        []wireProject    `json:"projects"`
	Classes         []wireClass      `json:"classes"`
}

type wireRules struct {
	ListPollInterval    microseconds `json:"ask_within_us"`
	SlowStartFloor      float64      `json:"cold_from"`
	SlowStartDuration   microseconds `json:"warm_after_us"`
	OverloadMultiple    float64      `json:"fall_multiple"`
	OverloadWindow      microseconds `json:"fall_us"`
	DrainGrace          microseconds `json:"drain_grace_us"`
	SaturatedMayHaveRun bool         `json:"busy_is_no_proof"`
	KeyCooldown         microseconds `json:"key_rest_us"`
	RetryBudgetWindow   microseconds `json:"look_back_us"`
	RetryBudgetFloor    float64      `json:"extra_floor"`
	RetryBudgetRatio    float64      `json:"extra_ratio"`
}

type wireLimits struct {
	MaxAttempts           float64      `json:"max_attempts"`
	Hedging               bool         `json:"second_copies"`
	Cancellation          bool         `json:"cancel"`
	HealthChecks          bool         `json:"probing"`
	MaxRetryAfter         microseconds `json:"max_retry_after_us"`
	ConnectTimeout        microseconds `json:"connect_timeout_us"`
	ConnectionIdleTimeout microseconds `json:"conn_idle_us"`
}

type wireReporting struct {
	Via string `json:"via"`
}

type wirePrices struct {
	CrossZone float64 `json:"cross_zone"`
	CacheMiss float64 `json:"origin"`
}

type wireClientHabits struct {
	MarkRetries bool `json:"marks_retry"`
}

type wireDomain struct {
	KindByClass         []float64    `json:"class_kind"` // negative for any kind
	StretchByClass      []float64    `json:"class_stretch"`
	ProgressInterval    microseconds `json:"progress_us"`
	QueueOrder          string       `json:"queue_order"`
	StartNotices        bool         `json:"tells_start"`
	FirstReportMeaning  string       `json:"report_x0"` // what the value x0 of load reports means
	SecondReportMeaning string       `json:"report_x1"` // what the value x1 of load reports means
}

type wireProject struct {
	Quota float64 `json:"quota_per_s"`
}

type wireClass struct {
	Name             string       `json:"name"`
	PriorityWeight   float64      `json:"worth"`
	LateWeight       float64      `json:"late_worth"`
	LatencyObjective microseconds `json:"slo_us"`
	Deadline         microseconds `json:"deadline_us"`
	ObjectiveStretch *float64     `json:"aim_stretch"`
	Idempotency      string       `json:"repeat"`
	DedupScope       string       `json:"group"`
	DedupWindow      microseconds `json:"window_us"`
	Kinds            []int        `json:"runs_on"`
	Zones            []int        `json:"confined_to"`
	Serialized       bool         `json:"one_at_a_time"`
	Streaming        bool         `json:"stream"`
}
