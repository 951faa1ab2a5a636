package faktory

import (
	"errors"
	"strings"
	"testing"

	"hollyyoke.example/hollyyoke/decision"
)

func TestReadConfigNamesTheField(t *testing.T) {
	settings := decision.Settings{Classes: []decision.Class{{Name: "renewal"}}}
	for text, want := range map[string]string{
		"":                     "listen: missing",
		"listen = \"nowhere\"": "listen:",
		"listen = 5":           "listen",
		"listen = \"127.0.0.1:0\"\nlisten_on = 1":            "listen_on: unknown key",
		"[source]\naddress = \"127.0.0.1:1\"\nlanes = 0":     "source.lanes:",
		"[source]\naddress = \"127.0.0.1:1\"\nqueues=[\"\"]": "source.queues[0]:",
		"[source]\naddr = \"127.0.0.1:1\"":                   "source.addr: unknown key",
	} {
		_, err := readConfigText(t, text, &settings)
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want one line with %q", text, err, want)
		}
	}
	shipped, err := ReadConfig("../../deploy/faktory.toml", &settings)
	if err != nil || shipped.Listen == "" {
		t.Errorf("deploy/faktory.toml: %+v, %v", shipped, err)
	}
}

// An invalid durable table is rejected, and the error names the key.
func TestDurableTableIsChecked(t *testing.T) {
	settings := decision.Settings{Classes: []decision.Class{{Name: "renewal"}}}
	for _, test := range []struct {
		table Durable
		want  string // prefix of the error; empty if there must be none
	}{
		{Durable{Queues: []string{"renewal"}}, "durable.path"},
		{Durable{Path: "x", Queues: []string{"y"}}, "durable.queues[0]"},
		{Durable{Path: "x", LeaseS: -1}, "durable.lease_s"},
		{Durable{Path: "x", Queues: []string{"renewal"}}, ""},
	} {
		config := Default()
		config.Listen = "127.0.0.1:0"
		config.Durable = test.table
		err := config.Check(&settings)
		if test.want == "" && err != nil || test.want != "" && (err == nil || !strings.HasPrefix(err.Error(), test.want)) {
			t.Errorf("%+v: %v, want %q", test.table, err, test.want)
		}
		config.Listen = ""
		config.Source.Address = "127.0.0.1:1"
		if test.want == "" && config.Check(&settings) == nil {
			t.Error("durable queues without the server role were accepted")
		}
	}
}

// A front end can hand over to a successor only if all its state is in the store.
// Otherwise the error says what is not.
func TestCheckHandover(t *testing.T) {
	settings := decision.Settings{Classes: []decision.Class{{Name: "status-check"}, {Name: "renewal"}}}
	config := Default()
	config.Durable.Queues = []string{"status-check", "renewal"}
	if err := config.CheckHandover(&settings); err != nil {
		t.Errorf("all queues durable: %v", err)
	}
	config.Durable.Queues = []string{"status-check"}
	err := config.CheckHandover(&settings)
	var direct *DirectQueueError
	if !errors.As(err, &direct) || direct.Queue != "renewal" {
		t.Errorf("one direct queue: %v", err)
	}
	if err == nil || err.Error() != `queue "renewal" is direct, and its jids are in memory only` {
		t.Errorf("one direct queue: %v", err)
	}
	config.Source.Address = "127.0.0.1:1"
	err = config.CheckHandover(&settings)
	if !errors.Is(err, ErrSourceHandover) {
		t.Errorf("with the source role: %v", err)
	}
	if err == nil || err.Error() != "it fetches from upstream, whose jids are in memory only" {
		t.Errorf("with the source role: %v", err)
	}
}
