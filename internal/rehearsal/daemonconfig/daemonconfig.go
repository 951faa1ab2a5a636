// Package daemonconfig defines the parts of the daemon's configuration file that several rehearsals write. It only
// describes the file. The daemon and package settings read and check it; the fields have the names that package settings
// uses.
//
// The fields are in the alphabetical order of their keys, in which the files have always been written. Keys that some
// rehearsals leave out are omitted if their values are zero. A field whose name ends in Us holds microseconds.
package daemonconfig

// Settings is the value of the key "settings" in the configuration file.
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

// Idempotency tells whether a request of a class may be retried after an earlier attempt of it may have run.
type Idempotency string

// The values of Idempotency that rehearsals use.
const (
	Retryable Idempotency = "retryable"
	Fragile   Idempotency = "fragile"
)

// Domain describes the protocol that the workers implement.
type Domain struct {
	ProgressIntervalUs int    `json:"progress_us,omitempty"`
	QueueOrder         string `json:"queue_order"`
	FirstReport        string `json:"report_x0"`           // meaning of the field x0 of a load report
	OtherReport        string `json:"report_x1,omitempty"` // meaning of the field x1
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

// Reporting describes how workers send load reports.
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
