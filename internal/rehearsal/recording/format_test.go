package recording

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// lineTime is the time of the lines in formatCases, without the fraction of a second that some have.
var lineTime = time.Date(2026, 12, 1, 6, 0, 1, 0, time.UTC).UnixMicro()

const quarterSecond = 250 * millisecond

// formatCases contains lines of all formats and the entries that must be parsed from them.
var formatCases = []struct {
	format string
	line   string
	want   RawEntry
}{
	{
		format: "common",
		line:   `h - - [01/Dec/2026:08:00:01 +0200] "GET /a?b=1 HTTP/1.1" 200 -`,
		want: RawEntry{Timestamp: lineTime, Resolution: second, Method: "GET", Target: "/a?b=1", Status: 200,
			Duration: notRecorded, ServiceTime: notRecorded},
	},
	{
		format: "combined",
		line:   `h - frank [01/Dec/2026:08:00:01 +0200] "POST /a HTTP/1.1" 404 5 "http://p/" "agent \"7\""`,
		want: RawEntry{Timestamp: lineTime, Resolution: second, Method: "POST", Target: "/a", Status: 404,
			Duration: notRecorded, ServiceTime: notRecorded},
	},
	{
		format: "combined+s",
		line:   `h - - [01/Dec/2026:08:00:01 +0200] "GET /a HTTP/1.1" 200 5 "-" "-" 0.031`,
		want: RawEntry{Timestamp: lineTime, Resolution: second, Method: "GET", Target: "/a", Status: 200,
			Duration: 31_000, ServiceTime: notRecorded},
	},
	{
		format: "combined+us",
		line:   `h - - [01/Dec/2026:08:00:01 +0200] "GET /a HTTP/1.1" 200 5 "-" "-" 31000`,
		want: RawEntry{Timestamp: lineTime, Resolution: second, Method: "GET", Target: "/a", Status: 200,
			Duration: 31_000, ServiceTime: notRecorded, TimestampMarksArrival: true},
	},
	{
		format: "combined+ms",
		line:   `h - - [01/Dec/2026:08:00:01 +0200] "GET /a HTTP/1.1" 200 5 "-" "-" 31`,
		want: RawEntry{Timestamp: lineTime, Resolution: second, Method: "GET", Target: "/a", Status: 200,
			Duration: 31_000, ServiceTime: notRecorded, TimestampMarksArrival: true},
	},
	{
		format: `nginx:$msec|$request_method|$request_uri|$status|$request_time|$upstream_response_time|$request_id`,
		line:   `1796104801.250|GET|/a|200|0.040|0.010, 0.020|r7`,
		want: RawEntry{Timestamp: lineTime + quarterSecond, Resolution: millisecond, Method: "GET", Target: "/a", Status: 200,
			Duration: 40_000, ServiceTime: 30_000},
	},
	{
		format: `nginx:[$time_iso8601] "$request" ${status} $request_time`,
		line:   `[2026-12-01T06:00:01+00:00] "GET /\x22q\x5C HTTP/2.0" 499 -`,
		want: RawEntry{Timestamp: lineTime, Resolution: second, Method: "GET", Target: `/"q\`, Status: 499,
			Duration: notRecorded, ServiceTime: notRecorded},
	},
	{
		format: `apache:%h %l %u %t \"%r\" %>s %b %{ms}T`,
		line:   `h - - [01/Dec/2026:06:00:01 +0000] "GET /a\"b HTTP/1.1" 200 - 12`,
		want: RawEntry{Timestamp: lineTime, Resolution: second, Method: "GET", Target: `/a"b`, Status: 200,
			Duration: 12_000, ServiceTime: notRecorded, TimestampMarksArrival: true},
	},
	{
		format: `apache:[%{%d/%b/%Y:%T}t.%{msec_frac}t %{%z}t] %m %U%q %s %D`,
		line:   `[01/Dec/2026:08:00:01.250 +0200] GET /a?x=1 200 900`,
		want: RawEntry{Timestamp: lineTime + quarterSecond, Resolution: millisecond, Method: "GET", Target: "/a?x=1", Status: 200,
			Duration: 900, ServiceTime: notRecorded, TimestampMarksArrival: true},
	},
	{
		format: `apache:[%{%d/%b/%Y:%T}t.%{msec_frac}t %{%z}t] %m %U %q %s %D`,
		line:   `[01/Dec/2026:08:00:01.250 +0200] GET /a ?x=1 200 900`,
		want: RawEntry{Timestamp: lineTime + quarterSecond, Resolution: millisecond, Method: "GET", Target: "/a?x=1", Status: 200,
			Duration: 900, ServiceTime: notRecorded, TimestampMarksArrival: true},
	},
	{
		format: `apache:%{end:msec}t "%r" %T`,
		line:   `1796104801250 "GET /a HTTP/1.0" 2`,
		want: RawEntry{Timestamp: lineTime + quarterSecond, Resolution: millisecond, Method: "GET", Target: "/a",
			Duration: 2 * second, ServiceTime: notRecorded},
	},
	{
		format: "json",
		line:   `{"time_iso8601":"2026-12-01T08:00:01+02:00","request":"GET /a HTTP/1.1","status":"200","request_time":"0.031"}`,
		want: RawEntry{Timestamp: lineTime, Resolution: second, Method: "GET", Target: "/a", Status: 200,
			Duration: 31_000, ServiceTime: notRecorded},
	},
	{
		format: "json:time=t.at,method=m,target=u,duration_us=d,stamp=arrival",
		line:   `{"t":{"at":1796104801250},"m":"PUT","u":"https://h.example/a","d":77}`,
		want: RawEntry{Timestamp: lineTime + quarterSecond, Resolution: millisecond, Method: "PUT", Target: "/a",
			Duration: 77, ServiceTime: notRecorded, TimestampMarksArrival: true},
	},
	{
		format: "caddy",
		line:   `{"ts":1796104801.25,"request":{"remote_ip":"10.0.0.1","method":"GET","uri":"/a"},"duration":0.004,"status":200}`,
		want: RawEntry{Timestamp: lineTime + quarterSecond, Resolution: millisecond, Method: "GET", Target: "/a", Status: 200,
			Duration: 4_000, ServiceTime: notRecorded},
	},
	{
		format: "traefik",
		line: `{"StartUTC":"2026-12-01T06:00:01.25Z","RequestMethod":"GET","RequestPath":"/a","Duration":4000000,` +
			`"OriginDuration":3000000,"DownstreamStatus":200}`,
		want: RawEntry{Timestamp: lineTime + quarterSecond, Resolution: millisecond, Method: "GET", Target: "/a", Status: 200,
			Duration: 4_000, ServiceTime: 3_000, TimestampMarksArrival: true},
	},
	{
		format: "common",
		line:   "\x00\x00h - - [01/Dec/2026:08:00:01 +0200] \"GET /a HTTP/1.1\" 200 -",
		want: RawEntry{Timestamp: lineTime, Resolution: second, Method: "GET", Target: "/a", Status: 200,
			Duration: notRecorded, ServiceTime: notRecorded, Repairs: LeadingNUL},
	},
	{
		format: "common",
		line:   "h - - [01/Dec/2026:08:00:01 +0200] \"GET /a\xff HTTP/1.1\" 200 -",
		want: RawEntry{Timestamp: lineTime, Resolution: second, Method: "GET", Target: "/a\uFFFD", Status: 200,
			Duration: notRecorded, ServiceTime: notRecorded, Repairs: InvalidUTF8},
	},
}

// Each format parses the time, the request and the durations of its lines.
func TestFormats(t *testing.T) {
	for _, test := range formatCases {
		got, err := parseLine(t, test.format, test.line)
		if err != nil {
			t.Errorf("%s: %q: %v", test.format, test.line, err)
		}
		got.Client = ""
		got.RequestID = ""
		if got != test.want {
			t.Errorf("%s: %q:\n got %+v\nwant %+v", test.format, test.line, got, test.want)
		}
	}
}

// parseLine parses one line. The test fails if the format is invalid.
func parseLine(t *testing.T, format, line string) (RawEntry, error) {
	t.Helper()
	compiled, err := Compile(format, nil)
	if err != nil {
		t.Errorf("%s: %v", format, err)
		return RawEntry{}, err
	}
	var raw RawEntry
	err = compiled.Parse(line, &raw)
	return raw, err
}

// The error for a malformed line says what is malformed.
func TestMalformedLines(t *testing.T) {
	for _, test := range []struct {
		format string
		line   string
		want   error
	}{
		{"common", "h - - [01/Dec/2026:08:00:01 +0200] \"GET /\x00a HTTP/1.1\" 200 -", errNUL},
		{"common", `h - - [yesterday] "GET / HTTP/1.1" 200 1`, errTimestamp},
		{"common", `h - - [01/Dec/2026:08:00:01 +0200] "GET /" 200 1`, errRequestLine},
		{"common", `h - - [01/Dec/2026:08:00:01 +0200] "GET /a HTTP/1.1" two 1`, errStatus},
		{"combined+s", `h - - [01/Dec/2026:08:00:01 +0200] "GET /a HTTP/1.1" 200 5 "-" "-" -3`, errDuration},
		{"json", `[1]`, errNotJSONObject},
		{"json", `{"ts":1,"method":"GET","uri":"nowhere"}`, errTarget},
	} {
		_, err := parseLine(t, test.format, test.line)
		if !errors.Is(err, test.want) {
			t.Errorf("%s: %q: %v, want %v", test.format, test.line, err, test.want)
		}
	}
}

// Compile rejects the descriptions of unknown, incomplete and ambiguous formats.
func TestInvalidFormats(t *testing.T) {
	for _, text := range []string{
		"xml",
		"nginx:", "nginx:$request", "nginx:$msec$request", "nginx:${msec", "nginx:$msec $",
		"apache:%{x", "apache:%", "apache:%t %{%Q}t \"%r\"", "apache:%t \"%r\" %{h}T", "apache:%h",
		"json:time", "json:size=x",
	} {
		if _, err := Compile(text, nil); err == nil {
			t.Errorf("%q was compiled, want an error", text)
		}
	}
}

// The format of a log is detected from its first lines.
func TestDetectFormat(t *testing.T) {
	withSeconds := combinedLine(logStart, "GET", "/a", 0.1)
	for want, head := range map[string]string{
		"combined+s":  withSeconds + combinedLine(logStart, "GET", "/b", 0.2) + "cut",
		"combined+us": strings.ReplaceAll(withSeconds, "0.100", "100000"),
		"combined":    `h - - [01/Dec/2026:08:00:01 +0200] "GET /a HTTP/1.1" 200 5 "-" "-"`,
		"common":      `h - - [01/Dec/2026:08:00:01 +0200] "GET /a HTTP/1.1" 200 5`,
		"har":         "\xef\xbb\xbf{\n  \"log\": {",
		"json":        `{"time":1,"method":"GET"}`,
		"caddy":       `{"ts":1.5,"request":{"method":"GET"}}`,
		"traefik":     `{"DownstreamStatus":200}`,
	} {
		format, err := detectFormat(head, nil)
		if err != nil {
			t.Errorf("%q: %v", head, err)
			continue
		}
		if format.Name != want {
			t.Errorf("%q: %s, want %s", head, format.Name, want)
		}
	}
}
