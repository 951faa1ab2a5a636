package standin

import (
	"encoding/json"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/goldentest"
)

// The keys of the JSON messages of the discovery protocol and of Findings match the golden files.
func TestGoldenMessages(t *testing.T) {
	for file, message := range map[string]reflect.Type{
		"host":     reflect.TypeFor[Host](),
		"listing":  reflect.TypeFor[listing](),
		"findings": reflect.TypeFor[Findings](),
	} {
		goldentest.Compare(t, filepath.Join("json", file+".golden"), goldentest.Lines(goldentest.Keys(message, "json")))
	}
}

// The configuration file that a rehearsal writes for the daemon matches the golden file.
func TestGoldenConfiguration(t *testing.T) {
	fleet := Fleet{
		FleetConfig: FleetConfig{
			Seed:        7,
			Descriptors: 512,
			Classes: []ClassConfig{
				{Name: "a", Retryable: true, Timeout: 5 * time.Second},
				{Name: "b", Timeout: 8 * time.Second},
			},
		},
		Discovery: &Discovery{Addr: "127.0.0.1:1"},
	}
	text, err := fleet.config("127.0.0.1:2")
	if err != nil {
		t.Fatal(err)
	}
	var decoded map[string]any
	if err := json.Unmarshal(text, &decoded); err != nil {
		t.Fatal(err)
	}
	indented, err := json.MarshalIndent(decoded, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "config.golden", string(indented)+"\n")
}
