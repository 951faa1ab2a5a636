package scale

import (
	"path/filepath"
	"reflect"
	"testing"

	"hollyyoke.example/hollyyoke/internal/goldentest"
)

// Guards the keys of scenario files, and the values of the committed scenarios with their defaults.
func TestGoldenScenarios(t *testing.T) {
	goldentest.CompareScenarios(t, "../../../deploy/scenarios/scale/*.toml", ReadScenario,
		"unknown = 1", "workers = 0", "mechanism = \"mail\"", "workers = true")
}

// Guards the JSON keys of results and of messages to the daemon and to the origin's clients. Messages between this program
// and its own child processes are internal, and not compared.
func TestGoldenMessages(t *testing.T) {
	for file, message := range map[string]reflect.Type{
		"daemon-config": reflect.TypeFor[daemonConfig](),
		"known-list":    reflect.TypeFor[initialList](),
		"listing":       reflect.TypeFor[listUpdate](),
		"record":        reflect.TypeFor[Record](),
		"figure":        reflect.TypeFor[Figure](),
	} {
		goldentest.Compare(t, filepath.Join("json", file+".golden"), goldentest.Lines(goldentest.Keys(message, "json")))
	}
}

// Guards the settings of a dispatcher, byte for byte.
func TestGoldenSettings(t *testing.T) {
	scenario := &Scenario{Dispatchers: 3, Daemons: 2, SlowStartS: 1.5}
	settings := dispatcherSettings(scenario, []string{"a", "b"}, 1)
	goldentest.Compare(t, filepath.Join("json", "settings.golden"), string(settings)+"\n")
}

// Guards the names of mechanisms and of kinds of events in scenario files.
func TestGoldenKinds(t *testing.T) {
	lines := []string{"mechanism " + string(MechanismDiscovery), "mechanism " + string(MechanismRelays)}
	for _, kind := range eventKinds {
		lines = append(lines, "event "+string(kind))
	}
	goldentest.Compare(t, "kinds.golden", goldentest.Lines(lines))
}
