package settings

import (
	"strings"
	"testing"

	"hollyyoke.example/hollyyoke/decision"
)

// Checks that the error for an invalid value names the key, and that unknown keys are
// ignored.
func TestReadNamesTheField(t *testing.T) {
	for text, want := range map[string]string{
		`{"limits":{"max_attempts":"three"}}`:            "limits.max_attempts",
		`{"classes":[{"repeat":"often"}]}`:               "classes[0].repeat",
		`{"classes":[{"repeat":"fragile","group":"x"}]}`: "classes[0].group",
		`[]`: "array",
		`{`:  "JSON",
	} {
		if _, err := Read([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
	settings, err := Read([]byte(`{"new":1,"classes":[{"name":"renewal","repeat":"fragile","deadline_us":8e6}],"domain":{"report_x1":"free slots"}}`))
	if err != nil || settings.Classes[0].Name != "renewal" || settings.Classes[0].Deadline.Seconds() != 8 || settings.FreeSlotsField != "x1" {
		t.Errorf("%+v, %v", settings, err)
	}
}

// Checks that a load report may use either set of names for its values, and that an
// invalid report counts as empty.
func TestReadLoadReport(t *testing.T) {
	settings := decision.Settings{FreeSlotsField: "x0"}
	full := decision.LoadReport{
		FreeSlots:      1.5,
		HasFreeSlots:   true,
		Outstanding:    7,
		HasOutstanding: true,
		Backlog:        2,
		HasBacklog:     true,
	}
	for text, want := range map[string]decision.LoadReport{
		`{"x0":1.5,"outstanding":7,"backlog":2,"x1":9}`: full,
		`{"x0":1.5,"inflight":7,"queue":2,"util":0.61}`: full,
		`{"x0":"many","backlog":null}`:                  {},
		`nonsense`:                                      {},
		``:                                              {},
		`[1]`:                                           {},
	} {
		if got := ReadLoadReport(&settings, []byte(text)); got != want {
			t.Errorf("%s: %+v, want %+v", text, got, want)
		}
	}
}
