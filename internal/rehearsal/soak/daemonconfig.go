package soak

import "encoding/json"

// daemonConfig is a dispatcher's configuration file, with the keys that a soak sets. Fields are in
// the alphabetical order of their keys.
type daemonConfig struct {
	AdminAddress string          `json:"admin_addr"`
	Discovery    string          `json:"discovery"`
	InitialList  json.RawMessage `json:"known,omitempty"`
	Limits       resourceLimits  `json:"limits"`
	Listen       string          `json:"listen"`
	Name         string          `json:"name"`
	Seed         string          `json:"seed"`
	Settings     json.RawMessage `json:"settings"`
}

type resourceLimits struct {
	Cores       int `json:"cores"`
	MemoryMB    int `json:"memory_mb"`
	Descriptors int `json:"sockets"`
}

// settingsFormat has the settings of a deployment; its verb is the number of dispatchers. The classes and the graces in
// it must match the constants of clients.go and rules.go.
const settingsFormat = `{"areas":["here"],"kinds":["m"],"my_zone":0,"peers_total":%d,"tick_us":2000,"discovery":"ask","worth_by":"work","classes":[
{"name":"status-check","repeat":"retryable","worth":3,"late_worth":0.25,"slo_us":250000,"deadline_us":3000000},
{"name":"renewal","repeat":"fragile","worth":5,"late_worth":0.5,"slo_us":200000,"deadline_us":4000000}],
"limits":{"cancel":true,"probing":true,"connect_timeout_us":250000,"conn_idle_us":10000000,"max_attempts":3,"max_retry_after_us":2000000,
"second_copies":true},"rules":{"ask_within_us":10000000,"drain_grace_us":500000},
"domain":{"tells_start":true,"progress_us":1000000,"queue_order":"fifo"},"reporting":{"via":"answers"}}`
