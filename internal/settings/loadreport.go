package settings

import (
	"encoding/json"

	"hollyyoke.example/hollyyoke/decision"
)

// ReadLoadReport reads a worker's load report, a JSON object. The settings name the
// value that counts free slots; the other values have the names that workers commonly
// use. Values that no decision uses are ignored. A report that cannot be read counts
// as an empty one.
func ReadLoadReport(settings *decision.Settings, raw []byte) decision.LoadReport {
	var report map[string]any
	if err := json.Unmarshal(raw, &report); err != nil {
		return decision.LoadReport{}
	}
	var load decision.LoadReport
	if settings.FreeSlotsField != "" {
		load.FreeSlots, load.HasFreeSlots = firstNumber(report, settings.FreeSlotsField)
	}
	load.Outstanding, load.HasOutstanding = firstNumber(report, "outstanding", "inflight")
	load.Backlog, load.HasBacklog = firstNumber(report, "backlog", "queue")
	return load
}

// firstNumber returns the first of the named values of a report that is a number.
func firstNumber(report map[string]any, names ...string) (number float64, found bool) {
	for _, name := range names {
		number, found = report[name].(float64)
		if found {
			return number, true
		}
	}
	return 0, false
}
