package faktory

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"hollyyoke.example/hollyyoke/decision"
)

func TestReadConfigNamesTheField(t *testing.T) {
	s := decision.Settings{Classes: []decision.Class{{Name: "renewal"}}}
	for text, want := range map[string]string{
		"":                     "listen: missing",
		"listen = \"nowhere\"": "listen:",
		"listen = 5":           "listen",
		"listen = \"127.0.0.1:0\"\nlisten_on = 1":            "listen_on: unknown key",
		"[source]\naddress = \"127.0.0.1:1\"\nlanes = 0":     "source.lanes:",
		"[source]\naddress = \"127.0.0.1:1\"\nqueues=[\"\"]": "source.queues[0]:",
		"[source]\naddr = \"127.0.0.1:1\"":                   "source.addr: unknown key",
	} {
		path := filepath.Join(t.TempDir(), "f.toml")
		os.WriteFile(path, []byte(text), 0o600)
		if _, err := ReadConfig(path, &s); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want one line with %q", text, err, want)
		}
	}
	if c, err := ReadConfig("../../deploy/faktory.toml", &s); err != nil || c.Listen == "" {
		t.Errorf("the file shipped: %+v, %v", c, err)
	}
}

// An invalid durable table is rejected, and the error names the key.
func TestDurableTableIsChecked(t *testing.T) {
	s := decision.Settings{Classes: []decision.Class{{Name: "renewal"}}}
	for _, test := range []struct {
		c    Durable
		want string
	}{
		{Durable{Queues: []string{"renewal"}}, "durable.path"},
		{Durable{Path: "x", Queues: []string{"y"}}, "durable.queues[0]"},
		{Durable{Path: "x", LeaseS: -1}, "durable.lease_s"},
		{Durable{Path: "x", Queues: []string{"renewal"}}, ""},
	} {
		c := Default()
		c.Listen, c.Durable = "127.0.0.1:0", test.c
		err := c.Check(&s)
		if test.want == "" && err != nil || test.want != "" && (err == nil || !strings.HasPrefix(err.Error(), test.want)) {
			t.Errorf("%+v: %v", test.c, err)
		}
		if c.Listen, c.Source.Address = "", "127.0.0.1:1"; test.want == "" && c.Check(&s) == nil {
			t.Error("durable without the server role")
		}
	}
}

// Only a front end all of whose state is in the store can hand over to a
// successor; the error says why another cannot.
func TestMovable(t *testing.T) {
	settings := decision.Settings{Classes: []decision.Class{{Name: "status-check"}, {Name: "renewal"}}}
	config := Default()
	config.Durable.Queues = []string{"status-check", "renewal"}
	if err := config.Movable(&settings); err != nil {
		t.Errorf("all queues durable: %v", err)
	}
	config.Durable.Queues = []string{"status-check"}
	var direct *DirectQueueError
	if err := config.Movable(&settings); !errors.As(err, &direct) || direct.Queue != "renewal" {
		t.Errorf("one direct queue: %v", err)
	}
	config.Source.Address = "127.0.0.1:1"
	if err := config.Movable(&settings); !errors.Is(err, ErrSourceNotMovable) {
		t.Errorf("with the source role: %v", err)
	}
}
