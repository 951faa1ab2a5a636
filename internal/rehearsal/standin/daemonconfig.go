package standin

import (
	"encoding/json"
	"fmt"

	"hollyyoke.example/hollyyoke/internal/rehearsal/daemonconfig"
)

// daemonConfig is the daemon's configuration file, with the keys that a rehearsal sets. Fields are
// in the alphabetical order of their keys, as the file's have always been.
type daemonConfig struct {
	AdminAddr string                `json:"admin_addr"`
	Discovery string                `json:"discovery"`
	Limits    resourceLimits        `json:"limits"`
	Listen    string                `json:"listen"`
	Name      string                `json:"name"`
	Seed      string                `json:"seed"`
	Settings  daemonconfig.Settings `json:"settings"`
}

type resourceLimits struct {
	MemoryMB    int `json:"memory_mb"`
	Descriptors int `json:"sockets"`
}

// Units of the settings, which are in microseconds.
const (
	millisecondUs = 1_000
	secondUs      = 1_000 * millisecondUs
)

// config encodes the daemon's configuration.
func (f *Fleet) config(listen string) ([]byte, error) {
	return json.Marshal(daemonConfig{
		AdminAddr: "127.0.0.1:0",
		Discovery: f.Discovery.Addr,
		Limits:    resourceLimits{MemoryMB: 192, Descriptors: f.Descriptors},
		Listen:    listen,
		Name:      "rehearsal",
		Seed:      fmt.Sprintf("%016x", f.Seed),
		Settings:  f.settings(),
	})
}

// settings are the daemon's settings, as at the real site.
func (f *Fleet) settings() daemonconfig.Settings {
	return daemonconfig.Settings{
		ZoneNames: sites,
		Classes:   f.classSettings(),
		Domain: daemonconfig.Domain{
			ProgressIntervalUs: secondUs,
			QueueOrder:         "fifo",
			FirstReport:        "free slots",
			OtherReport:        "free memory",
			StartNotices:       true,
		},
		KindNames: []string{"standard", "small"},
		Limits: daemonconfig.AttemptLimits{
			Cancellation:            true,
			ConnectionIdleTimeoutUs: 10 * secondUs,
			ConnectTimeoutUs:        250 * millisecondUs,
			MaxAttempts:             3,
			MaxRetryAfterUs:         2 * secondUs,
			Hedging:                 true,
		},
		Peers: 1,
		Reporting: daemonconfig.Reporting{
			Fields: []string{"eps", "queue", "x0", "x1"}, // the keys of loadReport
			Via:    "answers",
		},
		Workers: daemonconfig.WorkerRules{
			SlowStartFloor:      0.33,
			DrainGraceUs:        500 * millisecondUs,
			OverloadMultiple:    4,
			OverloadWindowUs:    secondUs,
			SlowStartDurationUs: 8_600 * millisecondUs,
		},
		TickUs:   2 * millisecondUs,
		WeightBy: "work",
	}
}

// classSettings are the classes of the configuration: retryable ones have less weight and a
// longer latency objective.
func (f *Fleet) classSettings() (classes []daemonconfig.Class) {
	for _, class := range f.Classes {
		settings := daemonconfig.Class{
			Name:               class.Name,
			DeadlineUs:         class.Timeout.Microseconds(),
			Idempotency:        daemonconfig.Fragile,
			PriorityWeight:     5,
			LateWeight:         0.5,
			LatencyObjectiveUs: 200 * millisecondUs,
			ObjectiveStretch:   2,
		}
		if class.Retryable {
			settings.Idempotency = daemonconfig.Retryable
			settings.PriorityWeight = 3
			settings.LateWeight = 0.25
			settings.LatencyObjectiveUs = 250 * millisecondUs
		}
		classes = append(classes, settings)
	}
	return classes
}
