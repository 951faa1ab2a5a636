package faktory

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// serverConfig is an operator's file with only the server role.
const serverConfig = "listen = \"127.0.0.1:0\"\n"

// testSettings returns settings with an idempotent and a non-idempotent class.
func testSettings() decision.Settings {
	return decision.Settings{
		Classes: []decision.Class{
			{
				Name:             "status-check",
				PriorityWeight:   3,
				LateWeight:       0.25,
				LatencyObjective: 4 * time.Second,
				Deadline:         5 * time.Second,
			},
			{
				Name:             "renewal",
				PriorityWeight:   5,
				LateWeight:       0.5,
				LatencyObjective: 4 * time.Second,
				Deadline:         8 * time.Second,
				Idempotency:      decision.NonIdempotent,
			},
		},
		Tick:              time.Millisecond,
		MaxAttempts:       3,
		Cancellation:      true,
		StartNotices:      true,
		MaxRetryAfter:     2 * time.Second,
		SlowStartFloor:    0.33,
		SlowStartDuration: 8600 * time.Millisecond,
		OverloadMultiple:  4,
		OverloadWindow:    time.Second,
		FreeSlotsField:    "x0",
		DrainGrace:        500 * time.Millisecond,
	}
}

// readConfigText reads the text of an operator's file as ReadConfig does.
func readConfigText(t testing.TB, text string, settings *decision.Settings) (Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "faktory.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return ReadConfig(path, settings)
}

// openFrontEnd opens a front end with the given text of an operator's file, and
// returns its address and the rig on which it runs. adjust changes the settings
// before that; it may be nil.
func openFrontEnd(t testing.TB, toml string, adjust func(*decision.Settings)) (address string, rig *testkit.Rig) {
	t.Helper()
	address, rig, _ = openFrontEndWith(t, toml, nil, adjust)
	return address, rig
}

// openFrontEndWith opens a front end as openFrontEnd does, whose store calls
// injectWriteError in each write if it is not nil.
func openFrontEndWith(
	t testing.TB, toml string, injectWriteError func() error, adjust func(*decision.Settings),
) (address string, rig *testkit.Rig, frontEnd FrontEnd) {
	t.Helper()
	settings := testSettings()
	if adjust != nil {
		adjust(&settings)
	}
	config, err := readConfigText(t, toml, &settings)
	if err != nil {
		t.Fatal(err)
	}
	if err := AddWorkerKinds(&settings); err != nil {
		t.Fatal(err)
	}
	config.Durable.injectWriteError = injectWriteError
	t.Cleanup(func() { frontEnd.Close() }) // runs after the rig's own cleanup, which stops the loop
	rig = testkit.NewRig(t, func(rigSettings *decision.Settings) { *rigSettings = settings })
	rig.LimitDescriptors(t, 512)
	rig.Do(func() {
		rig.Dispatcher.Log = func(text string) {
			if bound, isAddress := strings.CutPrefix(text, "faktory: listening on "); isAddress {
				address = bound
			}
		}
		frontEnd, err = Open(rig.Dispatcher, rig.Engine, config, 200, nil)
	})
	if err != nil {
		t.Fatal(err)
	}
	return address, rig, frontEnd
}
