package rehearsal

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

var wide = Limits{Entries: 1000, Span: time.Hour}

const logText = `10.0.0.1 - - [01/Dec/2026:08:00:00 +0200] "GET /members/17/status HTTP/1.1" 200 512
10.0.0.1 - frank [01/Dec/2026:08:00:01 +0200] "POST /members/18/renew?x=1 HTTP/1.1" 200 - "http://portal/" "agent \"7\""
nonsense

10.0.0.1 - - [yesterday] "GET / HTTP/1.1" 200 1
10.0.0.1 - - [01/Dec/2026:08:00:02 +0200] "GET /" 200 1
10.0.0.1 - - [01/Dec/2026:08:00:02 +0200] "GET /a\"b HTTP/1.1" two 1
10.0.0.1 - - [01/Dec/2026:08:00:00 +0200] "GET /members/19/status HTTP/1.1" 404 0
10.0.0.1 - - [01/Dec/2026:08:00:03 +0200] "GET /favicon.ico HTTP/1.1" 404 0`

func TestReadLog(t *testing.T) {
	entries, bad, cut, err := Read(strings.NewReader(logText), wide)
	if err != nil || cut {
		t.Fatal(err, cut)
	}
	var got []string
	for _, e := range entries {
		got = append(got, fmt.Sprintf("%d %v %s %s", e.Number, e.At, e.Method, e.Path))
	}
	// Line 8 is out of order by its clock: the order of the file stands.
	want := []string{"1 0s GET /members/17/status", "2 1s POST /members/18/renew?x=1", "8 1s GET /members/19/status", "9 3s GET /favicon.ico"}
	if !slices.Equal(got, want) {
		t.Errorf("entries %q, want %q", got, want)
	}
	var numbers []int
	for _, b := range bad {
		numbers = append(numbers, b.Number)
	}
	if !slices.Equal(numbers, []int{3, 5, 6, 7}) {
		t.Errorf("bad lines %v", bad)
	}
	long := strings.Repeat("x", maxLine+100) + "\n" + logText
	if entries, bad, _, err := Read(strings.NewReader(long), wide); err != nil || len(entries) != 4 || bad[0].Number != 1 {
		t.Errorf("after a line that is too long: %d entries, %v, %v", len(entries), bad, err)
	}
}

const harText = "\ufeff" + `{"log":{"creator":{"name":"x"},"entries":[
{"startedDateTime":"2026-12-01T08:00:00.250Z","time":3,"request":{"method":"POST","url":"http://portal.example/members/18/renew","postData":{"mimeType":"text/plain","text":"pay"}}},
{"startedDateTime":"soon","request":{"method":"GET","url":"/"}},
{"startedDateTime":7},
{"startedDateTime":"2026-12-01T08:00:00.500+00:00","request":{"method":"GET","url":"http://portal.example/members/a%20b/status?q=1"}}],
"version":"1.2"}}`

