package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"hollyyoke.example/hollyyoke/internal/goldentest"
)

// fullSettings returns a settings object in which every key has a value other than its
// default.
func fullSettings(t *testing.T) map[string]any {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "settings-full.json"))
	if err != nil {
		t.Fatal(err)
	}
	var document map[string]any
	if err := json.Unmarshal(text, &document); err != nil {
		t.Fatal(err)
	}
	return document
}

// Compares the effect of every key of the settings object on the decoded settings.
func TestGoldenSettings(t *testing.T) {
	decode := func(text []byte) (any, error) { return Read(text) }
	goldentest.Compare(t, "settings.golden", goldentest.Effects(t, fullSettings(t), json.Marshal, decode))
}

// Compares the results of decoding the values of enumerations, and the errors for
// invalid values.
func TestGoldenSettingsValues(t *testing.T) {
	var lines []string
	for _, text := range []string{
		`{"classes":[{"repeat":"retryable"}]}`,
		`{"classes":[{"repeat":"dedup","group":"zone"}]}`,
		`{"classes":[{"repeat":"fragile","group":"cell"}]}`,
		`{"classes":[{"repeat":"dedup","group":"all"}]}`,
		`{"classes":[{"repeat":"often"}]}`,
		`{"classes":[{"repeat":"dedup","group":"town"}]}`,
		`{"worth_by":"job"}`,
		`{"worth_by":"work"}`,
		`{"discovery":"push"}`,
		`{"discovery":"ask"}`,
		`{"weights":"nominal"}`,
		`{"weights":"live"}`,
		`{"reporting":{"via":"answers"}}`,
		`{"reporting":{"via":"probe"}}`,
		`{"domain":{"queue_order":"lifo"}}`,
		`{"domain":{"queue_order":"fifo"}}`,
		`{"domain":{"report_x0":"free slots"}}`,
		`{"domain":{"report_x1":"free slots"}}`,
		`{"domain":{"report_x0":"free memory"}}`,
		`{"unknown":1}`,
		`{"limits":{"max_attempts":"3"}}`,
		`{"classes":[{"slo_us":"3"}]}`,
		`{"rules":[]}`,
		`{`,
	} {
		settings, err := Read([]byte(text))
		lines = append(lines, fmt.Sprintf("%s: %s; %v", text, goldentest.Values(settings), err))
	}
	goldentest.Compare(t, "settings-values.golden", goldentest.Lines(lines))
}

// Compares load reports with the value names of the settings and with the common names.
func TestGoldenLoadReports(t *testing.T) {
	var lines []string
	reports := []string{
		`{"x0":5}`,
		`{"x1":6}`,
		`{"outstanding":3}`,
		`{"inflight":7}`,
		`{"outstanding":3,"inflight":7}`,
		`{"backlog":8}`,
		`{"queue":9}`,
		`{"backlog":8,"queue":9}`,
		`{"x0":"5"}`,
		`{"unknown":1}`,
		`[]`,
	}
	for _, freeSlots := range []string{"", "x0", "x1"} {
		settings, err := Read([]byte(`{"classes":[]}`))
		if err != nil {
			t.Fatal(err)
		}
		settings.FreeSlotsField = freeSlots
		for _, text := range reports {
			load := ReadLoadReport(&settings, []byte(text))
			lines = append(lines, fmt.Sprintf("%q %s: %s", freeSlots, text, goldentest.Values(load)))
		}
	}
	goldentest.Compare(t, "load.golden", goldentest.Lines(lines))
}

// Compares the keys of the tables of the operator's file.
func TestGoldenOperatorKeys(t *testing.T) {
	goldentest.Compare(t, "connections-keys.golden", goldentest.Lines(goldentest.Keys(reflect.TypeFor[Connections](), "toml")))
	goldentest.Compare(t, "membership-keys.golden", goldentest.Lines(goldentest.Keys(reflect.TypeFor[Membership](), "toml")))
}

// Compares the errors for invalid operator's files, and the values of the file under
// deploy.
func TestGoldenOperatorFiles(t *testing.T) {
	var lines []string
	read := func(name, text string) Operator {
		t.Helper()
		var faktory map[string]any
		operator, err := ReadOperator(writeOperatorFile(t, text), &faktory)
		lines = append(lines, fmt.Sprintf("%q: faktory %v; %v", name, faktory, err))
		return operator
	}
	for _, text := range []string{
		"[connections]\nunknown = 1",
		"[unknown]",
		"[faktory]\nlisten = \"a\"",
		"[connections]\nknown = [\"a\"]",
		"[connections]\nfronts = [\"a\"]",
		"[connections]\nrefuse = \"502\"",
		"[connections]\nrefuse = \"503\"",
		"[connections]\non = 1",
		"[connections]\nlearn_half_life_s = -1.0",
		"[connections]\nlow_mark = 2.0",
		"[connections]\nreserve_connections = 9000",
		"[membership]\non = true",
		"[membership]\nacknowledge_ms = -1.0",
		"[[membership.servers]]\naddress = \"a\"",
		"[[membership.servers]]\naddress = \"a:0\"",
		"[[membership.servers]]\nzone = \"z\"\naddress = \"a:1\"",
	} {
		read(text, text)
	}
	deployed, err := os.ReadFile(filepath.Join("..", "..", "deploy", "operator.toml"))
	if err != nil {
		t.Fatal(err)
	}
	operator := read("deploy/operator.toml", string(deployed))
	lines = append(lines, explainedValues(operator)...)
	goldentest.Compare(t, "operator.golden", goldentest.Lines(lines))
}

// explainedValues returns the lines that Explain writes, sorted and without the
// descriptions.
func explainedValues(operator Operator) []string {
	var output strings.Builder
	operator.Connections.Explain(&output)
	operator.Membership.Explain(&output)
	var values []string
	for line := range strings.Lines(output.String()) {
		value, _, _ := strings.Cut(line, "#")
		values = append(values, strings.TrimSpace(value))
	}
	slices.Sort(values)
	return values
}
