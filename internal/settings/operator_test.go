package settings

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/membership"
)

// writeOperatorFile writes an operator's file and returns its path.
func writeOperatorFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Checks that an error in the table names the key, even if the table is not enabled.
func TestMembershipTableNamesTheKey(t *testing.T) {
	const server = "[[membership.servers]]\naddress = "
	for text, want := range map[string]string{
		"on = true":              "membership.servers: none",
		"on = 1":                 "membership.on",
		"follow = true":          "membership.follow: unknown key",
		"acknowledge_ms = -1":    "membership.acknowledge_ms: -1",
		"acknowledge_ms = 60000": "membership.acknowledge_ms: 60000",
		server + `"10.0.0.1"`:    "membership.servers[0].address",
		server + `"10.0.0.1:0"`:  "membership.servers[0].address",
		server + `":8601"`:       "membership.servers[0].address",
		server + `"a:1"` + "\n" + server + `"a:1"`:           "membership.servers[1].address: a:1 stands there twice",
		server + `"a:1"` + "\n[[membership.servers]]\nx = 1": "membership.servers.x: unknown key",
	} {
		_, err := ReadOperator(writeOperatorFile(t, "[membership]\n"+text+"\n"), nil)
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
}

// Checks that the conversion of the table [membership] prefers the dispatcher's own
// zone, and that zones that the settings do not have are errors.
func TestMembershipTable(t *testing.T) {
	operator, err := ReadOperator(writeOperatorFile(t, `
[membership]
on = true
[[membership.servers]]
zone = "z2"
address = "127.0.0.1:8601"
[[membership.servers]]
address = "127.0.0.1:8600"
`), nil)
	if err != nil || !operator.Membership.Enabled {
		t.Fatalf("%+v, %v", operator.Membership, err)
	}
	settings := decision.Settings{Zone: 1, ZoneNames: []string{"z1", "z2"}}
	sources, err := operator.Membership.SourcesFor(&settings)
	want := MembershipSources{
		PreferredZone:       "z2",
		Servers:             []membership.Server{{Zone: "z2", Address: "127.0.0.1:8601"}, {Address: "127.0.0.1:8600"}},
		AcknowledgeInterval: time.Second,
	}
	if err != nil || !reflect.DeepEqual(sources, want) {
		t.Errorf("%+v, %v; want %+v", sources, err, want)
	}

	operator.Membership.Servers[0].Zone = "z3"
	_, err = operator.Membership.SourcesFor(&settings)
	if err == nil || !strings.Contains(err.Error(), `servers[0].zone: the settings have no zone "z3"`) {
		t.Errorf("an unknown zone of a server: %v", err)
	}
	operator.Membership.Zone = "z4"
	_, err = operator.Membership.SourcesFor(&settings)
	if err == nil || !strings.Contains(err.Error(), "zone: ") {
		t.Errorf("an unknown zone: %v", err)
	}

	operator, err = ReadOperator(writeOperatorFile(t, "[connections]\non = false\n"), nil)
	if err != nil || operator.Membership.Enabled {
		t.Errorf("without the table: %+v, %v", operator.Membership, err)
	}
}
