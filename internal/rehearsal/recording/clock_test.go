package recording

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/klauspost/compress/gzip"
)

// Two sources whose clocks are 7 s apart logged some of the same requests: the offset is
// estimated, and only those requests are merged.
func TestClockOffsetOfTwoSources(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var a, b strings.Builder
	both, at := 0, logStart
	for i := range 600 {
		at = at.Add(time.Duration(rng.IntN(900)) * time.Millisecond)
		path := fmt.Sprintf("/members/%d/status", rng.IntN(300))
		switch i % 3 {
		case 0:
			a.WriteString(combinedLine(at, "GET", path, 0.01))
		case 1:
			b.WriteString(combinedLine(at.Add(-7*time.Second), "GET", path, 0.01))
		default:
			both++
			a.WriteString(combinedLine(at, "GET", path, 0.012))
			b.WriteString(combinedLine(at.Add(-7*time.Second), "GET", path, 0.01))
		}
	}
	report, list, _ := importTexts(t, Options{Seed: 1}, a.String(), b.String())
	source := report.Sources[1]
	if !source.Estimated || source.OffsetUs < 6_000_000 || source.OffsetUs > 8_000_000 || source.Pairs < 20 || source.SpreadUs <= 0 {
		t.Errorf("%+v", source)
	}
	if dup := int(source.Duplicates + report.Sources[0].Duplicates); dup < both*97/100 || dup > both*105/100 || len(list) != 800-dup {
		t.Errorf("found %d of %d duplicates, %d entries left", dup, both, len(list))
	}
	if span := list[len(list)-1].Arrival; span > at.Sub(logStart)+3*time.Second {
		t.Errorf("the recording spans %v, the logs %v", span, at.Sub(logStart))
	}
	report, _, _ = importTexts(t, Options{Seed: 1, Offsets: map[string]time.Duration{"s1": 7 * time.Second}, KeepDuplicates: true}, a.String(), b.String())
	if report.Accepted != 800 || report.Sources[1].OffsetUs != 7_000_000 || report.Sources[1].Estimated {
		t.Errorf("given: %+v", report.Sources[1])
	}
	// Sources without common requests get no offset.
	report, _, _ = importTexts(t, Options{Seed: 1}, a.String(), strings.ReplaceAll(b.String(), "/members/", "/members/x"))
	if report.Sources[1].Estimated || report.Sources[1].OffsetUs != 0 || report.Ignored != 0 {
		t.Errorf("nothing shared: %+v", report.Sources[1])
	}
}

// A clock that steps back by an hour, and outliers among the timestamps: the order of the lines
// is kept, both are counted, and the recording does not grow by an hour.
func TestClockSteps(t *testing.T) {
	for name, c := range map[string]struct {
		at              func(i int) time.Time
		steps, outliers int
		span            time.Duration
	}{
		"hour back": {func(i int) time.Time {
			if i < 100 {
				return logStart.Add(time.Duration(i) * time.Second)
			}
			return logStart.Add(time.Duration(i)*time.Second - time.Hour)
		}, 1, 0, 199 * time.Second},
		"odd": {func(i int) time.Time {
			if i == 50 || i == 51 {
				return logStart.AddDate(73, 0, 0)
			} else if i == 80 {
				return logStart.AddDate(-56, 0, 0)
			}
			return logStart.Add(time.Duration(i) * time.Second)
		}, 0, 3, 199 * time.Second},
		"night": {func(i int) time.Time {
			if i >= 100 {
				i += 10 * 3600
			}
			return logStart.Add(time.Duration(i) * time.Second)
		}, 0, 0, 36199 * time.Second},
	} {
		var text strings.Builder
		for i := range 200 {
			text.WriteString(combinedLine(c.at(i), "GET", fmt.Sprintf("/members/%d/status", i), 0))
		}
		report, list, _ := importTexts(t, Options{Seed: 1}, text.String())
		source := report.Sources[0]
		if source.ClockSteps != c.steps || source.OutlierTimestamps != c.outliers || report.Accepted != 200 {
			t.Errorf("%s: %+v", name, source)
		}
		if span := list[199].Arrival; span < c.span-3*time.Second || span > c.span+3*time.Second {
			t.Errorf("%s: spans %v, want %v", name, span, c.span)
		}
		if name == "hour back" && report.Repairs["clock stepped back"] != 100 {
			t.Errorf("%s: %v", name, report.Repairs)
		}
	}
	// The end of summer time in a log whose timestamps name no zone.
	zone, err := time.LoadLocation("Europe/Berlin")
	if err != nil {
		t.Skip("no zones on this machine")
	}
	var text strings.Builder
	for i := range 240 {
		at := time.Date(2026, 10, 24, 23, 0, 0, 0, time.UTC).Add(time.Duration(i) * time.Minute).In(zone)
		fmt.Fprintf(&text, "%s GET /members/%d/status\n", at.Format("2006-01-02T15:04:05"), i)
	}
	r, list, _ := importTexts(t, Options{Format: "nginx:$time_iso8601 $request_method $request_uri", Zone: zone}, text.String())
	if r.Repairs["hour that came twice"] != 60 || r.Sources[0].ClockSteps != 0 || len(list) != 240 || list[239].Arrival > 4*time.Hour {
		t.Errorf("summer time: %+v, %v", r.Sources[0], list[len(list)-1].Arrival)
	}
}

