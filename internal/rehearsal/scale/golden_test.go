package scale

import (
	"path/filepath"
	"reflect"
	"testing"

	"hollyyoke.example/hollyyoke/internal/goldentest"
)

// Keys of scenario files, and the committed ones with their defaults.
func TestGoldenScenarios(t *testing.T) {
	goldentest.CompareScenarios(t, "../../../deploy/scenarios/scale/*.toml", ReadScenario,
		"unknown = 1", "workers = 0", "mechanism = \"mail\"", "workers = true")
}

// JSON keys of messages to the daemon and the origin's clients, and of results. Messages between this program and its
// children are internal.
func TestGoldenMessages(t *testing.T) {
	for file, message := range map[string]reflect.Type{
		"daemon-config": reflect.TypeFor[daemonConfig](),
		"known-list":    reflect.TypeFor[initialList](),
		"listing":       reflect.TypeFor[listing](),
		"record":        reflect.TypeFor[Record](),
		"figure":        reflect.TypeFor[Figure](),
	} {
		goldentest.Compare(t, filepath.Join("json", file+".golden"), goldentest.Lines(goldentest.Keys(message, "json")))
	}
}

// The settings of a dispatcher, byte for byte.
func TestGoldenSettings(t *testing.T) {
	scenario := &Scenario{Dispatchers: 3, Daemons: 2, SlowStartS: 1.5}
	settings := dispatcherSettings(scenario, []string{"a", "b"}, 1)
	goldentest.Compare(t, filepath.Join("json", "settings.golden"), string(settings)+"\n")
}

// The kinds and mechanisms that scenario files name.
func TestGoldenKinds(t *testing.T) {
	lines := []string{"mechanism " + string(ByDiscovery), "mechanism " + string(ByRelays)}
	for _, kind := range eventKinds {
		lines = append(lines, "event "+string(kind))
	}
	goldentest.Compare(t, "kinds.golden", goldentest.Lines(lines))
}
