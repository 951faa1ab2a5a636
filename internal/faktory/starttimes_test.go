package faktory

import (
	"testing"

	"hollyyoke.example/hollyyoke/decision"
)

// A start time in a label that does not fit into a time.Duration counts as unknown. Guards against an overflow, by which
// the worker counts as one that has started 292 years before 1970. Package discovery has a test like this for its start
// times.
func TestStartTimeLabelOutOfRange(t *testing.T) {
	_, rig := openFrontEnd(t, serverConfig, nil)
	server := &Server{dispatcher: rig.Dispatcher}
	for _, label := range []string{"born_ms:9300000000000", "born_ms:9999999999999", "born_ms:99999999999999999"} {
		var endpoint decision.Endpoint
		server.applyLabels(&endpoint, []string{label})
		if endpoint.StartedAt != 0 {
			t.Errorf("%s: the start time is %d ns, want 0", label, endpoint.StartedAt)
		}
	}
}
