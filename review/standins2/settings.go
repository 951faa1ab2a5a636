//go:build review

package main

// renewalDeadline is how long a client waits for a renewal. It is the longest deadline of the cases.
const renewalDeadlineUs = 8_000_000

// smallSettings returns the settings of a small deployment: a status-check may be repeated, a renewal must not.
func smallSettings() map[string]any {
	return map[string]any{
		"areas": []string{"zarqa-east", "russeifa"}, "kinds": []string{"standard"}, "my_zone": 0, "peers_total": 1,
		"tick_us": 2000, "worth_by": "work", "discovery": "ask",
		"classes": []map[string]any{
			{"name": "status-check", "repeat": "retryable", "worth": 3.0, "late_worth": 0.25,
				"slo_us": 250_000, "aim_stretch": 2.0, "deadline_us": 5_000_000},
			{"name": "renewal", "repeat": "fragile", "worth": 5.0, "late_worth": 0.5,
				"slo_us": 200_000, "aim_stretch": 1.75, "deadline_us": renewalDeadlineUs},
		},
		"limits": map[string]any{"cancel": true, "connect_timeout_us": 250_000, "conn_idle_us": 10_000_000,
			"max_attempts": 3, "max_retry_after_us": 2_000_000, "second_copies": true, "probing": true},
		"rules": map[string]any{"cold_from": 0.33, "warm_after_us": 8_600_000, "fall_multiple": 4.0, "fall_us": 1_000_000,
			"drain_grace_us": 500_000, "ask_within_us": 10_000_000},
		"domain": map[string]any{"tells_start": true, "queue_order": "fifo", "report_x0": "free slots"},
	}
}

// smallConfig returns a configuration with smallSettings.
func smallConfig(name string) map[string]any {
	return map[string]any{
		"name":     name,
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": smallSettings(),
	}
}
