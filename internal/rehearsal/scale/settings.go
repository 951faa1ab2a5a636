package scale

import (
	"encoding/json"
)

// This file owns what every dispatcher of a run is told, hollow or real.

// dispatcherSettings words the settings of a dispatcher, as a configuration's key "settings".
func dispatcherSettings(s *Scenario, zones []string, zone int) json.RawMessage {
	const second = 1_000_000 // in microseconds
	class := func(name, repeat string, worth float64) map[string]any {
		return map[string]any{"name": name, "repeat": repeat, "worth": worth, "late_worth": 0.25,
			"slo_us": second, "aim_stretch": 2, "deadline_us": 8 * second}
	}
	settings := map[string]any{
		"areas": zones, "kinds": []string{"standard"}, "my_zone": zone,
		"peers_total": s.Dispatchers + s.Real, "tick_us": 2000, "discovery": "ask",
		"classes": []any{class("status-check", "retryable", 3), class("renewal", "fragile", 5)},
		"limits": map[string]any{"cancel": true, "connect_timeout_us": second / 4, "conn_idle_us": 10 * second,
			"max_attempts": 3, "max_retry_after_us": 2 * second, "second_copies": true, "probing": false},
		"rules": map[string]any{"ask_within_us": 10 * second, "cold_from": 0.33,
			"warm_after_us": s.WarmAfterS * second, "fall_multiple": 4, "fall_us": second, "drain_grace_us": second / 2},
		"domain": map[string]any{"tells_start": true, "queue_order": "fifo", "report_x0": "free slots"},
	}
	text, _ := json.Marshal(settings) // strings and numbers always marshal
	return text
}
