package recording

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/klauspost/compress/gzip"
	"github.com/klauspost/compress/zstd"
)

const rulesText = `
[[class]]
name = "renewal"
method = "POST"
path = "^/members/[^/]+/renew$"
key = "^/members/([^/]+)/"
left_ms = 8000
[[class]]
name = "status-check"
path = "^/members/[^/]*/status$"
key = "^/members/([^/]+)/"
left_ms = 5000
repeat = "retryable"
effort_factor = 2
duration_ms = 40
[redacted]
members = 50
`

// memorySpool keeps runs in memory.
type memorySpool struct{ runs []*bytes.Buffer }

type nopCloser struct{ *bytes.Buffer }

func (nopCloser) Close() error { return nil }

func (m *memorySpool) Create() (io.WriteCloser, error) {
	m.runs = append(m.runs, &bytes.Buffer{})
	return nopCloser{m.runs[len(m.runs)-1]}, nil
}
func (m *memorySpool) Open(n int) (io.ReadCloser, error) {
	return io.NopCloser(bytes.NewReader(m.runs[n].Bytes())), nil
}

func testRules(t testing.TB, text string) *Rules {
	t.Helper()
	r, err := ReadRules([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return &r
}

// importTexts imports each text as a source of its own, with the checks of importInputs.
func importTexts(t testing.TB, o Options, texts ...string) (*Report, []Entry, []byte) {
	t.Helper()
	var in []Input
	for i, text := range texts {
		in = append(in, Input{Source: fmt.Sprintf("s%d", i), File: fmt.Sprintf("s%d.log", i), Reader: strings.NewReader(text)})
	}
	return importInputs(t, o, in)
}

// importInputs imports inputs and returns the report, the entries and the recording, which are
// nil if there is no entry. It checks the invariants of every import.
func importInputs(t testing.TB, o Options, in []Input) (*Report, []Entry, []byte) {
	t.Helper()
	if o.Rules == nil {
		o.Rules, o.RulesText = testRules(t, rulesText), []byte(rulesText)
	}
	o.Spool = &memorySpool{}
	var out bytes.Buffer
	report, err := Import(in, o, &out)
	if err != nil && !errors.Is(err, ErrNoEntries) {
		t.Fatal(err)
	}
	if !report.Balanced() {
		t.Errorf("counts do not add up: %+v", report.Counts)
	}
	if errors.Is(err, ErrNoEntries) {
		return report, nil, nil
	}
	return report, readEntries(t, out.Bytes()), out.Bytes()
}

func readEntries(t testing.TB, file []byte) (list []Entry) {
	t.Helper()
	r, err := NewReader(bytes.NewReader(file))
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	if err := r.ForEach(func(e *Entry) error { list = append(list, *e); return nil }); err != nil {
		t.Fatal(err)
	}
	return list
}

// combinedLine formats a line of Combined with $request_time; a negative d means none.
func combinedLine(at time.Time, method, path string, d float64) string {
	last := "-"
	if d >= 0 {
		last = fmt.Sprintf("%.3f", d)
	}
	return fmt.Sprintf("10.1.2.3 - - [%s] \"%s %s HTTP/1.1\" 200 12 \"-\" \"kiosk\" %s\n", at.Format("02/Jan/2006:15:04:05 -0700"), method, path, last)
}

var logStart = time.Date(2026, 11, 29, 6, 0, 0, 0, time.UTC)

// Missing durations are drawn from the recorded ones of their class.
func TestMissingDurations(t *testing.T) {
	var text strings.Builder
	for i := range 400 {
		d := -1.0
		if i%2 == 0 {
			d = []float64{0.010, 0.020}[i/2%2]
		}
		text.WriteString(combinedLine(logStart.Add(time.Duration(i)*100*time.Millisecond), "GET", fmt.Sprintf("/members/%d/status", i), d))
	}
	report, list, _ := importTexts(t, Options{Seed: 1, Format: "combined+s"}, text.String())
	class := report.Classes["status-check"]
	if class.Recorded != 200 || class.DrawnRecorded != 200 || class.DrawnRules != 0 || report.Repairs["duration drawn"] != 200 || report.Repaired != 200 {
		t.Errorf("%+v, %v", class, report.Repairs)
	}
	short := 0
	for _, e := range list {
		if e.Duration != 10*time.Millisecond && e.Duration != 20*time.Millisecond || e.Effort != 2*e.Duration {
			t.Fatalf("%+v", e)
		}
		if e.Repairs&DrawnDuration != 0 && e.Duration == 10*time.Millisecond {
			short++
		}
	}
	if short < 70 || short > 130 {
		t.Errorf("%d of 200 drawn durations are the shorter of two", short)
	}
	// With none recorded they are drawn from the distribution in the rules.
	report, list, _ = importTexts(t, Options{Seed: 1, Format: "combined"}, text.String())
	sum := time.Duration(0)
	for _, e := range list {
		sum += e.Duration
	}
	if mean := sum / time.Duration(len(list)); report.Classes["status-check"].DrawnRules != 400 || mean < 35*time.Millisecond || mean > 45*time.Millisecond {
		t.Errorf("%+v, mean %v", report.Classes["status-check"], mean)
	}
}

// Equal tokens give equal keys, redacted members get synthetic ones, and neither the recording
// nor the report contains anything of a member, a query or a cookie.
func TestPseudonyms(t *testing.T) {
	var text strings.Builder
	for i, member := range []string{"880017", "880018", "880017", "a9f5e1c0d2", "a9f5e1c0d2", "88***", "88***", "880018"} {
		text.WriteString(combinedLine(logStart.Add(time.Duration(i)*time.Second), "GET", "/members/"+member+"/status?token=hunter2", 0.01))
	}
	for i := range 500 {
		text.WriteString(combinedLine(logStart.Add(time.Minute), "GET", "/members/"+[]string{"***", "xxxx", "-", "%2A%2A", "REDACTED"}[i%5]+"/status", 0.01))
	}
	text.WriteString("10.1.2.3 - - [29/Nov/2026:06:00:00 +0000] \"GET /members/880019/status\" 200 1 \"-\" \"-\" 0.1\n") // malformed
	report, list, file := importTexts(t, Options{Seed: 1}, text.String())
	keyOf := func(i int) uint64 { return list[i].Key }
	if keyOf(0) != keyOf(2) || keyOf(1) != keyOf(7) || keyOf(0) == keyOf(1) || keyOf(3) != keyOf(4) || keyOf(5) != keyOf(6) || keyOf(5) == keyOf(0) {
		t.Errorf("keys of tokens: %x", []uint64{keyOf(0), keyOf(1), keyOf(2), keyOf(3), keyOf(4), keyOf(5), keyOf(6), keyOf(7)})
	}
	timesByKey := map[uint64]int{}
	for _, e := range list[8:] {
		if e.Repairs&SyntheticKey == 0 || e.Key == 0 {
			t.Fatalf("%+v", e)
		}
		timesByKey[e.Key]++
	}
	if len(timesByKey) < 45 || len(timesByKey) > 50 || report.Repairs["key made up"] != 500 || report.SyntheticKeys != "uniform over 50 members" {
		t.Errorf("%d synthetic keys, %v, %s", len(timesByKey), report.Repairs, report.SyntheticKeys)
	}
	decoder, err := zstd.NewReader(bytes.NewReader(file))
	if err != nil {
		t.Fatal(err)
	}
	defer decoder.Close()
	plain, err := io.ReadAll(decoder)
	if err != nil {
		t.Fatal(err)
	}
	reportText, _ := json.Marshal(report)
	for _, secret := range []string{"88001", "a9f5e1c0d2", "88***", "hunter2", "10.1.2.3", "/members/"} {
		if bytes.Contains(plain, []byte(secret)) || bytes.Contains(reportText, []byte(secret)) {
			t.Errorf("%q is in the file or the report", secret)
		}
	}
	// Pseudonyms depend on the input, or on the secret alone if one is given.
	_, other, _ := importTexts(t, Options{Seed: 1}, text.String()+"\n# more\n")
	if other[0].Key == keyOf(0) {
		t.Error("pseudonyms are not keyed by the input")
	}
	secret := Options{Seed: 1, Secret: []byte("0123456789abcdef")}
	_, a, _ := importTexts(t, secret, text.String())
	_, b, _ := importTexts(t, secret, text.String()+"\n# more\n")
	if a[0].Key != b[0].Key || a[0].Key == keyOf(0) {
		t.Error("pseudonyms do not follow the secret")
	}
	skewed := testRules(t, strings.Replace(rulesText, "members = 50", "members = 50\nskew = 1.5", 1))
	report, list, _ = importTexts(t, Options{Seed: 1, Rules: skewed}, text.String())
	clear(timesByKey)
	for _, e := range list[8:] {
		timesByKey[e.Key]++
	}
	maxTimes := 0
	for _, n := range timesByKey {
		maxTimes = max(maxTimes, n)
	}
	if maxTimes < 100 || report.SyntheticKeys != "Zipf with exponent 1.5 over 50 members" {
		t.Errorf("the most frequent of the skewed keys occurs %d times of 500; %s", maxTimes, report.SyntheticKeys)
	}
}

// Truncated compression, overlong lines, NUL bytes and missing newlines.
func TestBrokenInputs(t *testing.T) {
	good := combinedLine(logStart, "GET", "/members/1/status", 0.01)
	var gzipped, zstandard bytes.Buffer
	gzipWriter := gzip.NewWriter(&gzipped)
	rng := rand.New(rand.NewPCG(1, 1))
	var plain strings.Builder
	for i := range 3000 {
		line := combinedLine(logStart.Add(time.Duration(i)*time.Second), "GET", fmt.Sprintf("/members/%d/status", rng.Uint64()), rng.Float64())
		plain.WriteString(line)
		io.WriteString(gzipWriter, line)
	}
	gzipWriter.Close()
	zstdWriter, _ := zstd.NewWriter(&zstandard)
	io.WriteString(zstdWriter, plain.String())
	zstdWriter.Close()
	for name, text := range map[string]string{"gzip": gzipped.String(), "zstd": zstandard.String()} {
		if r, _, _ := importTexts(t, Options{}, text); r.Accepted != 3000 || r.Sources[0].Truncation != "" {
			t.Errorf("%s, complete: %+v", name, r.Counts)
		}
		r, _, _ := importTexts(t, Options{}, text[:len(text)/2])
		if r.Accepted < 500 || r.Accepted >= 3000 || !strings.Contains(r.Sources[0].Truncation, "s0.log: ") {
			t.Errorf("%s, truncated: %+v, %q", name, r.Counts, r.Sources[0].Truncation)
		}
	}
	long := good + strings.Repeat("x", 10<<20) + "\n" + good
	r, _, _ := importTexts(t, Options{}, long)
	if r.Accepted != 2 || r.Malformed != 1 || r.Rejects[0] != (Reject{"s0.log", 2, int64(len(good)), errLineTooLong.Error()}) {
		t.Errorf("10 MB line: %+v", r.Rejects)
	}
	r, _, _ = importTexts(t, Options{}, "\x00\x00\x00"+good+"GET\x00\n"+strings.TrimSuffix(good, "\n"))
	if r.Accepted != 2 || r.Malformed != 1 || r.Repairs["leading NUL bytes"] != 1 || r.Rejects[0].Line != 2 {
		t.Errorf("zeros: %+v, %v", r.Counts, r.Rejects)
	}
	if r, _, _ := importTexts(t, Options{}, good+"\n\n"+good[:40]+"\n# comment"); r.Read != 3 || r.Malformed != 2 {
		t.Errorf("%+v", r.Counts)
	}
	if r, _, file := importTexts(t, Options{}, ""); file != nil || r.Read != 0 {
		t.Errorf("an empty input: %+v", r.Counts)
	}
}

func FuzzReaders(f *testing.F) {
	formats := []string{"auto", "common", "combined", "combined+s", "nginx:$msec|$request_method|$request_uri|$request_time", "apache:%{%d/%b/%Y:%T}t %{msec_frac}t %r %D %{x}i",
		"json", "json:time=a.b,duration_ms=c,stamp=arrival", "caddy", "traefik", "har"}
	good := combinedLine(logStart, "GET", "/members/1/status", 0.01)
	for i, text := range []string{good + "x\n" + good, good, good, good, "1.5|GET|/members/1/status|0.1\n", "01/Dec/2026:06:00:01 250 GET /members/1/status HTTP/1.1 5 -",
		`{"ts":1,"method":"GET","uri":"/members/1/status"}`, `{"a":{"b":"2026-12-01T06:00:00Z"},"c":1}`, `{"ts":1.5,"request":{"method":"GET","uri":"/"}}`,
		`{"StartUTC":"2026-12-01T06:00:01.25Z"}`, harText} {
		f.Add(byte(i), []byte(text))
	}
	rules := testRules(f, rulesText)
	f.Fuzz(func(t *testing.T, n byte, text []byte) {
		in := []Input{{"a", "a", bytes.NewReader(text)}, {"b", "b", bytes.NewReader(text)}}
		var out bytes.Buffer
		r, err := Import(in, Options{Rules: rules, Format: formats[int(n)%len(formats)], Spool: &memorySpool{}, Seed: 1}, &out)
		if err != nil && !errors.Is(err, ErrNoEntries) {
			t.Fatal(err)
		}
		if !r.Balanced() || r.Malformed != uint64(len(r.Rejects))+r.UnlistedRejects || r.Accepted > 0 && err != nil {
			t.Fatalf("%+v", r.Counts)
		}
		if err == nil && uint64(len(readEntries(t, out.Bytes()))) != r.Accepted {
			t.Fatal("the file does not hold what was accepted")
		}
	})
}

func BenchmarkCombined(b *testing.B) {
	var text strings.Builder
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 100_000 {
		text.WriteString(combinedLine(logStart.Add(time.Duration(i)*time.Millisecond), "GET", fmt.Sprintf("/members/%d/status", rng.IntN(100_000)), rng.Float64()))
	}
	rules := testRules(b, rulesText)
	b.SetBytes(int64(text.Len()))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Import([]Input{{"a", "a", strings.NewReader(text.String())}}, Options{Rules: rules, Spool: &memorySpool{}}, io.Discard); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(100_000*float64(b.N)/b.Elapsed().Seconds(), "lines/s")
}
