package recording

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// overlappingLogs holds the logs of two sources that both logged some of the requests. The clock of the
// second source is behind.
type overlappingLogs struct {
	first  string
	second string
	shared int       // number of requests that both sources logged
	end    time.Time // completion of the last request, by the clock of the first source
}

// logsWithOffset returns the logs of two sources. Each logged a third of the requests alone, and both
// logged the remaining third. The clock of the second source is behind by offset.
func logsWithOffset(offset time.Duration) overlappingLogs {
	const requests = 600 // 800 log lines, since 200 of the requests have two
	random := rand.New(rand.NewPCG(1, 2))
	var first, second strings.Builder
	shared := 0
	completed := logStart
	for i := range requests {
		completed = completed.Add(time.Duration(random.IntN(900)) * time.Millisecond)
		member := random.IntN(300)
		switch i % 3 {
		case 0:
			first.WriteString(statusLine(completed, member, 0.01))
		case 1:
			second.WriteString(statusLine(completed.Add(-offset), member, 0.01))
		default:
			shared++
			first.WriteString(statusLine(completed, member, 0.012))
			second.WriteString(statusLine(completed.Add(-offset), member, 0.01))
		}
	}
	return overlappingLogs{first: first.String(), second: second.String(), shared: shared, end: completed}
}

// If two sources whose clocks are 7 s apart both logged some requests, the offset is estimated from these,
// and the second entry of each of them is dropped as a duplicate. Entries of other requests are kept.
func TestClockOffsetIsEstimatedFromSharedRequests(t *testing.T) {
	logs := logsWithOffset(7 * time.Second)
	imported := importTexts(t, Options{Seed: 1}, logs.first, logs.second)
	source := imported.report.Sources[1]
	if !source.Estimated || source.OffsetUs < 6_000_000 || source.OffsetUs > 8_000_000 {
		t.Errorf("estimated %v, offset %d µs, want an estimate of 7 s ± 1 s", source.Estimated, source.OffsetUs)
	}
	if source.Pairs < 20 || source.SpreadUs <= 0 {
		t.Errorf("%d pairs with spread %d µs, want at least 20 pairs and a spread above 0", source.Pairs, source.SpreadUs)
	}
	duplicates := int(source.Duplicates + imported.source().Duplicates)
	if duplicates < logs.shared*97/100 || duplicates > logs.shared*105/100 {
		t.Errorf("%d duplicates, want %d, -3%% to +5%%", duplicates, logs.shared)
	}
	if got, want := len(imported.entries), 800-duplicates; got != want {
		t.Errorf("%d entries are left, want %d", got, want)
	}
	if span := imported.entries[len(imported.entries)-1].Arrival; span > logs.end.Sub(logStart)+3*time.Second {
		t.Errorf("the recording spans %v, the logs %v", span, logs.end.Sub(logStart))
	}
}

// An offset that the caller gives replaces the estimate. With KeepDuplicates, duplicates are not dropped.
func TestGivenClockOffset(t *testing.T) {
	logs := logsWithOffset(7 * time.Second)
	options := Options{Seed: 1, Offsets: map[string]time.Duration{"s1": 7 * time.Second}, KeepDuplicates: true}
	imported := importTexts(t, options, logs.first, logs.second)
	source := imported.report.Sources[1]
	if imported.report.Accepted != 800 || source.OffsetUs != 7_000_000 || source.Estimated {
		t.Errorf("%d accepted, want 800; source %+v, want the given offset of 7 s", imported.report.Accepted, source)
	}
}

// No offset is estimated if no request was logged by both sources.
func TestNoClockOffsetWithoutSharedRequests(t *testing.T) {
	logs := logsWithOffset(7 * time.Second)
	others := strings.ReplaceAll(logs.second, "/members/", "/members/x")
	imported := importTexts(t, Options{Seed: 1}, logs.first, others)
	source := imported.report.Sources[1]
	if source.Estimated || source.OffsetUs != 0 || imported.report.Ignored != 0 {
		t.Errorf("%d ignored, source %+v, want neither duplicates nor an offset", imported.report.Ignored, source)
	}
}

