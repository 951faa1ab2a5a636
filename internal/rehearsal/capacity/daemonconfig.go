package capacity

import (
	"encoding/json"
	"fmt"

	"hollyyoke.example/hollyyoke/internal/rehearsal/daemonconfig"
)

// daemonConfig is the daemon's configuration file.
type daemonConfig struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	AdminAddr string          `json:"admin_addr"`
	Limits    resourceLimits  `json:"limits"`
	Settings  json.RawMessage `json:"settings"`
}

type resourceLimits struct {
	MemoryMB    int `json:"memory_mb"`
	Descriptors int `json:"sockets"`
}

// dispatcherSettings is the settings object of the daemon's configuration. Its fields are named as those of package
// daemonconfig, from which it differs in that it has quotas of projects and writes its keys in another order.
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
	Name               string                   `json:"name"`
	Idempotency        daemonconfig.Idempotency `json:"repeat"`
	PriorityWeight     float64                  `json:"worth"`
	LateWeight         float64                  `json:"late_worth"`
	LatencyObjectiveUs int                      `json:"slo_us"`
	ObjectiveStretch   float64                  `json:"aim_stretch"`
	DeadlineUs         int                      `json:"deadline_us"`
}

type attemptLimits struct {
	Cancellation            bool `json:"cancel"`
	Hedging                 bool `json:"second_copies"`
	MaxAttempts             int  `json:"max_attempts"`
	ConnectTimeoutUs        int  `json:"connect_timeout_us"`
	ConnectionIdleTimeoutUs int  `json:"conn_idle_us"`
	MaxRetryAfterUs         int  `json:"max_retry_after_us"`
}

type workerRules struct {
	SlowStartFloor      float64 `json:"cold_from"`
	SlowStartDurationUs int     `json:"warm_after_us"`
	OverloadMultiple    float64 `json:"fall_multiple"`
	OverloadWindowUs    int     `json:"fall_us"`
	DrainGraceUs        int     `json:"drain_grace_us"`
}

type domainSettings struct {
	StartNotices       bool   `json:"tells_start"`
	ProgressIntervalUs int    `json:"progress_us"`
	QueueOrder         string `json:"queue_order"`
	FirstReport        string `json:"report_x0"` // what the value x0 of a load report means
}

// Zones is the number of zones of the target.
const Zones = 17

// zoneNames returns the names of the zones of the target.
func zoneNames() []string {
	names := make([]string, Zones)
	for i := range names {
		names[i] = fmt.Sprintf("zone-%02d", i+1)
	}
	return names
}

// Units of the settings, which are in microseconds.
const (
	millisecondUs = 1_000
	secondUs      = 1_000 * millisecondUs
)

// teamQuota is the quota of each team in requests per second. The measurements do not reach it.
const teamQuota = 1000

// settingsJSON returns the settings of a dispatcher in a fleet of peers dispatchers, with a quota for each team.
func settingsJSON(peers, teams int) (json.RawMessage, error) {
	settings := dispatcherSettings{
		ZoneNames: zoneNames(),
		KindNames: []string{kindName},
		Peers:     peers,
		TickUs:    2 * millisecondUs,
		WeightBy:  "work",
		Projects:  make([]projectQuota, teams),
		Classes: []classSettings{
			{
				Name:               "status-check",
				Idempotency:        daemonconfig.Retryable,
				PriorityWeight:     3,
				LateWeight:         0.25,
				LatencyObjectiveUs: 250 * millisecondUs,
				ObjectiveStretch:   2,
				DeadlineUs:         5 * secondUs,
			},
			{
				Name:               "renewal",
				Idempotency:        daemonconfig.Fragile,
				PriorityWeight:     5,
				LateWeight:         0.5,
				LatencyObjectiveUs: 200 * millisecondUs,
				ObjectiveStretch:   2,
				DeadlineUs:         8 * secondUs,
			},
		},
		Limits: attemptLimits{
			Cancellation:            true,
			Hedging:                 true,
			MaxAttempts:             3,
			ConnectTimeoutUs:        250 * millisecondUs,
			ConnectionIdleTimeoutUs: 10 * secondUs,
			MaxRetryAfterUs:         2 * secondUs,
		},
		Workers: workerRules{
			SlowStartFloor:      0.33,
			SlowStartDurationUs: 8_600 * millisecondUs,
			OverloadMultiple:    4,
			OverloadWindowUs:    secondUs,
			DrainGraceUs:        500 * millisecondUs,
		},
		Domain: domainSettings{
			StartNotices:       true,
			ProgressIntervalUs: secondUs,
			QueueOrder:         "fifo",
			FirstReport:        "free slots",
		},
	}
	for i := range settings.Projects {
		settings.Projects[i].PerSecond = teamQuota
	}
	return json.Marshal(settings)
}
