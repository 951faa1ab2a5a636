//go:build review

package harness

import (
	"cmp"
	"encoding/json"
	"os"
	"path/filepath"
)

// Class is a class of the settings object.
type Class struct {
	Name, Repeat, Group string
	SLOus, DeadlineUs   int
	WindowUs            int
	Worth               float64
}

// SiteClasses are the classes of the site zarqa-members.
var SiteClasses = []Class{
	{Name: "status-check", Repeat: "retryable", SLOus: 250_000, DeadlineUs: 5_000_000, Worth: 3},
	{Name: "renewal", Repeat: "fragile", SLOus: 200_000, DeadlineUs: 8_000_000, Worth: 5},
}

// Config is what the configuration files of the cases differ in.
type Config struct {
	Name, Listen, Discovery, Admin string
	Classes                        []Class
	Known                          []Host         // the list that the process starts with
	Limits                         map[string]any // replaces values of settings.limits
	Peers                          int
	Mode                           string // of discovery: ask, the default, or push
}

// WriteConfig writes the configuration file of a daemon and returns its path.
func (r *Run) WriteConfig(file string, config Config) string {
	if config.Classes == nil {
		config.Classes = SiteClasses
	}
	var classes []map[string]any
	for _, class := range config.Classes {
		entry := map[string]any{"name": class.Name, "repeat": class.Repeat, "group": class.Group, "slo_us": class.SLOus,
			"deadline_us": class.DeadlineUs, "window_us": class.WindowUs, "worth": class.Worth, "late_worth": 0.25,
			"aim_stretch": 2.0, "stream": false}
		if class.Group == "" {
			entry["group"] = "all"
		}
		classes = append(classes, entry)
	}
	limits := map[string]any{"cancel": true, "conn_idle_us": 10_000_000, "connect_timeout_us": 250_000,
		"cpu_us_per_request": 0.0, "cpu_us_per_s": 11845, "max_attempts": 3, "max_retry_after_us": 2_000_000,
		"open_cap": 29613, "peer_messages": false, "probing": true, "retry_after": true, "second_copies": true,
		"streams_per_conn": 1}
	for key, value := range config.Limits {
		limits[key] = value
	}
	hosts := config.Known
	if hosts == nil {
		hosts = []Host{}
	}
	raw, err := json.MarshalIndent(map[string]any{
		"name": config.Name, "listen": config.Listen, "discovery": config.Discovery, "admin_addr": config.Admin,
		"seed":   "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  map[string]any{"seq": 1, "whole": true, "hosts": hosts},
		"settings": map[string]any{
			"areas": []string{"zarqa-east", "russeifa", "hashemiya"}, "kinds": []string{"standard", "small"},
			"classes": classes, "client_habits": map[string]any{"marks_retry": false}, "discovery": cmp.Or(config.Mode, "ask"),
			"domain": map[string]any{"memory_unit": "a worker has one unit for each slot",
				"notes": "1 it has started, 2 share done", "progress_us": 1_000_000, "queue_order": "fifo",
				"report_x0": "free slots", "report_x1": "free memory", "tells_start": true},
			"family": "jobs", "layer": 0, "layers": []string{"members-workers"}, "limits": limits, "my_zone": 0,
			"over_share_worth": 0.1, "peers_total": max(config.Peers, 1),
			"prices":   map[string]any{"cross_zone": 0.03, "handshake": 0.02, "late_fail": 0.051, "probe": 0.002, "waste": 0.018},
			"projects": []any{map[string]any{"name": "uni", "quota_per_s": 1000.0, "share": 1.0}}, "reporting": map[string]any{"fields": []string{"errors_per_s", "backlog", "x0", "x1"},
				"via": "answers"},
			"rules": map[string]any{"answer_slack_us": 8000, "ask_within_us": 10_000_000, "cold_from": 0.33,
				"drain_grace_us": 500_000, "fall_multiple": 4.0, "fall_us": 1_000_000, "warm_after_us": 8_600_000},
			"tick_us": 2000, "weights": "rough", "worth_by": "work",
		},
	}, "", " ")
	r.Must(err)
	path := filepath.Join(r.Folder, file)
	r.Must(os.WriteFile(path, raw, 0o644))
	return path
}
