package membership

import (
	"encoding/json"
	"fmt"
	"net"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// workerRecord returns the record of a worker as the origin lists it.
func workerRecord(name, health string, startedMs int) Record {
	value := fmt.Sprintf(`{"host":%q,"dial":"10.1.0.18:8080","site":"a","class":"m2","block":3,`+
		`"health":%q,"share":1.0,"born_ms":%d}`, name, health, startedMs)
	return Record{
		Key:     WorkerPrefix + name,
		Value:   json.RawMessage(value),
		Deleted: health == HealthGone,
		Urgent:  health != HealthReady,
	}
}

// Unknown fields of workers are kept, and unknown fields of the line are ignored.
func TestParse(t *testing.T) {
	line := `{"seq":43,"whole":false,"hosts":[
	  {"host":"s-1","dial":"10.1.0.18:8080","health":"ready","rack": {"row" : 7}},
	  {"host":"s-2","dial":"10.1.0.19:8080","health":"draining"},
	  {"host":"s-3","health":"gone"}],
	 "settings":[{"key":"projects[3].quota_per_s","value":12.5},{"key":"limits.x","value":null}], "later": {}}`
	change, err := Parse([]byte(line))
	want := Change{Version: 43, Records: []Record{
		{Key: "host/s-1", Value: []byte(`{"host":"s-1","dial":"10.1.0.18:8080","health":"ready","rack": {"row" : 7}}`)},
		{Key: "host/s-2", Value: []byte(`{"host":"s-2","dial":"10.1.0.19:8080","health":"draining"}`), Urgent: true},
		{Key: "host/s-3", Value: []byte(`{"host":"s-3","health":"gone"}`), Deleted: true, Urgent: true},
		{Key: "setting/projects[3].quota_per_s", Value: []byte(`12.5`)},
		{Key: "setting/limits.x", Value: []byte(`null`), Deleted: true},
	}}
	if err != nil || !reflect.DeepEqual(change, want) {
		t.Errorf("%+v, %v", change, err)
	}
}

func TestParseDoesNotRetainTheLine(t *testing.T) {
	line := Change{Version: 1, Records: []Record{workerRecord("a", HealthReady, 0), settingRecord("b", "1")}}.Append(nil)
	change, err := Parse(line)
	if err != nil {
		t.Fatal(err)
	}
	before := string(change.Append(nil))
	clear(line)
	if after := string(change.Append(nil)); after != before {
		t.Errorf("the change was altered when the line was overwritten: %s", after)
	}
}

func TestParseNamesTheField(t *testing.T) {
	const valid = `{"host":"a","dial":"h:1","health":"ready"}`
	withWorker := func(fields string) string { return `{"seq":7,"hosts":[` + valid + `,{` + fields + `}]}` }
	for _, test := range []struct{ line, want string }{
		{`{"whole":true,"hosts":[]}`, `seq: missing`},
		{`{"seq":-3}`, `seq: -3 is negative`},
		{`{"seq":"3"}`, `line.seq: unexpected string`},
		{`{"seq":3,"hosts":{}}`, `line.hosts: unexpected object`},
		{`{"seq":3,"missing":4}`, `missing: 4 is not between 0 and seq`},
		{`[]`, `line: unexpected array`},
		{`{"seq":3,`, `line: unexpected end of JSON input`},
		{withWorker(`"host":"b","dial":"h:1","health":"x"`), `hosts[1].health: unknown value "x"`},
		{withWorker(`"host":"b","dial":"h:1"`), `hosts[1].health: unknown value ""`},
		{withWorker(`"dial":"h:1","health":"ready"`), `hosts[1].host is empty`},
		{withWorker(`"host":"b","dial":"h","health":"ready"`), `hosts[1].dial: address h: missing port in address`},
		{withWorker(`"host":"b","dial":"h:1","health":"ready","block":1.5`), `hosts[1].block: unexpected number 1.5`},
		{withWorker(`"host":"b","dial":"h:1","health":"ready","share":"1"`), `hosts[1].share: unexpected string`},
		{withWorker(`"host":"b","dial":"h:1","health":"ready","site":4`), `hosts[1].site: unexpected number`},
		{`{"seq":7,"hosts":[3]}`, `hosts[0]: unexpected number`},
		{`{"seq":7,"settings":[{"key":"a","value":1},{"value":1}]}`, `settings[1].key is empty`},
		{`{"seq":7,"settings":[{"key":"a"}]}`, `settings[0].value: missing`},
		{`{"seq":7,"settings":[{"key":1,"value":1}]}`, `settings[0].key: unexpected number`},
	} {
		change, err := Parse([]byte(test.line))
		if err == nil || err.Error() != test.want {
			t.Errorf("%s\n%v, want %s", test.line, err, test.want)
		}
		if len(change.Records) > 0 {
			t.Errorf("%s: records are returned with an error", test.line)
		}
		if isContentError := strings.Contains(test.want, "["); isContentError != (change.Version == 7) {
			t.Errorf("%s: version %d", test.line, change.Version)
		}
	}
}

func TestParseErrorSaysWhetherTheLineIsASnapshot(t *testing.T) {
	for _, snapshot := range []bool{false, true} {
		change, err := Parse(fmt.Appendf(nil, `{"hosts":[{}],"whole":%v,"seq":7}`, snapshot))
		if err == nil || change.Version != 7 || change.Snapshot != snapshot {
			t.Errorf("%+v, %v", change, err)
		}
	}
}

func TestParseKeepsTheLastRecordOfAKey(t *testing.T) {
	records := []Record{workerRecord("a", HealthGone, 0), workerRecord("b", HealthReady, 0), workerRecord("a", HealthReady, 1)}
	change, err := Parse(Change{Version: 1, Records: records}.Append(nil))
	if err != nil || !reflect.DeepEqual(change.Records, records[1:]) {
		t.Errorf("%+v, %v", change, err)
	}
}

// A change is appended as one line, and parsing restores it.
func TestAppendAndParse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		change := drawChange(t)
		line := change.Append([]byte("before"))
		text := strings.TrimPrefix(string(line), "before")
		if strings.Index(text, "\n") != len(text)-1 {
			t.Fatalf("not one line: %q", text)
		}
		read, err := Parse([]byte(text))
		if err != nil {
			t.Fatalf("%s: %v", text, err)
		}
		change.Base = 0 // not on the wire
		if !reflect.DeepEqual(read, change) {
			t.Fatalf("%+v\nbecame %+v", change, read)
		}
	})
}

