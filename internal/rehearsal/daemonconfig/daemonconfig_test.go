package daemonconfig

import (
	"encoding/json"
	"testing"

	"hollyyoke.example/hollyyoke/internal/settings"
)

// Package settings, with which the daemon reads its configuration, accepts encoded Settings.
func TestSettingsAreReadByTheDaemon(t *testing.T) {
	text, err := json.Marshal(Settings{
		ZoneNames: []string{"a", "b"},
		Classes: []Class{{
			Name:               "status-check",
			Idempotency:        Retryable,
			PriorityWeight:     3,
			LatencyObjectiveUs: 200_000,
			DeadlineUs:         5_000_000,
		}},
		Discovery: "ask",
		Domain:    Domain{QueueOrder: "fifo", FirstReport: "free slots"},
		KindNames: []string{"standard"},
		Limits:    AttemptLimits{MaxAttempts: 3, ConnectTimeoutUs: 250_000},
		Zone:      1,
		Peers:     3,
		TickUs:    2000,
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := settings.Read(text); err != nil {
		t.Errorf("%v: %s", err, text)
	}
}

// Optional keys that a rehearsal does not set are omitted.
func TestOptionalKeysAreOmitted(t *testing.T) {
	text, err := json.Marshal(Settings{})
	if err != nil {
		t.Fatal(err)
	}
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(text, &keys); err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"discovery", "reporting", "worth_by"} {
		if value, found := keys[key]; found {
			t.Errorf("the unset key %s is written as %s", key, value)
		}
	}
}
