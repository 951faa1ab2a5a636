package simulator

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// An invalid scenario file is rejected with an error that names the key at fault.
func TestInvalidScenarios(t *testing.T) {
	valid, err := os.ReadFile("../../../deploy/scenarios/faults.toml")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "bad.toml")
	for _, test := range []struct {
		replaced    string
		replacement string
		want        string // in the error
	}{
		{"length_s = 60", "lenght_s = 60", "lenght_s: unknown key"},
		{"dispatchers = 5", "dispatchers = 0", "dispatchers: 0 is not between"},
		{"share = 0.64", "share = 0.5", "shares add up to 0.86"},
		{`kind = "pause"`, `kind = "paus"`, `fault[1].kind: "paus"`},
		{"factor = 0.1", "factor = 0", "fault[0].factor"},
		{"workers = 3", `zone = "moon"`, `no zone "moon"`},
		{"workers = 3", "", "fault[2]: at_s and for_s"},
		{"work_ms = 500", "work_ms = 0", "class[0]"},
		{"slots = 4", "slots = ", "line"},
	} {
		invalid := strings.Replace(string(valid), test.replaced, test.replacement, 1)
		if err := os.WriteFile(path, []byte(invalid), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadScenario(path); err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: %v, want %s", test.replacement, err, test.want)
		}
	}
}