// clockStepLines is the number of lines of the logs in clockStepCases.
const clockStepLines = 200

// nthSecond returns the time of the given line in a log with one line per second.
func nthSecond(line int) time.Time { return logStart.Add(time.Duration(line) * time.Second) }

// clockStepCases contains logs of a clock that steps, of one with single wrong timestamps and of one with a
// long gap, which is not a step.
var clockStepCases = map[string]struct {
	completed func(line int) time.Time
	steps     int           // number of steps of the clock
	outliers  int           // number of timestamps that are far from those of the lines around them
	repaired  uint64        // number of entries with the repair ClockStepped
	span      time.Duration // time between the first and the last arrival in the recording
}{
	"an hour back": {
		completed: func(line int) time.Time {
			if line < 100 {
				return nthSecond(line)
			}
			return nthSecond(line).Add(-time.Hour)
		},
		steps:    1,
		repaired: 100,
		span:     199 * time.Second,
	},
	"outliers": {
		completed: func(line int) time.Time {
			switch line {
			case 50, 51:
				return logStart.AddDate(73, 0, 0)
			case 80:
				return logStart.AddDate(-56, 0, 0)
			}
			return nthSecond(line)
		},
		outliers: 3,
		span:     199 * time.Second,
	},
	"a night without entries": {
		completed: func(line int) time.Time {
			if line >= 100 {
				return nthSecond(line + 10*3600)
			}
			return nthSecond(line)
		},
		span: 36199 * time.Second,
	},
}

// Steps of the clock and outliers among the timestamps are counted, the entries keep the order of their
// lines, and the recording spans the actual time between the first and the last request.
func TestClockSteps(t *testing.T) {
	for name, test := range clockStepCases {
		var text strings.Builder
		for line := range clockStepLines {
			text.WriteString(statusLine(test.completed(line), line, 0))
		}
		imported := importTexts(t, Options{Seed: 1}, text.String())
		source := imported.source()
		if source.ClockSteps != test.steps || source.OutlierTimestamps != test.outliers || imported.report.Accepted != clockStepLines {
			t.Errorf("%s: %+v, want %d steps and %d outliers", name, source, test.steps, test.outliers)
		}
		if span := imported.entries[clockStepLines-1].Arrival; span < test.span-3*time.Second || span > test.span+3*time.Second {
			t.Errorf("%s: spans %v, want %v", name, span, test.span)
		}
		if got := imported.report.Repairs["clock stepped back"]; got != test.repaired {
			t.Errorf("%s: %d entries are repaired, want %d", name, got, test.repaired)
		}
	}
}

// In a log of local times without a zone, the hour that occurs twice as summer time ends is recognised,
// and is not taken for a step of the clock.
func TestRepeatedHourAtTheEndOfSummerTime(t *testing.T) {
	zone, err := time.LoadLocation("Europe/Berlin")
	if err != nil {
		t.Skip("no zones on this machine")
	}
	var text strings.Builder
	firstMinute := time.Date(2026, 10, 24, 23, 0, 0, 0, time.UTC)
	for i := range 240 {
		completed := firstMinute.Add(time.Duration(i) * time.Minute).In(zone)
		fmt.Fprintf(&text, "%s GET /members/%d/status\n", completed.Format("2006-01-02T15:04:05"), i)
	}
	options := Options{Format: "nginx:$time_iso8601 $request_method $request_uri", Zone: zone}
	imported := importTexts(t, options, text.String())
	if got := imported.report.Repairs["hour that came twice"]; got != 60 || imported.source().ClockSteps != 0 {
		t.Errorf("%d entries in the second occurrence of the hour, want 60; source %+v, want no clock step", got, imported.source())
	}
	if count := len(imported.entries); count != 240 || imported.entries[count-1].Arrival > 4*time.Hour {
		t.Errorf("%d entries, want 240, the last at %v, want at most 4 h", count, imported.entries[count-1].Arrival)
	}
}

