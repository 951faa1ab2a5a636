package capacity

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Each mechanism that the assumptions name is a package, and relays are not called missing once their package exists.
func TestMechanismsExist(t *testing.T) {
	committed, err := ReadAssumptions(filepath.Join(dataDir, assumptionsFile))
	if err != nil {
		t.Fatal(err)
	}
	mechanisms := committed.Mechanisms
	for _, name := range []string{
		mechanisms.Membership, mechanisms.Decisions, mechanisms.Resume,
		mechanisms.Configuration, mechanisms.Relays, mechanisms.Acknowledgement,
	} {
		if name == mechanismMissing {
			continue
		}
		if info, err := os.Stat(filepath.Join("../../..", name)); err != nil || !info.IsDir() {
			t.Errorf("mechanism %q is not a package", name)
		}
	}
	if _, err := os.Stat("../../relay"); err == nil && mechanisms.Relays == mechanismMissing {
		t.Error("internal/relay exists but the assumptions call relays missing")
	}
}

// The error of invalid assumptions names the invalid key.
func TestInvalidAssumptions(t *testing.T) {
	valid, err := os.ReadFile(filepath.Join(dataDir, assumptionsFile))
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		replaced    string
		replacement string
		want        string // in the error
	}{
		{"workers = 21000", "wrokers = 21000", "target.wrokers: unknown key"},
		{"dispatchers = [300, 3000, 21000]", "dispatchers = []", "assumed.dispatchers is empty"},
		{"value = 40", "value = 0", "assumed.rack_workers: value must be positive"},
		{`mark = "given"`, `mark = "guessed"`, `assumed.longest_object_bytes: mark: unknown value "guessed"`},
	} {
		path := filepath.Join(t.TempDir(), assumptionsFile)
		invalid := strings.Replace(string(valid), test.replaced, test.replacement, 1)
		if err := os.WriteFile(path, []byte(invalid), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadAssumptions(path); err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: %v, want %q", test.replacement, err, test.want)
		}
	}
}
