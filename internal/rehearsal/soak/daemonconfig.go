package soak

import (
	"encoding/json"
	"fmt"
	"time"
)

// daemonConfig has the keys of a dispatcher's configuration file that a soak sets. The fields are in
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

// Connect timeouts of the settings. With the long one, connects that networkSlowConnect delays still succeed in time.
const (
	shortConnectTimeout = 250 * time.Millisecond
	longConnectTimeout  = 1200 * time.Millisecond
	longConnectShare    = 3 // one seed in this many has the long one
)

// Limits in the settings that the rules check.
const (
	dedupWindow       = 2 * time.Second
	retryBudgetWindow = 4 * time.Second
	maxAttempts       = 3
)

// retryBudget limits the repeated attempts in any retryBudgetWindow: floor, and ratio times the requests that arrive.
type retryBudget struct {
	floor int
	ratio float64
}

// retryBudgetOf returns the retry budget of a run. For odd seeds it is so small that it limits the repeated attempts; for
// even seeds it allows a repetition of most failed attempts.
func retryBudgetOf(seed uint64) retryBudget {
	if seed%2 == 1 {
		return retryBudget{floor: 1, ratio: 0.02}
	}
	return retryBudget{floor: 4, ratio: 0.2}
}

// settingsFormat is the format of the settings of a deployment. Its verbs stand for the number of dispatchers, the dedup
// window, the connect timeout, the maximum number of attempts, and the window, the floor and the ratio of the retry budget.
// Its classes and its drain grace must match the constants in clients.go and rules.go.
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
