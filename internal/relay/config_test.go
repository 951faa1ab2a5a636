package relay

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// writeOptions writes an options file and returns its path.
func writeOptions(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "relay.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// validOptions has all options that have no default.
const validOptions = `[relay]
name = "r"
listen = "127.0.0.1:0"
upstreams = ["127.0.0.1:1"]
`

// Options that the file does not set have their defaults.
func TestLoadFillsInDefaults(t *testing.T) {
	config, err := Load(writeOptions(t, validOptions+"batch_ms = 70\n"))
	if err != nil {
		t.Fatal(err)
	}
	want := Defaults()
	if config.BatchMs != 70 || config.BytesPerS != want.BytesPerS || config.LogChanges != want.LogChanges {
		t.Errorf("%+v", config)
	}
}

// An error is one line that names the invalid key.
func TestLoadNamesTheKey(t *testing.T) {
	for _, test := range []struct{ text, want string }{
		{validOptions + "burst = 3\n", "relay.burst: unknown key"},
		{validOptions + "[other]\nx = 1\n", "other: unknown key"},
		{"[relay]\nlisten = \"127.0.0.1:0\"\nupstreams = [\"127.0.0.1:1\"]\n", "relay.name: is empty"},
		{strings.Replace(validOptions, `"r"`, `"a b"`, 1), "relay.name: "},
		{strings.Replace(validOptions, "127.0.0.1:0", "127.0.0.1", 1), "relay.listen: "},
		{strings.Replace(validOptions, `["127.0.0.1:1"]`, "[]", 1), "relay.upstreams: at least one"},
		{strings.Replace(validOptions, `["127.0.0.1:1"]`, `["127.0.0.1:"]`, 1), "relay.upstreams[0]: "},
		{strings.Replace(validOptions, `["127.0.0.1:1"]`, `["h:1", "h:1"]`, 1), "relay.upstreams[1]: h:1 is listed twice"},
		{validOptions + "admin_addr = \"x\"\n", "relay.admin_addr: "},
		{validOptions + "batch_ms = -1\n", "relay.batch_ms: "},
		{validOptions + "batch_ms = \"soon\"\n", "batch_ms"},
		{validOptions + "bytes_per_s = nan\n", "relay.bytes_per_s: "},
		{validOptions + "urgent_batch_ms = 900\n", "relay.urgent_batch_ms: "},
		{validOptions + "max_subscribers = 0\n", "relay.max_subscribers: "},
	} {
		_, err := Load(writeOptions(t, test.text))
		if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, not %q", test.text, err, test.want)
		}
	}
}

// The options file in the deploy folder is valid and contains the defaults.
func TestDeployedOptions(t *testing.T) {
	config, err := Load("../../deploy/relay.toml")
	if err != nil {
		t.Fatal(err)
	}
	if config.BatchMs != Defaults().BatchMs || config.MaxSubscribers != Defaults().MaxSubscribers {
		t.Error("the deployed file's defaults differ")
	}
	var out bytes.Buffer
	config.Explain(&out)
	if !strings.Contains(out.String(), `relay.name = relay-z1  # `) {
		t.Errorf("%s", &out)
	}
}