// drawChange draws a change of distinct keys, workers first.
func drawChange(t *rapid.T) Change {
	change := Change{
		Version:  Version(rapid.Int64Range(0, 1<<53).Draw(t, "version")),
		Snapshot: rapid.Bool().Draw(t, "snapshot"),
		Exact:    rapid.Bool().Draw(t, "exact"),
		Base:     Version(rapid.Int64Range(0, 9).Draw(t, "base")),
		Records:  []Record{},
	}
	change.MissingFrom = Version(rapid.Int64Range(0, int64(change.Version)).Draw(t, "missing"))
	for _, name := range rapid.SliceOfNDistinct(rapid.StringN(1, 8, -1), 0, 3, rapid.ID).Draw(t, "hosts") {
		health := rapid.SampledFrom([]string{HealthReady, HealthDraining, HealthGone}).Draw(t, "health")
		object := map[string]any{"host": name, "health": health, "dial": "h:1"}
		object[rapid.StringMatching("x[a-z]*").Draw(t, "field")] = rapid.String().Draw(t, "value")
		value, _ := json.Marshal(object)
		change.Records = append(change.Records, Record{Key: WorkerPrefix + name, Value: value,
			Deleted: health == HealthGone, Urgent: health != HealthReady})
	}
	for _, path := range rapid.SliceOfNDistinct(rapid.StringN(1, 8, -1), 0, 3, rapid.ID).Draw(t, "settings") {
		value := rapid.SampledFrom([]string{"1", `"x"`, `[1, 2]`, "null"}).Draw(t, "value")
		change.Records = append(change.Records, settingRecord(path, value))
	}
	return change
}

// checkAddress accepts the same addresses as net.SplitHostPort.
func TestCheckAddress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		address := rapid.StringMatching(`[a1:.\[\]%]{0,8}`).Draw(t, "address")
		_, _, want := net.SplitHostPort(address)
		if got := checkAddress(address); (got == nil) != (want == nil) {
			t.Fatalf("%q: %v, net.SplitHostPort says %v", address, got, want)
		}
	})
}

// The new health replaces the old one, in whatever case its key is written.
func TestWithHealth(t *testing.T) {
	got := withHealth(json.RawMessage(`{"host":"a","Health":"ready","health":"ready","rack":{"row":7}}`), HealthGone)
	if string(got) != `{"health":"gone","host":"a","rack":{"row":7}}` {
		t.Errorf("the record is %s", got)
	}
}

// A line is rejected as a whole, without records, or parsed as a whole.
func FuzzParse(f *testing.F) {
	f.Add(fleetSnapshot(3, 2).Append(nil))
	f.Add([]byte(`{"seq":1,"settings":[{"key":"a","value":null}],"exact":true,"missing":1}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		change, err := Parse(line)
		if err != nil {
			if len(change.Records) > 0 {
				t.Error("records returned with an error")
			}
			return
		}
		again, err := Parse(change.Append(nil))
		if err != nil || !reflect.DeepEqual(change, again) {
			t.Errorf("%+v became %+v, %v", change, again, err)
		}
	})
}
