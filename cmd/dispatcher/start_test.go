package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// An invalid configuration ends the start with one line that names the field.
func TestBadStart(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		os.WriteFile(path, []byte(text), 0o600)
		return path
	}
	good := strings.ReplaceAll(settingsText, "CONN_IDLE", "1")
	for name, test := range map[string]struct{ config, faktory, want string }{
		"no settings":  {`{"listen":"127.0.0.1:0"}`, "", "settings: missing"},
		"not JSON":     {`{`, "", "config:"},
		"wrong type":   {`{"listen":5}`, "", "listen"},
		"deep type":    {`{"listen":"127.0.0.1:0","settings":{"rules":{"cold_from":"x"}}}`, "", "rules.cold_from"},
		"no class":     {`{"listen":"127.0.0.1:0","settings":{}}`, "", "Classes is empty"},
		"no name":      {`{"listen":"127.0.0.1:0","settings":{"classes":[{"repeat":"fragile","deadline_us":5}]}}`, "", "classes[0].name"},
		"bad repeat":   {`{"listen":"127.0.0.1:0","settings":{"classes":[{"name":"q","repeat":"x"}]}}`, "", "classes[0].repeat"},
		"no listen":    {`{"settings":` + good + `}`, "", "listen: missing"},
		"bad listen":   {`{"listen":"nowhere","settings":` + good + `}`, "", "listen:"},
		"bad known":    {`{"listen":"127.0.0.1:0","known":{"hosts":[{"host":"h","health":"odd"}]},"settings":` + good + `}`, "", "hosts[0].health"},
		"faktory key":  {`{"settings":` + good + `}`, "lisen = \"127.0.0.1:0\"", "lisen: unknown key"},
		"faktory text": {`{"settings":` + good + `}`, "listen = ", "faktory.toml"},
	} {
		args := []string{"-config", write("config.json", test.config)}
		if test.faktory != "" {
			args = append(args, "-faktory", write("faktory.toml", test.faktory))
		}
		cmd := exec.Command(builtProgram, args...)
		cmd.Env = append(os.Environ(), "BALANCER_LISTEN=", "BALANCER_CONFIG=", "BALANCER_DISCOVERY=")
		out, err := cmd.CombinedOutput()
		if err == nil || !strings.Contains(string(out), test.want) || strings.Count(string(out), "\n") != 1 {
			t.Errorf("%s: %v, %q; want one line with %q", name, err, out, test.want)
		}
	}
}

// A BALANCER_FD that is no listener ends the start with a line that names it.
func TestBadInheritedListener(t *testing.T) {
	d := newDaemonWithAdmin(t, nil)
	d.env = append(d.env, "BALANCER_FD=77")
	dir := t.TempDir()
	d.configPath = filepath.Join(dir, "config.json")
	os.WriteFile(d.configPath, []byte(`{"listen":"127.0.0.1:0","settings":`+strings.ReplaceAll(settingsText, "CONN_IDLE", "1")+`}`), 0o600)
	cmd := exec.Command(builtProgram)
	cmd.Env = d.environment()
	if out, err := cmd.CombinedOutput(); err == nil || !strings.Contains(string(out), `BALANCER_FD: "77"`) {
		t.Errorf("%v, %q", err, out)
	}
}
