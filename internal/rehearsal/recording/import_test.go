package recording

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// logWithMissingDurations returns a log in which every second entry has a duration. These are 10 and
// 20 ms alternately.
func logWithMissingDurations() string {
	const lines = 400
	recorded := []float64{0.010, 0.020}
	var text strings.Builder
	for i := range lines {
		seconds := float64(noDuration)
		if i%2 == 0 {
			seconds = recorded[i/2%len(recorded)]
		}
		text.WriteString(statusLine(logStart.Add(time.Duration(i)*100*time.Millisecond), i, seconds))
	}
	return text.String()
}

// Missing durations are drawn from the recorded ones of their class.
func TestMissingDurationsAreDrawnFromRecordedOnes(t *testing.T) {
	imported := importTexts(t, Options{Seed: 1, Format: "combined+s"}, logWithMissingDurations())
	class := imported.report.Classes["status-check"]
	if class.Recorded != 200 || class.DrawnRecorded != 200 || class.DrawnRules != 0 {
		t.Errorf("%+v, want 200 recorded and 200 drawn from them", class)
	}
	if imported.report.Repairs["duration drawn"] != 200 || imported.report.Repaired != 200 {
		t.Errorf("%d repaired, %v, want 200 drawn durations", imported.report.Repaired, imported.report.Repairs)
	}
	short := 0
	for _, entry := range imported.entries {
		isRecorded := entry.Duration == 10*time.Millisecond || entry.Duration == 20*time.Millisecond
		if !isRecorded || entry.Effort != 2*entry.Duration {
			t.Fatalf("%+v, want a duration of 10 or 20 ms and twice the effort", entry)
		}
		if entry.Repairs&DrawnDuration != 0 && entry.Duration == 10*time.Millisecond {
			short++
		}
	}
	if short < 70 || short > 130 {
		t.Errorf("%d of 200 drawn durations are 10 ms, want 70 to 130", short)
	}
}

// If no duration is recorded, durations are drawn from the distribution in the rules.
func TestMissingDurationsAreDrawnFromRules(t *testing.T) {
	imported := importTexts(t, Options{Seed: 1, Format: "combined"}, logWithMissingDurations())
	sum := time.Duration(0)
	for _, entry := range imported.entries {
		sum += entry.Duration
	}
	class := imported.report.Classes["status-check"]
	mean := sum / time.Duration(len(imported.entries))
	if class.DrawnRules != 400 || mean < 35*time.Millisecond || mean > 45*time.Millisecond {
		t.Errorf("%+v, mean %v, want 400 drawn from the rules with a mean of 40 ms", class, mean)
	}
}

// Compressed logs are decompressed. If one is truncated, the lines before the truncation are imported.
func TestCompressedLogs(t *testing.T) {
	const lines = 3000
	random := rand.New(rand.NewPCG(1, 1))
	var plain strings.Builder
	for i := range lines {
		plain.WriteString(statusLine(logStart.Add(time.Duration(i)*time.Second), random.Uint64(), random.Float64()))
	}
	for name, compressed := range map[string][]byte{
		"gzip": gzipped(t, plain.String()),
		"zstd": zstdCompressed(t, []byte(plain.String())),
	} {
		complete := importTexts(t, Options{}, string(compressed))
		if complete.report.Accepted != lines || complete.source().Truncation != "" {
			t.Errorf("%s, complete: %+v, truncation %q", name, complete.report.Counts, complete.source().Truncation)
		}
		truncated := importTexts(t, Options{}, string(compressed[:len(compressed)/2]))
		if accepted := truncated.report.Accepted; accepted < 500 || accepted >= lines {
			t.Errorf("%s, truncated: %+v, want at least 500 of %d accepted", name, truncated.report.Counts, lines)
		}
		if reason := truncated.source().Truncation; !strings.Contains(reason, "s0.log: ") {
			t.Errorf("%s, truncated: %q does not name the file", name, reason)
		}
	}
}

// A line that is too long is malformed, and the line after it is read.
func TestOverlongLine(t *testing.T) {
	good := statusLine(logStart, 1, 0.01)
	report := importTexts(t, Options{}, good+strings.Repeat("x", 10<<20)+"\n"+good).report
	if report.Accepted != 2 || report.Malformed != 1 {
		t.Fatalf("%+v, want 2 accepted and 1 malformed", report.Counts)
	}
	want := Reject{Source: "s0.log", Line: 2, Offset: int64(len(good)), Reason: errLineTooLong.Error()}
	if report.Rejects[0] != want {
		t.Errorf("rejected %+v, want %+v", report.Rejects[0], want)
	}
}

