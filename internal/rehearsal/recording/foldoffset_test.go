package recording

import (
	"testing"
	"time"
)

// If a line has an ambiguous local time followed by a time since 1970, the entry has the latter, which is
// not ambiguous. Guards against keeping the FoldOffset of the local time, by which the clock corrector
// might move the entry by an hour.
func TestEpochTimeClearsFoldOffset(t *testing.T) {
	zone, err := time.LoadLocation("Europe/Berlin")
	if err != nil {
		t.Fatal(err)
	}
	compiled, err := Compile(`nginx:$time_iso8601 $msec "$request" $status`, zone)
	if err != nil {
		t.Fatal(err)
	}
	var raw RawEntry
	const ambiguous = "2026-10-25T02:30:00"
	if err := compiled.Parse(ambiguous+` 1792891800.000 "GET /a HTTP/1.1" 200`, &raw); err != nil {
		t.Fatal(err)
	}
	if raw.FoldOffset != 0 || raw.Timestamp != 1792891800*second {
		t.Errorf("timestamp %d, fold offset %d; want the time since 1970 and no fold offset", raw.Timestamp, raw.FoldOffset)
	}
}
