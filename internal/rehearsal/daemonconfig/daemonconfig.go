// Package daemonconfig has the parts of the daemon's configuration file that several rehearsals write. It only describes
// the file; reading and checking it belongs to the daemon and to package settings, whose names the fields have.
//
// Fields are in the alphabetical order of their keys, as the files have always been written. Keys that some rehearsals
// leave out are omitted if they are zero. Durations are in microseconds, as the keys say.
package daemonconfig

// Settings is the value of the configuration's key "settings".
type Settings struct {
	ZoneNames []string      `json:"areas"`
	Classes   []Class       `json:"classes"`
	Discovery string        `json:"discovery,omitempty"`
	Domain    Domain        `json:"domain"`
	KindNames []string      `json:"kinds"`
	Limits    AttemptLimits `json:"limits"`
	Zone      int           `json:"my_zone"`
	Peers     int           `json:"peers_total"`
	Reporting Reporting     `json:"reporting,omitzero"`
	Workers   WorkerRules   `json:"rules"`
	TickUs    int           `json:"tick_us"`
	WeightBy  string        `json:"worth_by,omitempty"`
}

// Class is a class of requests.
type Class struct {
	ObjectiveStretch   float64     `json:"aim_stretch"`
	DeadlineUs         int64       `json:"deadline_us"`
	LateWeight         float64     `json:"late_worth"`
	Name               string      `json:"name"`
	Idempotency        Idempotency `json:"repeat"`
	LatencyObjectiveUs int         `json:"slo_us"`
	PriorityWeight     float64     `json:"worth"`
}

// Idempotency says whether the requests of a class may be retried after they may have run.
type Idempotency string

// The values of Idempotency that rehearsals use.
const (
	Retryable Idempotency = "retryable"
	Fragile   Idempotency = "fragile"
)

// Domain describes the workers' protocol.
type Domain struct {
	ProgressIntervalUs int    `json:"progress_us,omitempty"`
	QueueOrder         string `json:"queue_order"`
	FirstReport        string `json:"report_x0"` // what a load report's x0 means
	OtherReport        string `json:"report_x1,omitempty"`
	StartNotices       bool   `json:"tells_start"`
}

// AttemptLimits bounds the attempts of a request.
type AttemptLimits struct {
	Cancellation            bool `json:"cancel"`
	ConnectionIdleTimeoutUs int  `json:"conn_idle_us"`
	ConnectTimeoutUs        int  `json:"connect_timeout_us"`
	MaxAttempts             int  `json:"max_attempts"`
	MaxRetryAfterUs         int  `json:"max_retry_after_us"`
	HealthChecks            bool `json:"probing"`
	Hedging                 bool `json:"second_copies"`
}

// Reporting says how workers send load reports.
type Reporting struct {
	Fields []string `json:"fields"`
	Via    string   `json:"via"`
}

// WorkerRules are the rules for workers that start, are overloaded or drain.
type WorkerRules struct {
	ListPollIntervalUs  int     `json:"ask_within_us,omitempty"`
	SlowStartFloor      float64 `json:"cold_from"`
	DrainGraceUs        int     `json:"drain_grace_us"`
	OverloadMultiple    int     `json:"fall_multiple"`
	OverloadWindowUs    int     `json:"fall_us"`
	SlowStartDurationUs float64 `json:"warm_after_us"`
}
