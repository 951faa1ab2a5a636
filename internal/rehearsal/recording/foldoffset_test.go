package recording

import (
	"testing"
	"time"
)

// Guards against an entry whose time is certain and is moved by an hour all the same: the doubt of a local time as summer
// time ends was kept for a number since 1970 behind it, whose time counts.
func TestFoldOfLocalTimeEndsWithALaterEpoch(t *testing.T) {
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
		t.Errorf("time %d, fold %d; want that of the number, and no fold", raw.Timestamp, raw.FoldOffset)
	}
}
