package standin

import (
	"encoding/json"
	"fmt"

	"hollyyoke.example/hollyyoke/internal/rehearsal/daemonconfig"
)

// daemonConfig has the keys of the daemon's configuration file that a rehearsal sets. The fields
// are in the alphabetical order of their keys, in which the file has always been written.
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

// Units of time for the settings, which are in microseconds.
const (
	millisecondUs = 1_000
	secondUs      = 1_000 * millisecondUs
)

// config returns the daemon's configuration file, with listen as the address of the HTTP front end.
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

// settings returns the daemon's settings, which are those of the production site.
func (f *Fleet) settings() daemonconfig.Settings {
	return daemonconfig.Settings{
		ZoneNames: zoneNames,
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

// classSettings returns the settings of the classes. Retryable classes have lower priority weights
// and longer latency objectives than the others.
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