func TestReadHAR(t *testing.T) {
	entries, bad, _, err := Read(strings.NewReader(harText), wide)
	if err != nil || len(entries) != 2 || len(bad) != 2 || bad[0].Number != 2 || bad[1].Number != 3 {
		t.Fatalf("%+v, %v, %v", entries, bad, err)
	}
	e := entries[1]
	if string(entries[0].Body) != "pay" || e.At != 250*time.Millisecond || e.Number != 4 || e.Path != "/members/a%20b/status?q=1" {
		t.Errorf("entries %+v", entries)
	}
	for text, want := range map[string]string{
		"": "empty", " \n": "empty", `{}`: "log.entries: missing", `{"log":{"entries":[],"version":"1.1"}}`: "1.1",
		`{"log":{"entries":{}}}`: "no array", `{"log":[]}`: "no object", `{"log":{"entries":[{]}}`: "entry 1",
	} {
		if _, _, _, err := Read(strings.NewReader(text), wide); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}

func TestLimitsCutARecording(t *testing.T) {
	for _, l := range []Limits{{Entries: 2, Span: time.Hour}, {Entries: 10, Span: 2 * time.Second}} {
		entries, _, cut, err := Read(strings.NewReader(logText), l)
		if want := 2 + l.Entries/10; len(entries) != want || !cut || err != nil {
			t.Errorf("%+v: %d entries, cut: %v, %v", l, len(entries), cut, err)
		}
	}
}

// FuzzRead: no input makes the readers panic, and what is read is in order.
func FuzzRead(f *testing.F) {
	f.Add([]byte(logText))
	f.Add([]byte(harText))
	f.Add([]byte(`{"log":{"version":"1.2","entries":[{"request":null}]}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		entries, bad, _, _ := Read(strings.NewReader(string(b)), wide)
		for i, e := range entries {
			if e.At < 0 || i > 0 && (e.At < entries[i-1].At || e.Number <= entries[i-1].Number) {
				t.Fatalf("entry %d: %+v", i, e)
			}
		}
		for _, b := range bad {
			if b.Number < 1 || b.Why == "" {
				t.Fatalf("%+v", b)
			}
		}
	})
}

func rules(t *testing.T) *Rules {
	t.Helper()
	r, err := ReadRules("../../deploy/rehearsal.toml")
	if err != nil {
		t.Fatal(err)
	}
	for i := range r.Class {
		r.Class[i].LeftMs = 1500 // as long as a lost answer is waited for
	}
	return &r
}

func TestRules(t *testing.T) {
	r := rules(t)
	for _, test := range []struct{ method, path, class, key string }{
		{"GET", "/members/17/status?x=1", "status-check", "17"},
		{"POST", "/members/18/renew", "renewal", "18"},
		{"GET", "/members/18/renew", "", ""},
	} {
		rule, key := r.Map(&Entry{Method: test.method, Path: test.path})
		if rule == nil && test.class != "" || rule != nil && rule.Name != test.class || key != test.key {
			t.Errorf("%+v: %+v, key %q", test, rule, key)
		}
	}
	for text, want := range map[string]string{
		"":                        "class: missing",
		"[[class]]\nname=\"a b\"": "class[0].name",
		"[[class]]\nname=\"a\"":   "class[0].left_ms",
		"[[class]]\nname=\"a\"\nleft_ms=1\npath=\"(\"": "class[0].path",
		"[[class]]\nname=\"a\"\nleft_ms=1\nkey=\"x\"":  "class[0].key: no group",
		"[[class]]\nname=\"a\"\nleft=1":                "class.left: unknown key",
		"x":                                            "line 1",
	} {
		path := filepath.Join(t.TempDir(), "r.toml")
		os.WriteFile(path, []byte(text), 0o600)
		if _, err := ReadRules(path); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want one line with %q", text, err, want)
		}
	}
}

// stand is a stand-in dispatcher: act words the answer to the job with a key.
type stand struct {
	mu   sync.Mutex
	keys []string
	at   []time.Time
	addr string
}

func newStand(t *testing.T, serve func(s *stand, conn net.Conn)) *stand {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	s := &stand{addr: ln.Addr().String()}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { defer conn.Close(); serve(s, conn) }()
		}
	}()
	return s
}

func (s *stand) note(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys = append(s.keys, key)
	s.at = append(s.at, time.Now())
}

func entriesFor(keys ...string) (list []Entry) {
	for i, k := range keys {
		list = append(list, Entry{
			Number: i + 1, At: time.Duration(i) * 30 * time.Millisecond, Method: "GET", Path: "/members/" + k + "/status",
		})
	}
	return append(list, Entry{Number: len(keys) + 1, Method: "GET", Path: "/else"})
}

// What the stand-in does with a job shows in the report, on either front; a
// lost or a second answer is a broken rule.
func TestReplayReportsWhatCameBack(t *testing.T) {
	platform := newStand(t, func(s *stand, conn net.Conn) {
		in := bufio.NewReader(conn)
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			io.Copy(io.Discard, req.Body)
			key := req.URL.Path[strings.LastIndexByte(req.URL.Path, '/')+1:]
			s.note(key)
			ok := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
			switch key {
			case "refuse":
				fmt.Fprint(conn, "HTTP/1.1 503 No\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n")
			case "fail":
				fmt.Fprint(conn, "HTTP/1.1 502 No\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
			case "hang-up":
				return
			case "silent":
			case "twice":
				fmt.Fprint(conn, ok+ok)
			case "close":
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")
				return
			default:
				fmt.Fprint(conn, ok)
			}
		}
	})
	faktory := newStand(t, func(s *stand, conn net.Conn) {
		fmt.Fprint(conn, "+HI {\"v\":2}\r\n")
		in := bufio.NewReader(conn)
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			_, key, _ := strings.Cut(line, `"key":"`)
			key, _, _ = strings.Cut(key, `"`)
			if strings.HasPrefix(line, "PUSH") {
				s.note(key)
			}
			switch key {
			case "refuse":
				fmt.Fprint(conn, "-ERR REFUSED not now\r\n")
			case "fail":
				fmt.Fprint(conn, "-ERR FAILED it may have run\r\n")
			case "hang-up":
				return
			case "silent":
			case "twice":
				fmt.Fprint(conn, "+OK\r\n+OK\r\n")
			default:
				fmt.Fprint(conn, "+OK\r\n")
			}
		}
	})
	for name, s := range map[string]*stand{"platform": platform, "faktory": faktory} {
		o := Options{To: s.addr, Faktory: name == "faktory"}
		start := time.Now()
		report, err := Replay(entriesFor("a", "refuse", "fail", "b", "close", "c"), rules(t), o)
		if err != nil {
			t.Fatal(err)
		}
		if got := *report.Classes["status-check"]; got != (Tally{Sent: 6, Served: 4, Refused: 1, Failed: 1}) || report.Broken() ||
			!slices.Equal(report.Unmapped, []int{7}) {
			t.Errorf("%s: %+v, %+v", name, got, report)
		}
		if !slices.Equal(s.keys, []string{"a", "refuse", "fail", "b", "close", "c"}) {
			t.Errorf("%s: out of order: %v", name, s.keys)
		}
		for i := range s.at { // never sooner than it was recorded
			if gap := s.at[i].Sub(start); gap < time.Duration(i)*30*time.Millisecond {
				t.Errorf("%s: entry %d came %v after the start", name, i+1, gap)
			}
		}
		report, err = Replay(entriesFor("silent", "twice", "hang-up", "a"), rules(t), o)
		if err != nil {
			t.Fatal(err)
		}
		slices.Sort(report.Lost)
		if got := report.Classes["status-check"]; !report.Broken() || !slices.Contains(report.Lost, 1) ||
			!slices.Contains(report.Lost, 3) || !slices.Equal(report.Twice, []int{2}) || got.Served != 2 || got.Lost != 2 {
			t.Errorf("%s: %+v, %+v", name, got, report)
		}
		var text strings.Builder
		report.Write(&text)
		if !strings.Contains(text.String(), "lost: entries 1 3\n") || !strings.Contains(text.String(), "answered twice: entries 2\n") {
			t.Errorf("%s: %s", name, text.String())
		}
	}
}

// A stand-in that is not there makes entries unsent, not lost; and nothing but loopback is spoken to.
func TestReplayBounds(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	report, err := Replay(entriesFor("a"), rules(t), Options{To: ln.Addr().String()})
	if err != nil || report.Unsent() != 1 || report.Broken() {
		t.Errorf("%+v, %v", report, err)
	}
	for _, addr := range []string{"192.0.2.1:80", "example.org:80", "127.0.0.1", "0.0.0.0:80", "[2001:db8::1]:80"} {
		if _, err := Replay(nil, rules(t), Options{To: addr}); err == nil {
			t.Errorf("%s is taken", addr)
		}
	}
}