// NUL bytes before a line are removed; within a line they make it malformed.
func TestNULBytes(t *testing.T) {
	good := statusLine(logStart, 1, 0.01)
	report := importTexts(t, Options{}, "\x00\x00\x00"+good+"GET\x00\n"+strings.TrimSuffix(good, "\n")).report
	if report.Accepted != 2 || report.Malformed != 1 || report.Repairs["leading NUL bytes"] != 1 {
		t.Fatalf("%+v, %v, want 2 accepted, 1 of them repaired, and 1 malformed", report.Counts, report.Repairs)
	}
	if report.Rejects[0].Line != 2 {
		t.Errorf("rejected %+v, want line 2", report.Rejects[0])
	}
}

// Blank lines are not counted. Truncated lines and comments are malformed.
func TestIncompleteLines(t *testing.T) {
	good := statusLine(logStart, 1, 0.01)
	report := importTexts(t, Options{}, good+"\n\n"+good[:40]+"\n# comment").report
	if report.Read != 3 || report.Malformed != 2 {
		t.Errorf("%+v, want 3 read and 2 of them malformed", report.Counts)
	}
}

// An import of an empty input writes no recording.
func TestEmptyInput(t *testing.T) {
	imported := importTexts(t, Options{}, "")
	if imported.file != nil || imported.report.Read != 0 {
		t.Errorf("%+v, a recording of %d bytes, want none", imported.report.Counts, len(imported.file))
	}
}

// For arbitrary inputs and any format, every entry is counted exactly once, and the recording contains
// the accepted entries.
func FuzzReaders(f *testing.F) {
	formats := []string{
		"auto", "common", "combined", "combined+s",
		"nginx:$msec|$request_method|$request_uri|$request_time",
		"apache:%{%d/%b/%Y:%T}t %{msec_frac}t %r %D %{x}i",
		"json", "json:time=a.b,duration_ms=c,stamp=arrival", "caddy", "traefik", "har",
	}
	good := statusLine(logStart, 1, 0.01)
	seeds := []string{
		good + "x\n" + good, good, good, good,
		"1.5|GET|/members/1/status|0.1\n",
		"01/Dec/2026:06:00:01 250 GET /members/1/status HTTP/1.1 5 -",
		`{"ts":1,"method":"GET","uri":"/members/1/status"}`,
		`{"a":{"b":"2026-12-01T06:00:00Z"},"c":1}`,
		`{"ts":1.5,"request":{"method":"GET","uri":"/"}}`,
		`{"StartUTC":"2026-12-01T06:00:01.25Z"}`,
		harText,
	}
	for i, text := range seeds {
		f.Add(byte(i), []byte(text))
	}
	rules := testRules(f, rulesText)
	f.Fuzz(func(t *testing.T, formatIndex byte, text []byte) {
		inputs := []Input{
			{Source: "a", File: "a", Reader: bytes.NewReader(text)},
			{Source: "b", File: "b", Reader: bytes.NewReader(text)},
		}
		options := Options{Rules: rules, Format: formats[int(formatIndex)%len(formats)], Spool: &memorySpool{}, Seed: 1}
		var out bytes.Buffer
		report, err := Import(inputs, options, &out)
		if err != nil && !errors.Is(err, ErrNoEntries) {
			t.Fatal(err)
		}
		rejects := uint64(len(report.Rejects)) + report.UnlistedRejects
		if !report.Balanced() || report.Malformed != rejects || report.Accepted > 0 && err != nil {
			t.Fatalf("%+v with %d rejects, %v", report.Counts, rejects, err)
		}
		if err == nil && uint64(len(readEntries(t, out.Bytes()))) != report.Accepted {
			t.Fatal("the recording does not contain as many entries as were accepted")
		}
	})
}

// BenchmarkCombined imports a log in the Combined format.
func BenchmarkCombined(b *testing.B) {
	const lines = 100_000
	random := rand.New(rand.NewPCG(1, 1))
	var text strings.Builder
	for i := range lines {
		completed := logStart.Add(time.Duration(i) * time.Millisecond)
		text.WriteString(statusLine(completed, random.IntN(100_000), random.Float64()))
	}
	rules := testRules(b, rulesText)
	b.SetBytes(int64(text.Len()))
	b.ReportAllocs()
	for b.Loop() {
		inputs := []Input{{Source: "a", File: "a", Reader: strings.NewReader(text.String())}}
		if _, err := Import(inputs, Options{Rules: rules, Spool: &memorySpool{}}, io.Discard); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(lines*float64(b.N)/b.Elapsed().Seconds(), "lines/s")
}
