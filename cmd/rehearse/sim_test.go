package main

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// The output and exit codes of the simulator's commands.
func TestSimCommands(t *testing.T) {
	dir := t.TempDir()
	valid, err := os.ReadFile("../../deploy/scenarios/faults.toml")
	if err != nil {
		t.Fatal(err)
	}
	path := func(name, old, new string) string {
		p := filepath.Join(dir, name)
		text := strings.Replace(string(valid), "length_s = 60", "length_s = 30", 1)
		if err := os.WriteFile(p, []byte(strings.Replace(text, old, new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		return p
	}
	a := path("a.toml", `name = "faults"`, `name = "a"`)
	b := path("b.toml", "rate_per_s = 40", "rate_per_s = 75")
	do := func(code int, want string, args ...string) string {
		t.Helper()
		var out, errs bytes.Buffer
		if got := run(append([]string{"sim"}, args...), strings.NewReader(""), &out, &errs); got != code || !strings.Contains(out.String()+errs.String(), want) {
			t.Fatalf("%v: code %d, want %d: %s%s; want %q", args, got, code, out.String(), errs.String(), want)
		}
		return out.String()
	}
	hash := regexp.MustCompile(`hash ([0-9a-f]{16})`)
	log := filepath.Join(dir, "log")
	first := do(0, "a, seed 3:", "run", a, "--seed", "3", "--log", log)
	again := do(0, "a, seed 3:", "run", a, "--seed", "3")
	if x, y := hash.FindStringSubmatch(first), hash.FindStringSubmatch(again); x == nil || y == nil || x[1] != y[1] {
		t.Errorf("%s%s", first, again)
	}
	if text, _ := os.ReadFile(log); bytes.Count(text, []byte(" runs ")) < 100 || !bytes.Contains(text, []byte("end of pause")) {
		t.Errorf("the log has %d bytes", len(text))
	}
	do(0, `"Hash"`, "run", a, "--json")
	if out := do(0, "the worst:", "hunt", a, b, "--seeds", "3", "--worst", "2"); strings.Count(out, ", seed ") != 2 {
		t.Errorf("hunt: %s", out)
	}
	do(0, "A is better", "compare", a, b, "--seeds", "5")
	do(0, "noise", "compare", a, a, "--seeds", "3")
	small := filepath.Join(dir, "small.toml")
	do(0, "", "shrink", b, "--when", "refused", "-o", small)
	do(0, "seed 1", "run", small)
	do(2, "nothing is broken", "shrink", a)
	do(2, "lenght_s: unknown key", "run", path("c.toml", "length_s", "lenght_s"))
	do(2, "no such file", "hunt", filepath.Join(dir, "none.toml"))
}
