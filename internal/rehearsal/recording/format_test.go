package recording

import (
	"strings"
	"testing"
	"time"
)

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

func TestDetectFormat(t *testing.T) {
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
