package soak

import (
	"encoding/json"
	"fmt"
	"time"
)

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

// Connect timeouts of the settings. With the longer one, connects that come up late come up in time.
const (
	shortConnectTimeout = 250 * time.Millisecond
	longConnectTimeout  = 1200 * time.Millisecond
	longConnectShare    = 3 // one in so many seeds
)

// Bounds of the settings that rules are checked by.
const (
	dedupWindow       = 2 * time.Second
	retryBudgetWindow = 4 * time.Second
	maxAttempts       = 3
)

// retryBudget is what the settings allow of repeats in any retryBudgetWindow.
type retryBudget struct {
	floor int
	ratio float64 // to the requests that arrive
}

// retryBudgetOf is the retry budget of a run. On odd seeds it binds; on even ones most attempts that fail are repeated.
func retryBudgetOf(seed uint64) retryBudget {
	if seed%2 == 1 {
		return retryBudget{floor: 1, ratio: 0.02}
	}
	return retryBudget{floor: 4, ratio: 0.2}
}

// settingsFormat has the settings of a deployment; its verbs are the number of dispatchers, the connect timeout, the dedup
// window and what belongs to the retry budget. The classes and the graces in it must match the constants of clients.go and
// rules.go.
const settingsFormat = `{"areas":["here"],"kinds":["m"],"my_zone":0,"peers_total":%d,"tick_us":2000,"discovery":"ask","worth_by":"work","classes":[
{"name":"status-check","repeat":"retryable","worth":3,"late_worth":0.25,"slo_us":250000,"deadline_us":3000000},
{"name":"renewal","repeat":"fragile","worth":5,"late_worth":0.5,"slo_us":200000,"deadline_us":4000000},
{"name":"transfer","repeat":"dedup","group":"all","window_us":%d,"worth":4,"late_worth":0.5,"slo_us":400000,"deadline_us":3000000}],
"limits":{"cancel":true,"probing":true,"connect_timeout_us":%d,"conn_idle_us":10000000,"max_attempts":%d,"max_retry_after_us":2000000,
"second_copies":true},"rules":{"ask_within_us":10000000,"drain_grace_us":500000,"look_back_us":%d,"extra_floor":%d,"extra_ratio":%g},
"domain":{"tells_start":true,"progress_us":1000000,"queue_order":"fifo"},"reporting":{"via":"answers"}}`

// newSettings returns the settings of a run.
func newSettings(config Config) json.RawMessage {
	connectTimeout := shortConnectTimeout
	if config.Seed%longConnectShare == 0 {
		connectTimeout = longConnectTimeout
	}
	budget := retryBudgetOf(config.Seed)
	return json.RawMessage(fmt.Sprintf(settingsFormat, config.Daemons, dedupWindow.Microseconds(), connectTimeout.Microseconds(),
		maxAttempts, retryBudgetWindow.Microseconds(), budget.floor, budget.ratio))
}