// The files of a rotated log are read in the order of their timestamps, not in the order given.
func TestRotatedFiles(t *testing.T) {
	linesFrom := func(first int) string {
		var text strings.Builder
		for i := first; i < first+50; i++ {
			text.WriteString(statusLine(logStart.Add(time.Duration(i)*time.Second), i, 0))
		}
		return text.String()
	}
	imported := importInputs(t, Options{Seed: 1}, []Input{
		{Source: "a", File: "a.log", Reader: strings.NewReader(linesFrom(100))},
		{Source: "a", File: "a.log.2.gz", Reader: bytes.NewReader(gzipped(t, linesFrom(0)))},
		{Source: "a", File: "a.log.1", Reader: strings.NewReader(linesFrom(50))},
	})
	source := imported.source()
	if !source.Reordered || !slices.Equal(source.Files, []string{"a.log.2.gz", "a.log.1", "a.log"}) {
		t.Errorf("the order of files is %v, reordered %v", source.Files, source.Reordered)
	}
	if source.ClockSteps != 0 || len(imported.entries) != 150 {
		t.Errorf("%d entries, want 150; source %+v, want no clock step", len(imported.entries), source)
	}
}

// If timestamps have a resolution of one second, the entries are spread evenly over their second. The same
// seed gives the same recording, and another seed another one.
func TestSpreadWithinSecond(t *testing.T) {
	var text strings.Builder
	for i := range 2000 {
		text.WriteString(statusLine(logStart, i%7, 0.5))
	}
	imported := importTexts(t, Options{Seed: 1}, text.String())
	again := importTexts(t, Options{Seed: 1}, text.String())
	otherSeed := importTexts(t, Options{Seed: 2}, text.String())
	if !bytes.Equal(imported.file, again.file) || bytes.Equal(imported.file, otherSeed.file) {
		t.Error("the same seed gives different files, or another seed gives the same file")
	}
	var entriesByTenth [10]int
	for _, entry := range imported.entries {
		entriesByTenth[min(entry.Arrival*10/time.Second, 9)]++
	}
	for tenth, count := range entriesByTenth {
		if count < 130 || count > 270 {
			t.Errorf("%d of 2000 entries in tenth %d of the second, want 130 to 270", count, tenth)
		}
	}
	start := imported.report.Start.Sub(logStart)
	if imported.source().SpreadEntries != 2000 || start > -490*time.Millisecond || start < -500*time.Millisecond {
		t.Errorf("%d entries are spread, want 2000; the start is %v from the log's, want -0.5 s", imported.source().SpreadEntries, start)
	}
}

// The entries of a second are spread in groups of at most maxSpreadGroup. If a second needs several groups,
// its entries keep their order and stay within the second.
func TestCrowdedSecond(t *testing.T) {
	const entries = 3*maxSpreadGroup + 5
	var spread []pendingEntry
	spreader := secondSpreader{
		random: newRandomStream(1, "x"),
		emit:   func(entry pendingEntry) { spread = append(spread, entry) },
	}
	for i := range entries {
		spreader.add(pendingEntry{timestamp: 5_000_000, resolution: 1_000_000, sequence: uint64(i)})
	}
	spreader.flush()
	if len(spread) != entries || spreader.FullGroups != 3 {
		t.Errorf("%d entries in %d full groups, want %d in 3", len(spread), spreader.FullGroups, entries)
	}
	inOrder := slices.IsSortedFunc(spread, func(a, b pendingEntry) int {
		if a.timestamp > b.timestamp || a.sequence > b.sequence {
			return 1
		}
		return -1
	})
	if !inOrder {
		t.Error("the entries are not in the order in which they were added")
	}
	if last := spread[len(spread)-1].timestamp; last > 5_999_999 {
		t.Errorf("the last entry is at %d µs, beyond its second", last)
	}
}
