package settings

import (
	"encoding/json"

	"hollyyoke.example/hollyyoke/decision"
)

// ReadLoadReport reads a worker's load report. The names of its values are those of the
// settings, or the common ones that workers use. Values that no decision uses are
// ignored, and a report that cannot be read is an empty one.
func ReadLoadReport(settings *decision.Settings, raw []byte) decision.LoadReport {
	var report map[string]any
	if err := json.Unmarshal(raw, &report); err != nil {
		return decision.LoadReport{}
	}
	var load decision.LoadReport
	if settings.FreeSlots != "" {
		load.FreeSlots, load.HasFreeSlots = firstNumber(report, settings.FreeSlots)
	}
	load.Outstanding, load.HasOutstanding = firstNumber(report, "outstanding", "inflight")
	load.Backlog, load.HasBacklog = firstNumber(report, "backlog", "queue")
	return load
}

// firstNumber returns the first of the named values that is a number.
func firstNumber(report map[string]any, names ...string) (number float64, found bool) {
	for _, name := range names {
		number, found = report[name].(float64)
		if found {
			return number, true
		}
	}
	return 0, false
}
