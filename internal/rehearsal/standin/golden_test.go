package standin

import (
	"encoding/json"
	"path/filepath"
	"reflect"
	"testing"

	"hollyyoke.example/hollyyoke/internal/goldentest"
)

// The JSON forms of the discovery protocol and of reports.
func TestGoldenMessages(t *testing.T) {
	for file, of := range map[string]reflect.Type{
		"host": reflect.TypeFor[Host](), "listing": reflect.TypeFor[listing](), "findings": reflect.TypeFor[Findings](),
	} {
		goldentest.Compare(t, filepath.Join("json", file+".golden"), goldentest.Lines(goldentest.Keys(of, "json")))
	}
}

// The daemon's configuration file of a rehearsal.
func TestGoldenConfiguration(t *testing.T) {
	fleet := Fleet{Discovery: &Discovery{Addr: "127.0.0.1:1"}}
	fleet.Seed, fleet.Descriptors = 7, 512
	fleet.Classes = []ClassConfig{{Name: "a", Retryable: true, Timeout: 5e9}, {Name: "b", Timeout: 8e9}}
	text, err := fleet.config("127.0.0.1:2")
	if err != nil {
		t.Fatal(err)
	}
	var any map[string]any
	if err := json.Unmarshal(text, &any); err != nil {
		t.Fatal(err)
	}
	indented, err := json.MarshalIndent(any, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "config.golden", string(indented)+"\n")
}
