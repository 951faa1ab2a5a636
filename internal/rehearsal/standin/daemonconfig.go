package standin

import (
	"encoding/json"
	"fmt"
)

// daemonConfig is the daemon's configuration file, with the keys that a rehearsal sets. Fields are
// in the alphabetical order of their keys, as the file's have always been.
type daemonConfig struct {
	AdminAddr string         `json:"admin_addr"`
	Discovery string         `json:"discovery"`
	Limits    resourceLimits `json:"limits"`
	Listen    string         `json:"listen"`
	Name      string         `json:"name"`
	Seed      string         `json:"seed"`
	Settings  daemonSettings `json:"settings"`
}

type resourceLimits struct {
	MemoryMB    int `json:"memory_mb"`
	Descriptors int `json:"sockets"`
}

type daemonSettings struct {
	Areas      []string          `json:"areas"`
	Classes    []classSettings   `json:"classes"`
	Domain     domainSettings    `json:"domain"`
	Kinds      []string          `json:"kinds"`
	Limits     limitSettings     `json:"limits"`
	MyZone     int               `json:"my_zone"`
	PeersTotal int               `json:"peers_total"`
	Reporting  reportingSettings `json:"reporting"`
	Rules      ruleSettings      `json:"rules"`
	TickUs     int               `json:"tick_us"`
	WeightBy   string            `json:"worth_by"`
}

type classSettings struct {
	ObjectiveStretch float64 `json:"aim_stretch"`
	DeadlineUs       int64   `json:"deadline_us"`
	LateWeight       float64 `json:"late_worth"`
	Name             string  `json:"name"`
	Repeat           string  `json:"repeat"`
	ObjectiveUs      int     `json:"slo_us"`
	Weight           float64 `json:"worth"`
}

type domainSettings struct {
	ProgressUs  int    `json:"progress_us"`
	QueueOrder  string `json:"queue_order"`
	ReportX0    string `json:"report_x0"`
	ReportX1    string `json:"report_x1"`
	ReportStart bool   `json:"tells_start"`
}

type limitSettings struct {
	Cancel           bool `json:"cancel"`
	IdleTimeoutUs    int  `json:"conn_idle_us"`
	ConnectTimeoutUs int  `json:"connect_timeout_us"`
	MaxAttempts      int  `json:"max_attempts"`
	MaxRetryAfterUs  int  `json:"max_retry_after_us"`
	HealthChecks     bool `json:"probing"`
	Hedging          bool `json:"second_copies"`
}

type reportingSettings struct {
	Fields []string `json:"fields"`
	Via    string   `json:"via"`
}

type ruleSettings struct {
	ColdFrom     float64 `json:"cold_from"`
	DrainGraceUs int     `json:"drain_grace_us"`
	FallMultiple int     `json:"fall_multiple"`
	FallUs       int     `json:"fall_us"`
	WarmAfterUs  int     `json:"warm_after_us"`
}

// config encodes the daemon's configuration.
func (f *Fleet) config(listen string) ([]byte, error) {
	return json.Marshal(daemonConfig{
		AdminAddr: "127.0.0.1:0",
		Discovery: f.Discovery.Addr,
		Limits:    resourceLimits{MemoryMB: 192, Descriptors: f.Descriptors},
		Listen:    listen,
		Name:      "rehearsal",
		Seed:      fmt.Sprintf("%016x", f.Seed),
		Settings: daemonSettings{
			Areas:   sites,
			Classes: f.classSettings(),
			Domain: domainSettings{
				ProgressUs: 1_000_000, QueueOrder: "fifo", ReportX0: "free slots", ReportX1: "free memory", ReportStart: true,
			},
			Kinds: []string{"standard", "small"},
			Limits: limitSettings{
				Cancel: true, IdleTimeoutUs: 10_000_000, ConnectTimeoutUs: 250_000, MaxAttempts: 3, MaxRetryAfterUs: 2_000_000,
				HealthChecks: false, Hedging: true,
			},
			MyZone:     0,
			PeersTotal: 1,
			Reporting:  reportingSettings{Fields: []string{"eps", "queue", "x0", "x1"}, Via: "answers"},
			Rules: ruleSettings{
				ColdFrom: 0.33, DrainGraceUs: 500_000, FallMultiple: 4, FallUs: 1_000_000, WarmAfterUs: 8_600_000,
			},
			TickUs:   2000,
			WeightBy: "work",
		},
	})
}

// classSettings are the classes of the configuration: retryable ones have less weight and a
// longer latency objective.
func (f *Fleet) classSettings() (classes []classSettings) {
	for _, class := range f.Classes {
		settings := classSettings{
			ObjectiveStretch: 2, DeadlineUs: class.Timeout.Microseconds(), LateWeight: 0.5, Name: class.Name, Repeat: "fragile",
			ObjectiveUs: 200_000, Weight: 5,
		}
		if class.Retryable {
			settings.Repeat = "retryable"
			settings.Weight = 3
			settings.LateWeight = 0.25
			settings.ObjectiveUs = 250_000
		}
		classes = append(classes, settings)
	}
	return classes
}
