package membership

import (
	"encoding/json"
	"testing"
)

// The wire form of changes, byte for byte.
func TestAppendGolden(t *testing.T) {
	worker := func(health string) Record { return workerRecord("s-1", health, 1722800000000) }
	const ready = `{"host":"s-1","dial":"10.1.0.18:8080","site":"a","class":"m2","block":3,` +
		`"health":"ready","share":1.0,"born_ms":1722800000000}`
	for _, test := range []struct {
		change Change
		want   string
	}{
		{Change{}, `{"seq":0,"whole":false,"hosts":[]}`},
		{Change{Version: 41, Snapshot: true, Records: []Record{worker("ready")}}, `{"seq":41,"whole":true,"hosts":[` + ready + `]}`},
		{Change{Version: 42, Exact: true, MissingFrom: 3, Base: 41}, `{"seq":42,"whole":false,"exact":true,"missing":3,"hosts":[]}`},
		{Change{Version: 43, Records: []Record{
			{Key: SettingPrefix + "limits.x", Value: json.RawMessage(`12.5`)}, worker("ready"),
			{Key: SettingPrefix + `a"b`, Value: json.RawMessage(`null`), Deleted: true},
			{Key: WorkerPrefix + "s-2", Value: json.RawMessage(`{"host":"s-2","health":"gone"}`), Deleted: true, Urgent: true},
		}}, `{"seq":43,"whole":false,"hosts":[` + ready + `,{"host":"s-2","health":"gone"}],` +
			`"settings":[{"key":"limits.x","value":12.5},{"key":"a\"b","value":null}]}`},
	} {
		if got := string(test.change.Append(nil)); got != test.want+"\n" {
			t.Errorf("\n got %swant %s", got, test.want)
		}
	}
}
