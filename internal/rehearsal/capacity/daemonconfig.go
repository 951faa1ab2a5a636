package capacity

import (
	"encoding/json"
	"fmt"
)

// daemonConfig is the daemon's configuration file.
type daemonConfig struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	AdminAddr string          `json:"admin_addr"`
	Limits    processLimits   `json:"limits"`
	Settings  json.RawMessage `json:"settings"`
}

type processLimits struct {
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// dispatcherSettings is the settings object, as internal/settings reads it.
type dispatcherSettings struct {
	ZoneNames []string        `json:"areas"`
	KindNames []string        `json:"kinds"`
	Zone      int             `json:"my_zone"`
	Peers     int             `json:"peers_total"`
	TickUs    int             `json:"tick_us"`
	WeightBy  string          `json:"worth_by"`
	Projects  []projectQuota  `json:"projects"`
	Classes   []classSettings `json:"classes"`
	Limits    attemptLimits   `json:"limits"`
	Workers   workerRules     `json:"rules"`
	Domain    domainSettings  `json:"domain"`
}

type projectQuota struct {
	PerSecond float64 `json:"quota_per_s"`
}

type classSettings struct {
	Name             string  `json:"name"`
	Idempotency      string  `json:"repeat"`
	PriorityWeight   float64 `json:"worth"`
	LateWeight       float64 `json:"late_worth"`
	ObjectiveUs      int     `json:"slo_us"`
	ObjectiveStretch float64 `json:"aim_stretch"`
	DeadlineUs       int     `json:"deadline_us"`
}

type attemptLimits struct {
	Cancellation     bool `json:"cancel"`
	Hedging          bool `json:"second_copies"`
	MaxAttempts      int  `json:"max_attempts"`
	ConnectTimeoutUs int  `json:"connect_timeout_us"`
	ConnIdleUs       int  `json:"conn_idle_us"`
	MaxRetryAfterUs  int  `json:"max_retry_after_us"`
}

type workerRules struct {
	SlowStartFloor      float64 `json:"cold_from"`
	SlowStartDurationUs int     `json:"warm_after_us"`
	OverloadMultiple    float64 `json:"fall_multiple"`
	OverloadWindowUs    int     `json:"fall_us"`
	DrainGraceUs        int     `json:"drain_grace_us"`
}

type domainSettings struct {
	StartNotices    bool   `json:"tells_start"`
	ProgressUs      int    `json:"progress_us"`
	QueueOrder      string `json:"queue_order"`
	LoadReportField string `json:"report_x0"`
}

// zoneNames returns the names of the zones of the target.
func zoneNames() []string {
	names := make([]string, Zones)
	for i := range names {
		names[i] = fmt.Sprintf("zone-%02d", i+1)
	}
	return names
}

// settingsJSON returns the settings of one of a number of dispatchers, with a quota for each team.
func settingsJSON(peers, teams int) (json.RawMessage, error) {
	settings := dispatcherSettings{ZoneNames: zoneNames(), KindNames: []string{kindName}, Peers: peers, TickUs: 2000, WeightBy: "work",
		Projects: make([]projectQuota, teams),
		Classes: []classSettings{
			{Name: "status-check", Idempotency: "retryable", PriorityWeight: 3, LateWeight: 0.25, ObjectiveUs: 250_000, ObjectiveStretch: 2, DeadlineUs: 5_000_000},
			{Name: "renewal", Idempotency: "fragile", PriorityWeight: 5, LateWeight: 0.5, ObjectiveUs: 200_000, ObjectiveStretch: 2, DeadlineUs: 8_000_000},
		},
		Limits:  attemptLimits{Cancellation: true, Hedging: true, MaxAttempts: 3, ConnectTimeoutUs: 250_000, ConnIdleUs: 10_000_000, MaxRetryAfterUs: 2_000_000},
		Workers: workerRules{SlowStartFloor: 0.33, SlowStartDurationUs: 8_600_000, OverloadMultiple: 4, OverloadWindowUs: 1_000_000, DrainGraceUs: 500_000},
		Domain:  domainSettings{StartNotices: true, ProgressUs: 1_000_000, QueueOrder: "fifo", LoadReportField: "free slots"},
	}
	const quota = 1000 // per second; one dispatcher does not reach it here
	for i := range settings.Projects {
		settings.Projects[i].PerSecond = quota
	}
	return json.Marshal(settings)
}

// Zones is the number of zones of the target.
const Zones = 17
