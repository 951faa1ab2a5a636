package main

import (
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"
)

// With an invalid configuration the program ends, and prints one line that names the invalid
// field.
func TestBadStart(t *testing.T) {
	dir := t.TempDir()
	valid := settingsWithIdle(time.Microsecond)
	for name, test := range map[string]struct{ config, faktory, want string }{
		"no settings":  {`{"listen":"127.0.0.1:0"}`, "", "settings: missing"},
		"not JSON":     {`{`, "", "config:"},
		"wrong type":   {`{"listen":5}`, "", "listen"},
		"deep type":    {`{"listen":"127.0.0.1:0","settings":{"rules":{"cold_from":"x"}}}`, "", "rules.cold_from"},
		"no class":     {`{"listen":"127.0.0.1:0","settings":{}}`, "", "Classes is empty"},
		"no name":      {`{"listen":"127.0.0.1:0","settings":{"classes":[{"repeat":"fragile","deadline_us":5}]}}`, "", "classes[0].name"},
		"bad repeat":   {`{"listen":"127.0.0.1:0","settings":{"classes":[{"name":"q","repeat":"x"}]}}`, "", "classes[0].repeat"},
		"no listen":    {`{"settings":` + valid + `}`, "", "listen: missing"},
		"bad listen":   {`{"listen":"nowhere","settings":` + valid + `}`, "", "listen:"},
		"bad known":    {`{"listen":"127.0.0.1:0","known":{"hosts":[{"host":"h","health":"odd"}]},"settings":` + valid + `}`, "", "hosts[0].health"},
		"faktory key":  {`{"settings":` + valid + `}`, "lisen = \"127.0.0.1:0\"", "lisen: unknown key"},
		"faktory text": {`{"settings":` + valid + `}`, "listen = ", "faktory.toml"},
	} {
		args := []string{"-config", writeFile(t, dir, "config.json", test.config)}
		if test.faktory != "" {
			args = append(args, "-faktory", writeFile(t, dir, "faktory.toml", test.faktory))
		}
		process := exec.Command(builtProgram, args...)
		process.Env = append(os.Environ(), "BALANCER_LISTEN=", "BALANCER_CONFIG=", "BALANCER_DISCOVERY=")
		output, err := process.CombinedOutput()
		if err == nil || !strings.Contains(string(output), test.want) || strings.Count(string(output), "\n") != 1 {
			t.Errorf("%s: %v, %q; want one line with %q", name, err, output, test.want)
		}
	}
}

// If BALANCER_FD does not name a listening socket, the program ends, and prints a line that
// names the variable and its value.
func TestBadInheritedListener(t *testing.T) {
	daemon := newDaemonWithAdmin(t, nil)
	daemon.env = append(daemon.env, "BALANCER_FD=77")
	daemon.configPath = writeFile(t, t.TempDir(), "config.json",
		`{"listen":"127.0.0.1:0","settings":`+settingsWithIdle(time.Microsecond)+`}`)
	process := exec.Command(builtProgram)
	process.Env = daemon.environment()
	output, err := process.CombinedOutput()
	if err == nil || !strings.Contains(string(output), `BALANCER_FD: "77"`) {
		t.Errorf("%v, %q", err, output)
	}
}
