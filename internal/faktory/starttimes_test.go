package faktory

import (
	"testing"

	"hollyyoke.example/hollyyoke/decision"
)

// A start time that no duration can hold counts as unknown; it overflowed to 292 years before 1970. See
// TestStartTimesBeyondADuration of package discovery.
func TestLabelBeyondADuration(t *testing.T) {
	_, rig := openFront(t, serverConfig, nil)
	server := &Server{dispatcher: rig.Dispatcher}
	for _, label := range []string{"born_ms:9300000000000", "born_ms:9999999999999", "born_ms:99999999999999999"} {
		var endpoint decision.Endpoint
		server.applyLabels(&endpoint, []string{label})
		if endpoint.StartedAt != 0 {
			t.Errorf("%s is a start at %d ns", label, endpoint.StartedAt)
		}
	}
}
