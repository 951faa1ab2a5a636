package simulator

import "hollyyoke.example/hollyyoke/internal/dispatch"

// The hash of a run covers its event log, and recorded results hold that hash. The log therefore keeps the spelling of
// steps and keys that the recordings were made with, whatever the steps of dispatch.Dispatcher.Trace are called.
var (
	loggedSteps = map[string]string{
		dispatch.StepAccepted:       "taken",
		dispatch.StepAssigned:       "attempt",
		dispatch.StepSent:           "sent",
		dispatch.StepStarted:        "started",
		dispatch.StepEnded:          "attempt ended",
		dispatch.StepCancelled:      "hung up",
		dispatch.StepWorkersUpdated: "list",
		dispatch.Rejected.String():  "refused",
	}
	loggedKeys = map[string]string{
		"endpoints":   "entries",
		"reservation": "charge",
		"time_left":   "left",
		"unanswered":  "owed",
		"worker":      "backend",
	}
)

// logStep logs a step of a dispatcher's trace. The keys in keysAndValues are changed in place.
func (s *Simulation) logStep(dispatcher int, step, id string, keysAndValues []any) {
	for i := 0; i < len(keysAndValues); i += 2 {
		key, isString := keysAndValues[i].(string)
		if !isString {
			continue
		}
		if logged, renamed := loggedKeys[key]; renamed {
			keysAndValues[i] = logged
		}
	}
	if logged, known := loggedSteps[step]; known {
		step = logged
	}
	s.logEvent(dispatcher, step, id, keysAndValues...)
}