// Rotated files are read in the order of their timestamps.
func TestRotatedFiles(t *testing.T) {
	part := func(from int) string {
		var text strings.Builder
		for i := range 50 {
			text.WriteString(combinedLine(logStart.Add(time.Duration(from+i)*time.Second), "GET", fmt.Sprintf("/members/%d/status", from+i), 0))
		}
		return text.String()
	}
	var packed bytes.Buffer
	compressor := gzip.NewWriter(&packed)
	io.WriteString(compressor, part(0))
	compressor.Close()
	in := []Input{{"a", "a.log", strings.NewReader(part(100))}, {"a", "a.log.2.gz", &packed}, {"a", "a.log.1", strings.NewReader(part(50))}}
	report, list, _ := importInputs(t, Options{Seed: 1}, in)
	source := report.Sources[0]
	if !source.Reordered || source.ClockSteps != 0 || !slices.Equal(source.Files, []string{"a.log.2.gz", "a.log.1", "a.log"}) || len(list) != 150 {
		t.Errorf("%+v", source)
	}
}

// Entries of whole seconds are spread evenly, in their order, and the same with the same seed.
func TestSpreadWithinSecond(t *testing.T) {
	var text strings.Builder
	for i := range 2000 {
		text.WriteString(combinedLine(logStart, "GET", fmt.Sprintf("/members/%d/status", i%7), 0.5))
	}
	report, list, one := importTexts(t, Options{Seed: 1}, text.String())
	_, _, two := importTexts(t, Options{Seed: 1}, text.String())
	_, _, other := importTexts(t, Options{Seed: 2}, text.String())
	if !bytes.Equal(one, two) || bytes.Equal(one, other) {
		t.Error("the same seed does not give the same bytes, or another seed does")
	}
	tenth := [10]int{}
	for _, e := range list {
		tenth[min(e.Arrival*10/time.Second, 9)]++
	}
	for i, n := range tenth {
		if n < 130 || n > 270 {
			t.Errorf("%d of 2000 in tenth %d", n, i)
		}
	}
	if report.Sources[0].Spread != 2000 || report.Start.Sub(logStart) > -490*time.Millisecond || report.Start.Sub(logStart) < -500*time.Millisecond {
		t.Errorf("%+v, start %v", report.Sources[0], report.Start)
	}
	var spreader secondSpreader
	var got []pendingEntry
	spreader = secondSpreader{random: newRandomStream(1, "x"), emit: func(p pendingEntry) { got = append(got, p) }}
	for i := range 3*maxSpreadGroup + 5 { // more than one group
		spreader.add(pendingEntry{timestamp: 5_000_000, resolution: 1_000_000, sequence: uint64(i)})
	}
	spreader.flush()
	if len(got) != 3*maxSpreadGroup+5 || spreader.CrowdedSeconds != 3 || !slices.IsSortedFunc(got, func(a, b pendingEntry) int {
		if a.timestamp > b.timestamp || a.sequence > b.sequence {
			return 1
		}
		return -1
	}) || got[len(got)-1].timestamp > 5_999_999 {
		t.Errorf("a crowded second: %d, %d, last at %d", len(got), spreader.CrowdedSeconds, got[len(got)-1].timestamp)
	}
}
