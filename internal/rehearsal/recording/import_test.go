package recording

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
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

// memorySpool is a spool in memorySpool.
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

// importTexts imports texts, each a source of its own, and checks what holds of every import.
func importTexts(t testing.TB, o Options, texts ...string) (*Report, []Entry, []byte) {
	t.Helper()
	var in []Input
	for i, text := range texts {
		in = append(in, Input{Source: fmt.Sprintf("s%d", i), File: fmt.Sprintf("s%d.log", i), Reader: strings.NewReader(text)})
	}
	return importInputs(t, o, in)
}

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

// combinedLine words a combinedLine of Combined with $request_time; d below 0: none.
func combinedLine(at time.Time, method, path string, d float64) string {
	last := "-"
	if d >= 0 {
		last = fmt.Sprintf("%.3f", d)
	}
	return fmt.Sprintf("10.1.2.3 - - [%s] \"%s %s HTTP/1.1\" 200 12 \"-\" \"kiosk\" %s\n", at.Format("02/Jan/2006:15:04:05 -0700"), method, path, last)
}

var logStart = time.Date(2026, 11, 29, 6, 0, 0, 0, time.UTC)

func TestFormats(t *testing.T) {
	at := time.Date(2026, 12, 1, 6, 0, 1, 0, time.UTC).UnixMicro()
	for _, c := range []struct {
		format, line string
		want         RawEntry
		err          error
	}{
		{"common", `h - - [01/Dec/2026:08:00:01 +0200] "GET /a?b=1 HTTP/1.1" 200 -`, RawEntry{Timestamp: at, Resolution: 1e6, Method: "GET", Target: "/a?b=1", Status: 200, Duration: -1}, nil},
		{"combined", `h - frank [01/Dec/2026:08:00:01 +0200] "POST /a HTTP/1.1" 404 5 "http://p/" "agent \"7\""`, RawEntry{Timestamp: at, Resolution: 1e6, Method: "POST", Target: "/a", Status: 404, Duration: -1}, nil},
		{"combined+s", `h - - [01/Dec/2026:08:00:01 +0200] "GET /a HTTP/1.1" 200 5 "-" "-" 0.031`, RawEntry{Timestamp: at, Resolution: 1e6, Method: "GET", Target: "/a", Status: 200, Duration: 31000}, nil},
		{"combined+us", `h - - [01/Dec/2026:08:00:01 +0200] "GET /a HTTP/1.1" 200 5 "-" "-" 31000`, RawEntry{Timestamp: at, Resolution: 1e6, Method: "GET", Target: "/a", Status: 200, Duration: 31000, StampsArrival: true}, nil},
		{"combined+ms", `h - - [01/Dec/2026:08:00:01 +0200] "GET /a HTTP/1.1" 200 5 "-" "-" 31`, RawEntry{Timestamp: at, Resolution: 1e6, Method: "GET", Target: "/a", Status: 200, Duration: 31000, StampsArrival: true}, nil},
		{`nginx:$msec|$request_method|$request_uri|$status|$request_time|$upstream_response_time|$request_id`, `1796104801.250|GET|/a|200|0.040|0.010, 0.020|r7`,
			RawEntry{Timestamp: at + 250000, Resolution: 1000, Method: "GET", Target: "/a", Status: 200, Duration: 40000, ServiceTime: 30000}, nil},
		{`nginx:[$time_iso8601] "$request" ${status} $request_time`, `[2026-12-01T06:00:01+00:00] "GET /\x22q\x5C HTTP/2.0" 499 -`,
			RawEntry{Timestamp: at, Resolution: 1e6, Method: "GET", Target: `/"q\`, Status: 499, Duration: -1}, nil},
		{`apache:%h %l %u %t \"%r\" %>s %b %{ms}T`, `h - - [01/Dec/2026:06:00:01 +0000] "GET /a\"b HTTP/1.1" 200 - 12`,
			RawEntry{Timestamp: at, Resolution: 1e6, Method: "GET", Target: `/a"b`, Status: 200, Duration: 12000, StampsArrival: true}, nil},
		{`apache:[%{%d/%b/%Y:%T}t.%{msec_frac}t %{%z}t] %m %U%q %s %D`, `[01/Dec/2026:08:00:01.250 +0200] GET /a?x=1 200 900`,
			RawEntry{Timestamp: at + 250000, Resolution: 1000, Method: "GET", Target: "/a?x=1", Status: 200, Duration: 900, StampsArrival: true}, nil},
		{`apache:[%{%d/%b/%Y:%T}t.%{msec_frac}t %{%z}t] %m %U %q %s %D`, `[01/Dec/2026:08:00:01.250 +0200] GET /a ?x=1 200 900`,
			RawEntry{Timestamp: at + 250000, Resolution: 1000, Method: "GET", Target: "/a?x=1", Status: 200, Duration: 900, StampsArrival: true}, nil},
		{`apache:%{end:msec}t "%r" %T`, `1796104801250 "GET /a HTTP/1.0" 2`, RawEntry{Timestamp: at + 250000, Resolution: 1000, Method: "GET", Target: "/a", Duration: 2e6}, nil},
		{"json", `{"time_iso8601":"2026-12-01T08:00:01+02:00","request":"GET /a HTTP/1.1","status":"200","request_time":"0.031"}`,
			RawEntry{Timestamp: at, Resolution: 1e6, Method: "GET", Target: "/a", Status: 200, Duration: 31000}, nil},
		{"json:time=t.at,method=m,target=u,duration_us=d,stamp=arrival", `{"t":{"at":1796104801250},"m":"PUT","u":"https://h.example/a","d":77}`,
			RawEntry{Timestamp: at + 250000, Resolution: 1000, Method: "PUT", Target: "/a", Duration: 77, StampsArrival: true}, nil},
		{"caddy", `{"ts":1796104801.25,"request":{"remote_ip":"10.0.0.1","method":"GET","uri":"/a"},"duration":0.004,"status":200}`,
			RawEntry{Timestamp: at + 250000, Resolution: 1000, Method: "GET", Target: "/a", Status: 200, Duration: 4000}, nil},
		{"traefik", `{"StartUTC":"2026-12-01T06:00:01.25Z","RequestMethod":"GET","RequestPath":"/a","Duration":4000000,"OriginDuration":3000000,"DownstreamStatus":200}`,
			RawEntry{Timestamp: at + 250000, Resolution: 1000, Method: "GET", Target: "/a", Status: 200, Duration: 4000, ServiceTime: 3000, StampsArrival: true}, nil},
		{"common", "\x00\x00h - - [01/Dec/2026:08:00:01 +0200] \"GET /a HTTP/1.1\" 200 -", RawEntry{Timestamp: at, Resolution: 1e6, Method: "GET", Target: "/a", Status: 200, Duration: -1, Repairs: LeadingNUL}, nil},
		{"common", "h - - [01/Dec/2026:08:00:01 +0200] \"GET /a\xff HTTP/1.1\" 200 -", RawEntry{Timestamp: at, Resolution: 1e6, Method: "GET", Target: "/a\uFFFD", Status: 200, Duration: -1, Repairs: InvalidUTF8}, nil},
		{"common", "h - - [01/Dec/2026:08:00:01 +0200] \"GET /\x00a HTTP/1.1\" 200 -", RawEntry{}, errNUL},
		{"common", `h - - [yesterday] "GET / HTTP/1.1" 200 1`, RawEntry{}, errTimestamp},
		{"common", `h - - [01/Dec/2026:08:00:01 +0200] "GET /" 200 1`, RawEntry{}, errRequestLine},
		{"common", `h - - [01/Dec/2026:08:00:01 +0200] "GET /a HTTP/1.1" two 1`, RawEntry{}, errStatus},
		{"combined+s", `h - - [01/Dec/2026:08:00:01 +0200] "GET /a HTTP/1.1" 200 5 "-" "-" -3`, RawEntry{}, errDuration},
		{"json", `[1]`, RawEntry{}, errNotJSONObject},
		{"json", `{"ts":1,"method":"GET","uri":"nowhere"}`, RawEntry{}, errTarget},
	} {
		f, err := Compile(c.format, nil)
		if err != nil {
			t.Errorf("%s: %v", c.format, err)
			continue
		}
		var got RawEntry
		err = f.Parse(c.line, &got)
		if c.err != nil {
			if err == nil || !strings.HasPrefix(err.Error(), c.err.Error()) {
				t.Errorf("%s: %q: %v, want %v", c.format, c.line, err, c.err)
			}
			continue
		}
		if c.want.ServiceTime == 0 {
			c.want.ServiceTime = -1
		}
		got.Client, got.RequestID = "", ""
		if err != nil || got != c.want {
			t.Errorf("%s: %q: %v\n got %+v\nwant %+v", c.format, c.line, err, got, c.want)
		}
	}
	for _, text := range []string{"xml", "nginx:", "nginx:$request", "nginx:$msec$request", "nginx:${msec", "nginx:$msec $", "apache:%{x", "apache:%",
		"apache:%t %{%Q}t \"%r\"", "apache:%t \"%r\" %{h}T", "json:time", "json:size=x", "apache:%h"} {
		if _, err := Compile(text, nil); err == nil {
			t.Errorf("%q was compiled", text)
		}
	}
}

func TestDetect(t *testing.T) {
	for want, head := range map[string]string{
		"combined+s":  combinedLine(logStart, "GET", "/a", 0.1) + combinedLine(logStart, "GET", "/b", 0.2) + "cut",
		"combined+us": strings.ReplaceAll(combinedLine(logStart, "GET", "/a", 0.1), "0.100", "100000"),
		"combined":    `h - - [01/Dec/2026:08:00:01 +0200] "GET /a HTTP/1.1" 200 5 "-" "-"`,
		"common":      `h - - [01/Dec/2026:08:00:01 +0200] "GET /a HTTP/1.1" 200 5`,
		"har":         "\xef\xbb\xbf{\n  \"log\": {",
		"json":        `{"time":1,"method":"GET"}`,
		"caddy":       `{"ts":1.5,"request":{"method":"GET"}}`,
		"traefik":     `{"DownstreamStatus":200}`,
	} {
		if f, err := detectFormat(head, nil); err != nil || f.Name != want {
			t.Errorf("%q: %v, %v, want %s", head, f, err, want)
		}
	}
}

const harText = "\xef\xbb\xbf" + `{"log":{"version":"1.2","creator":{"name":"x"},"pages":[{"id":"p"}],"entries":[
{"startedDateTime":"2026-12-01T08:00:00.250+02:00","time":40,"timings":{"blocked":-1,"dns":-1,"connect":-1,"send":1,"wait":30,"receive":2,"ssl":-1},"_initiator":{"a":[1]},
 "request":{"method":"POST","url":"http://portal.example/members/18/renew?card=4711","bodySize":9,"headers":[{"name":"Cookie","value":"secret"}],"postData":{"mimeType":"text/plain","text":"pay 4711"}},
 "response":{"status":302,"redirectURL":"/members/18/status","content":{"encoding":"base64","text":"AAAA\u0000"}}},
{"startedDateTime":"2026-12-01T06:00:00.100Z","time":12.5,"timings":{"send":-1,"wait":-1,"receive":-1},"request":{"method":"GET","url":"https://portal.example/members/18/status"},"response":{"status":200}},
{"startedDateTime":"2026-12-01T06:00:00.200Z","time":900,"timings":{"wait":800},"request":{"method":"GET","url":"https://portal.example/members/19/status"},"response":{"status":0}},
{"startedDateTime":"2026-12-01T06:00:00.300Z","request":{"method":"GET","url":"data:image/png;base64,AA"},"response":{"status":200}},
{"startedDateTime":"2026-12-01T06:00:00.300Z","_resourceType":"websocket","request":{"method":"GET","url":"wss://portal.example/live"},"response":{"status":101},"_webSocketMessages":[]},
{"startedDateTime":"2026-12-01T06:00:00.300Z","_fromCache":"disk","request":{"method":"GET","url":"https://portal.example/members/20/status"},"response":{"status":200}},
{"startedDateTime":"soon","request":{"method":"GET","url":"/"}},
{"startedDateTime":7}, 3,
{"startedDateTime":"2026-12-01T06:00:00.300Z","request":{"method":"GET","url":"https://portal.example/logo"},"response":{"status":200}}
],"comment":"x"}}`

func TestHAR(t *testing.T) {
	r, list, _ := importTexts(t, Options{Seed: 1}, harText)
	if r.Counts != (Counts{Read: 10, Accepted: 3, Malformed: 3, Unmapped: 1, Ignored: 3, Repaired: 1}) {
		t.Errorf("%+v", r.Counts)
	}
	if len(list) != 3 || list[1].Arrival != 100*time.Millisecond || list[0].Duration != 12500*time.Microsecond ||
		list[2].Duration != 33*time.Millisecond || list[2].BodyBytes != 9 || list[1].Repairs != DrawnDuration || list[2].Status != 302 {
		t.Errorf("%+v", list)
	}
	if list[0].Key != list[2].Key || list[0].Key == list[1].Key {
		t.Error("the keys of members 18, 19 and 18 are not so told apart")
	}
	var lines []int
	for _, x := range r.Rejects {
		lines = append(lines, x.Line)
	}
	if !slices.Equal(lines, []int{7, 8, 9}) {
		t.Errorf("rejects %+v", r.Rejects)
	}
	// Cut at any place: what was read counts, the cut is told.
	for n := strings.Index(harText, "[\n{") + 2; n < len(harText)-10; n += 7 {
		cut, list, _ := importTexts(t, Options{Seed: 1}, harText[:n])
		if cut.Sources[0].Truncation == "" || cut.Read > 10 || int(cut.Accepted) != len(list) {
			t.Fatalf("cut at %d: %+v", n, cut)
		}
		if n > strings.Index(harText, `{"startedDateTime":"soon"`) && cut.Accepted != 3 {
			t.Fatalf("cut at %d: %d accepted of 3 before it", n, cut.Accepted)
		}
	}
	for _, text := range []string{`{"log":{"version":"1.2"}}`, `{"log":{"version":"9","entries":[]}}`, `{"log":[]}`} {
		if r, _, _ := importTexts(t, Options{Format: "har"}, text); r.Sources[0].Truncation == "" {
			t.Errorf("%s: nothing is told", text)
		}
	}
}

// Half of the durations are missing: they are drawn from the others of their class.
func TestMissingDurations(t *testing.T) {
	var text strings.Builder
	for i := range 400 {
		d := -1.0
		if i%2 == 0 {
			d = []float64{0.010, 0.020}[i/2%2]
		}
		text.WriteString(combinedLine(logStart.Add(time.Duration(i)*100*time.Millisecond), "GET", fmt.Sprintf("/members/%d/status", i), d))
	}
	r, list, _ := importTexts(t, Options{Seed: 1, Format: "combined+s"}, text.String())
	c := r.Classes["status-check"]
	if c.Recorded != 200 || c.DrawnRecorded != 200 || c.DrawnRules != 0 || r.Repairs["duration drawn"] != 200 || r.Repaired != 200 {
		t.Errorf("%+v, %v", c, r.Repairs)
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
	// None recorded: as the rules say, with their mean.
	r, list, _ = importTexts(t, Options{Seed: 1, Format: "combined"}, text.String())
	sum := time.Duration(0)
	for _, e := range list {
		sum += e.Duration
	}
	if mean := sum / time.Duration(len(list)); r.Classes["status-check"].DrawnRules != 400 || mean < 35*time.Millisecond || mean > 45*time.Millisecond {
		t.Errorf("%+v, mean %v", r.Classes["status-check"], mean)
	}
}

// Two sources whose clocks lie 7 s apart saw some requests both: the offset is
// found, those are replayed once, and nothing else is.
func TestTwoClocks(t *testing.T) {
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
	r, list, _ := importTexts(t, Options{Seed: 1}, a.String(), b.String())
	s := r.Sources[1]
	if !s.Estimated || s.OffsetUs < 6_000_000 || s.OffsetUs > 8_000_000 || s.Pairs < 20 || s.SpreadUs <= 0 {
		t.Errorf("%+v", s)
	}
	if dup := int(s.Duplicates + r.Sources[0].Duplicates); dup < both*97/100 || dup > both*105/100 || len(list) != 800-dup {
		t.Errorf("%d of %d seen by both were found, %d entries left", dup, both, len(list))
	}
	if span := list[len(list)-1].Arrival; span > at.Sub(logStart)+3*time.Second {
		t.Errorf("the recording spans %v, the morning %v", span, at.Sub(logStart))
	}
	r, _, _ = importTexts(t, Options{Seed: 1, Offsets: map[string]time.Duration{"s1": 7 * time.Second}, KeepDuplicates: true}, a.String(), b.String())
	if r.Accepted != 800 || r.Sources[1].OffsetUs != 7_000_000 || r.Sources[1].Estimated {
		t.Errorf("given: %+v", r.Sources[1])
	}
	// Sources that share nothing get no offset.
	r, _, _ = importTexts(t, Options{Seed: 1}, a.String(), strings.ReplaceAll(b.String(), "/members/", "/members/x"))
	if r.Sources[1].Estimated || r.Sources[1].OffsetUs != 0 || r.Ignored != 0 {
		t.Errorf("nothing shared: %+v", r.Sources[1])
	}
}

// A clock steps back by an hour, and later one stamp is odd: the order of the
// lines stands, both are counted, and the recording does not grow by an hour.
func TestClockSteps(t *testing.T) {
	for name, c := range map[string]struct {
		at         func(i int) time.Time
		steps, odd int
		span       time.Duration
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
		r, list, _ := importTexts(t, Options{Seed: 1}, text.String())
		s := r.Sources[0]
		if s.ClockSteps != c.steps || s.OutlierTimestamps != c.odd || r.Accepted != 200 {
			t.Errorf("%s: %+v", name, s)
		}
		if span := list[199].Arrival; span < c.span-3*time.Second || span > c.span+3*time.Second {
			t.Errorf("%s: spans %v, want %v", name, span, c.span)
		}
		if name == "hour back" && r.Repairs["clock stepped back"] != 100 {
			t.Errorf("%s: %v", name, r.Repairs)
		}
	}
	// The end of summer time in a log whose stamps name no zone.
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

// Rotated files given in the wrong order are put in order.
func TestRotated(t *testing.T) {
	part := func(from int) string {
		var text strings.Builder
		for i := range 50 {
			text.WriteString(combinedLine(logStart.Add(time.Duration(from+i)*time.Second), "GET", fmt.Sprintf("/members/%d/status", from+i), 0))
		}
		return text.String()
	}
	var packed bytes.Buffer
	z := gzip.NewWriter(&packed)
	io.WriteString(z, part(0))
	z.Close()
	in := []Input{{"a", "a.log", strings.NewReader(part(100))}, {"a", "a.log.2.gz", &packed}, {"a", "a.log.1", strings.NewReader(part(50))}}
	r, list, _ := importInputs(t, Options{Seed: 1}, in)
	s := r.Sources[0]
	if !s.Reordered || s.ClockSteps != 0 || !slices.Equal(s.Files, []string{"a.log.2.gz", "a.log.1", "a.log"}) || len(list) != 150 {
		t.Errorf("%+v", s)
	}
}

// Whole seconds are spread evenly, in their order, the same from the same seed.
func TestSpread(t *testing.T) {
	var text strings.Builder
	for i := range 2000 {
		text.WriteString(combinedLine(logStart, "GET", fmt.Sprintf("/members/%d/status", i%7), 0.5))
	}
	r, list, one := importTexts(t, Options{Seed: 1}, text.String())
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
	if r.Sources[0].Spread != 2000 || r.Start.Sub(logStart) > -490*time.Millisecond || r.Start.Sub(logStart) < -500*time.Millisecond {
		t.Errorf("%+v, start %v", r.Sources[0], r.Start)
	}
	var s secondSpreader
	var got []pendingEntry
	s = secondSpreader{random: newRandomStream(1, "x"), emit: func(p pendingEntry) { got = append(got, p) }}
	for i := range 3*maxSpreadGroup + 5 { // more than are held at once
		s.add(pendingEntry{timestamp: 5_000_000, resolution: 1_000_000, sequence: uint64(i)})
	}
	s.flush()
	if len(got) != 3*maxSpreadGroup+5 || s.CrowdedSeconds != 3 || !slices.IsSortedFunc(got, func(a, b pendingEntry) int {
		if a.timestamp > b.timestamp || a.sequence > b.sequence {
			return 1
		}
		return -1
	}) || got[len(got)-1].timestamp > 5_999_999 {
		t.Errorf("a crowded second: %d, %d, last at %d", len(got), s.CrowdedSeconds, got[len(got)-1].timestamp)
	}
}

// Equal tokens stay equal keys; wholly redacted members get keys of the stated
// number; nothing of a member, a query or a cookie is in the file or the report.
func TestMembers(t *testing.T) {
	var text strings.Builder
	for i, member := range []string{"880017", "880018", "880017", "a9f5e1c0d2", "a9f5e1c0d2", "88***", "88***", "880018"} {
		text.WriteString(combinedLine(logStart.Add(time.Duration(i)*time.Second), "GET", "/members/"+member+"/status?token=hunter2", 0.01))
	}
	for i := range 500 {
		text.WriteString(combinedLine(logStart.Add(time.Minute), "GET", "/members/"+[]string{"***", "xxxx", "-", "%2A%2A", "REDACTED"}[i%5]+"/status", 0.01))
	}
	text.WriteString("10.1.2.3 - - [29/Nov/2026:06:00:00 +0000] \"GET /members/880019/status\" 200 1 \"-\" \"-\" 0.1\n") // malformed
	r, list, file := importTexts(t, Options{Seed: 1}, text.String())
	k := func(i int) uint64 { return list[i].Key }
	if k(0) != k(2) || k(1) != k(7) || k(0) == k(1) || k(3) != k(4) || k(5) != k(6) || k(5) == k(0) {
		t.Errorf("keys of tokens: %x", []uint64{k(0), k(1), k(2), k(3), k(4), k(5), k(6), k(7)})
	}
	made := map[uint64]int{}
	for _, e := range list[8:] {
		if e.Repairs&SyntheticKey == 0 || e.Key == 0 {
			t.Fatalf("%+v", e)
		}
		made[e.Key]++
	}
	if len(made) < 45 || len(made) > 50 || r.Repairs["key made up"] != 500 || r.SyntheticKeys != "uniform over 50 members" {
		t.Errorf("%d made-up keys, %v, %s", len(made), r.Repairs, r.SyntheticKeys)
	}
	zip, err := zstd.NewReader(bytes.NewReader(file))
	if err != nil {
		t.Fatal(err)
	}
	defer zip.Close()
	plain, err := io.ReadAll(zip)
	if err != nil {
		t.Fatal(err)
	}
	told, _ := json.Marshal(r)
	for _, secret := range []string{"88001", "a9f5e1c0d2", "88***", "hunter2", "10.1.2.3", "/members/"} {
		if bytes.Contains(plain, []byte(secret)) || bytes.Contains(told, []byte(secret)) {
			t.Errorf("%q is in the file or the report", secret)
		}
	}
	// Another input gives other pseudonyms, a given secret the same.
	_, other, _ := importTexts(t, Options{Seed: 1}, text.String()+"\n# more\n")
	if other[0].Key == k(0) {
		t.Error("pseudonyms are not keyed by the input")
	}
	secret := Options{Seed: 1, Secret: []byte("0123456789abcdef")}
	_, a, _ := importTexts(t, secret, text.String())
	_, b, _ := importTexts(t, secret, text.String()+"\n# more\n")
	if a[0].Key != b[0].Key || a[0].Key == k(0) {
		t.Error("pseudonyms do not follow the secret")
	}
	skewed := testRules(t, strings.Replace(rulesText, "members = 50", "members = 50\nskew = 1.5", 1))
	r, list, _ = importTexts(t, Options{Seed: 1, Rules: skewed}, text.String())
	clear(made)
	for _, e := range list[8:] {
		made[e.Key]++
	}
	most := 0
	for _, n := range made {
		most = max(most, n)
	}
	if most < 100 || r.SyntheticKeys != "Zipf with exponent 1.5 over 50 members" {
		t.Errorf("the most frequent of skewed keys came %d times of 500; %s", most, r.SyntheticKeys)
	}
}

// What a broken medium leaves: torn packing, endless lines, zeros, no end of line.
func TestBrokenInputs(t *testing.T) {
	good := combinedLine(logStart, "GET", "/members/1/status", 0.01)
	var packed, packed2 bytes.Buffer
	z := gzip.NewWriter(&packed)
	rng := rand.New(rand.NewPCG(1, 1))
	var plain strings.Builder
	for i := range 3000 {
		l := combinedLine(logStart.Add(time.Duration(i)*time.Second), "GET", fmt.Sprintf("/members/%d/status", rng.Uint64()), rng.Float64())
		plain.WriteString(l)
		io.WriteString(z, l)
	}
	z.Close()
	zs, _ := zstd.NewWriter(&packed2)
	io.WriteString(zs, plain.String())
	zs.Close()
	for name, text := range map[string]string{"gzip": packed.String(), "zstd": packed2.String()} {
		if r, _, _ := importTexts(t, Options{}, text); r.Accepted != 3000 || r.Sources[0].Truncation != "" {
			t.Errorf("%s whole: %+v", name, r.Counts)
		}
		r, _, _ := importTexts(t, Options{}, text[:len(text)/2])
		if r.Accepted < 500 || r.Accepted >= 3000 || !strings.Contains(r.Sources[0].Truncation, "s0.log: ") {
			t.Errorf("%s torn: %+v, %q", name, r.Counts, r.Sources[0].Truncation)
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

func TestBadRules(t *testing.T) {
	for text, want := range map[string]string{
		"":                                   "class: missing",
		"[[class]]\nx=1":                     "class.x: unknown key",
		"[[class]]\nname=\"a b\"\nleft_ms=1": "class[0].name",
		"[[class]]\nname=\"a\"":              "class[0].left_ms",
		"[[class]]\nname=\"a\"\nleft_ms=1\nrepeat=\"often\"":                                       "class[0].repeat",
		"[[class]]\nname=\"a\"\nleft_ms=1\npath=\"(\"":                                             "class[0].path",
		"[[class]]\nname=\"a\"\nleft_ms=1\nkey=\"a\"":                                              "class[0].key: no group",
		"[[class]]\nname=\"a\"\nleft_ms=1\nkey_from=\"cookie\"":                                    "class[0].key_from",
		"[[class]]\nname=\"a\"\nleft_ms=1\nslots=-1":                                               "class[0].slots",
		"[[class]]\nname=\"a\"\nleft_ms=1\n[redacted]\nskew=0.5":                                   "redacted.skew",
		"[[class]]\nname=\"a\"\nleft_ms=1\nrepeat=\"retryable\"\n[[class]]\nname=\"a\"\nleft_ms=1": "class[1].repeat",
	} {
		if _, err := ReadRules([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}

// ---- The canonical file.

func sampleRecording(t testing.TB, n int) []byte {
	var text strings.Builder
	for i := range n {
		method, path := "GET", "/status"
		if i%3 == 0 {
			method, path = "POST", "/renew"
		}
		text.WriteString(combinedLine(logStart.Add(time.Duration(i)*10*time.Millisecond), method, fmt.Sprintf("/members/%d%s", i%97, path), 0.02))
	}
	_, _, file := importTexts(t, Options{Seed: 3}, text.String())
	return file
}

// A file that is cut or changed anywhere is refused, and no error is a panic.
func TestDamagedFile(t *testing.T) {
	file := sampleRecording(t, 3000)
	whole := func(b []byte) error {
		r, err := NewReader(bytes.NewReader(b))
		if err != nil {
			return err
		}
		defer r.Close()
		return r.ForEach(func(*Entry) error { return nil })
	}
	if err := whole(file); err != nil {
		t.Fatal(err)
	}
	for n := range 200 {
		cut := n * len(file) / 200
		if err := whole(file[:cut]); err == nil {
			t.Fatalf("cut at %d of %d it is taken", cut, len(file))
		}
		flipped := slices.Clone(file)
		flipped[cut] ^= 0x10
		if err := whole(flipped); err == nil && cut > 8 {
			t.Fatalf("with byte %d of %d changed it is taken", cut, len(file))
		}
	}
	if err := whole(append(slices.Clone(file), file...)); err == nil {
		t.Error("two files in one are taken")
	}
	if err := whole(file[:len(file)/2]); !strings.Contains(err.Error(), "frame ") || !strings.Contains(err.Error(), "entries") {
		t.Errorf("the place is not told: %v", err)
	}
	// A change that was packed anew, which the packing's own check does not see.
	zip, err := zstd.NewReader(bytes.NewReader(file))
	if err != nil {
		t.Fatal(err)
	}
	plain, err := io.ReadAll(zip)
	zip.Close()
	if err != nil {
		t.Fatal(err)
	}
	at := bytes.LastIndexByte(plain[:len(plain)-40], 0x19) // the tag of an entry's key
	plain[at+3] ^= 1
	var again bytes.Buffer
	pack, _ := zstd.NewWriter(&again)
	pack.Write(plain)
	pack.Close()
	if err := whole(again.Bytes()); err == nil || !strings.Contains(err.Error(), "checksum") {
		t.Errorf("changed and packed anew: %v", err)
	}
	// The same content with its checksum made new, but of another version.
	r, _ := NewReader(bytes.NewReader(file))
	h := r.deriveHeader("later")
	h.Version = 2
	var out bytes.Buffer
	w, _ := NewWriter(&out, h)
	w.Close()
	if err := whole(out.Bytes()); err == nil || !strings.Contains(err.Error(), "version 2; this program reads 1") {
		t.Errorf("another version: %v", err)
	}
}

func TestSliceMergeScale(t *testing.T) {
	file := sampleRecording(t, 3000)
	list := readEntries(t, file)
	open := func(b []byte) *Reader {
		r, err := NewReader(bytes.NewReader(b))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		return r
	}
	var a, b, m, s bytes.Buffer
	const at = 11 * time.Second
	if err := errors.Join(Slice(open(file), &a, 0, at), Slice(open(file), &b, at, 0)); err != nil {
		t.Fatal(err)
	}
	if err := Merge([]*Reader{open(b.Bytes()), open(a.Bytes())}, &m, false); err != nil {
		t.Fatal(err)
	}
	again := readEntries(t, m.Bytes())
	for i := range list {
		x, y := list[i], again[i]
		y.Class, y.Source = x.Class, x.Source
		if x != y {
			t.Fatalf("entry %d, cut out and put back: %+v, was %+v", i, y, x)
		}
	}
	if n := len(readEntries(t, b.Bytes())); n == 0 || n == len(list) || readEntries(t, b.Bytes())[0].Arrival > time.Second {
		t.Errorf("%d entries in the second part", n)
	}
	m.Reset()
	if err := Merge([]*Reader{open(a.Bytes()), open(b.Bytes())}, &m, true); err != nil || readEntries(t, m.Bytes())[2999].Arrival > 20*time.Second {
		t.Errorf("aligned: %v", err)
	}
	for _, rate := range []float64{0.25, 1, 2.5} {
		s.Reset()
		if err := Scale(open(file), &s, rate, 2, 1); err != nil {
			t.Fatal(err)
		}
		got := readEntries(t, s.Bytes())
		if want := 3000 * rate; float64(len(got)) < want*0.95 || float64(len(got)) > want*1.05 {
			t.Errorf("rate %g: %d entries", rate, len(got))
		}
		if last := got[len(got)-1].Arrival; last > 16*time.Second || last < 14*time.Second {
			t.Errorf("rate %g, twice the speed: 30 s became %v", rate, last)
		}
	}
	if Slice(open(file), io.Discard, at, at-1) == nil || Scale(open(file), io.Discard, 0, 1, 1) == nil || Merge(nil, io.Discard, false) == nil {
		t.Error("nonsense is taken")
	}
}

// ---- Fuzzing.

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

func FuzzCanonical(f *testing.F) {
	file := sampleRecording(f, 30)
	f.Add(file)
	f.Add(file[:len(file)/2])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, text []byte) {
		// As frames too, which the packing else keeps most changes from.
		var packed bytes.Buffer
		zip, _ := zstd.NewWriter(&packed)
		zip.Write(text)
		zip.Close()
		for _, b := range [][]byte{text, packed.Bytes()} {
			r, err := NewReader(bytes.NewReader(b))
			if err != nil {
				continue
			}
			last, n := time.Duration(0), 0
			err = r.ForEach(func(e *Entry) error {
				if e.Arrival < last || e.Class >= len(r.Header.Classes) || e.Timeout <= 0 || e.Slots < 0 {
					t.Fatalf("%+v", e)
				}
				last, n = e.Arrival, n+1
				return nil
			})
			if err == nil && uint64(n) != r.count {
				t.Fatalf("%d entries told, %d in the file, and no error", n, r.count)
			}
			r.Close()
		}
	})
}

// The short way for simple expressions agrees with the regexp package.
func FuzzSimplePaths(f *testing.F) {
	exprs := []string{"^/members/[^/]+/renew$", "^/members/([^/]+)/", "^/a$", "^/a", "^/([^/]+)$", "^/x/([^/]+)/y/[^/]+$", "^/[^/]+/([^/]+)/z", "^/members/[^/]*/status$"}
	for _, p := range []string{"/members/17/renew", "/members//renew", "/members/1/2/renew", "/a", "/ab", "/x/1/y/2", "/q/w/z"} {
		f.Add(p)
	}
	var rules []Rule
	for _, e := range exprs {
		c := Rule{Name: "a", TimeoutMs: 1, Path: e, Key: e}
		if !strings.Contains(e, "(") {
			c.Key = ""
		}
		if err := c.validate("", map[string]string{}); err != nil {
			f.Fatal(err)
		}
		if c.pathMatcher == nil {
			f.Fatalf("%s is not seen as simple", e)
		}
		rules = append(rules, c)
	}
	for _, e := range []string{"a", "^/a.b", "^/[^/]+x", "^/([^/]+", "^/a|b", "^/([^/]+)/([^/]+)/", "^/[^/]+"} {
		if compileSegmentPattern(e) != nil {
			f.Errorf("%s is seen as simple", e)
		}
	}
	f.Fuzz(func(t *testing.T, path string) {
		for _, c := range rules {
			m := c.pathPattern.FindStringSubmatch(path)
			group, ok := c.pathMatcher.match(path)
			if ok != (m != nil) || ok && len(m) > 1 && m[1] != group {
				t.Fatalf("%s on %q: %q, %v; regexp %q", c.Path, path, group, ok, m)
			}
		}
	})
}

// The sorter against sorting in memory, whatever the order.
func FuzzSorter(f *testing.F) {
	f.Add(uint64(1), uint16(1000), uint32(5))
	f.Add(uint64(2), uint16(60000), uint32(1<<31))
	f.Fuzz(func(t *testing.T, seed uint64, n uint16, disorder uint32) {
		rng := rand.New(rand.NewPCG(seed, 1))
		m, number := &memorySpool{}, 0
		s := sorter{spool: m, nextRun: &number}
		var want []pendingEntry
		for i := range int(n) {
			p := pendingEntry{timestamp: int64(i)*10 + int64(rng.Uint32N(disorder|1)), sequence: uint64(i), key: rng.Uint64(), duration: int64(rng.IntN(9)) - 1, serviceTime: -1, resolution: 1000}
			want = append(want, p)
			s.add(p)
		}
		if err := s.close(); err != nil {
			t.Fatal(err)
		}
		runs, err := compactRuns(m, &number, s.runs, 2)
		if err != nil || len(runs) > 2 {
			t.Fatal(len(runs), err)
		}
		var open []*runReader
		for _, n := range runs {
			r, _ := openRun(m, n, 0, 0)
			open = append(open, r)
		}
		slices.SortFunc(want, func(a, b pendingEntry) int {
			if a.timestamp != b.timestamp {
				return int(a.timestamp - b.timestamp)
			}
			return int(a.sequence) - int(b.sequence)
		})
		i := 0
		if err := mergeRuns(open, func(r *runReader) error {
			if r.entry != want[i] {
				t.Fatalf("%d: %+v, want %+v", i, r.entry, want[i])
			}
			i++
			return nil
		}); err != nil || i != len(want) {
			t.Fatal(i, len(want), err)
		}
	})
}

// ---- Measurements.

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

func BenchmarkHAR(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	var text strings.Builder
	text.WriteString(`{"log":{"version":"1.2","entries":[`)
	body := make([]byte, 3000)
	for i := range 3000 {
		for j := range body {
			body[j] = byte(rng.Uint32())
		}
		fmt.Fprintf(&text, `%s{"startedDateTime":"%s","time":31.5,"request":{"method":"GET","url":"https://portal.example/members/%d/status","httpVersion":"HTTP/2","headers":[{"name":"accept","value":"text/html"},{"name":"cookie","value":"%s"}],"queryString":[],"headersSize":-1,"bodySize":0},"response":{"status":200,"headers":[{"name":"date","value":"now"}],"content":{"size":3000,"mimeType":"application/octet-stream","encoding":"base64","text":"%s"}},"cache":{},"timings":{"blocked":1,"dns":-1,"connect":-1,"send":0.1,"wait":30,"receive":0.5}}`,
			map[bool]string{true: ",", false: ""}[i > 0], logStart.Add(time.Duration(i)*time.Millisecond).Format(time.RFC3339Nano), rng.IntN(9999), hex.EncodeToString(body[:40]), hex.EncodeToString(body))
	}
	text.WriteString(`]}}`)
	rules := testRules(b, rulesText)
	b.SetBytes(int64(text.Len()))
	b.ReportAllocs()
	for b.Loop() {
		r, err := Import([]Input{{"a", "a", strings.NewReader(text.String())}}, Options{Rules: rules, Spool: &memorySpool{}}, io.Discard)
		if err != nil || r.Accepted != 3000 {
			b.Fatal(err)
		}
	}
}
