package recording

import (
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// harText is a HAR file with a byte order mark and ten entries: three valid ones, of which the third got no
// response, three that did not reach a server as HTTP requests, three malformed ones and one that no rule
// matches.
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

// importHAR imports harText.
func importHAR(t *testing.T) importResult {
	t.Helper()
	return importTexts(t, Options{Seed: 1}, harText)
}

// The entries of a HAR file are counted as accepted, malformed, unmapped or ignored.
func TestReadHAR(t *testing.T) {
	imported := importHAR(t)
	want := Counts{Read: 10, Accepted: 3, Malformed: 3, Unmapped: 1, Ignored: 3, Repaired: 1}
	if imported.report.Counts != want {
		t.Errorf("%+v, want %+v", imported.report.Counts, want)
	}
	var rejectedEntries []int
	for _, reject := range imported.report.Rejects {
		rejectedEntries = append(rejectedEntries, reject.Line)
	}
	if !slices.Equal(rejectedEntries, []int{7, 8, 9}) {
		t.Errorf("rejects %+v, want the entries 7, 8 and 9", imported.report.Rejects)
	}
}

// The duration of an entry is the sum of its send, wait and receive timings or, if the wait is not known,
// the entry's time. It is drawn if there was no response. Entries are sorted by their start times.
func TestEntriesOfHAR(t *testing.T) {
	entries := importHAR(t).entries
	if len(entries) != 3 {
		t.Fatalf("%d entries, want 3: %+v", len(entries), entries)
	}
	first := &entries[0]
	second := &entries[1]
	third := &entries[2]
	if first.Duration != 12500*time.Microsecond {
		t.Errorf("%+v, want 12.5 ms from the entry's time", first)
	}
	if second.Arrival != 100*time.Millisecond || second.Repairs != DrawnDuration {
		t.Errorf("%+v, want an arrival 100 ms after the first and a drawn duration", second)
	}
	if third.Duration != 33*time.Millisecond || third.BodyBytes != 9 || third.Status != 302 {
		t.Errorf("%+v, want 33 ms from the timings, a body of 9 bytes and status 302", third)
	}
	if first.Key != third.Key || first.Key == second.Key {
		t.Error("the keys of entries 1 and 3, both of member 18, differ, or entry 2, of member 19, has the same key")
	}
}

// If a HAR file is truncated at any position, the complete entries before that position are imported and
// the truncation is reported.
func TestTruncatedHAR(t *testing.T) {
	endOfAccepted := strings.Index(harText, `{"startedDateTime":"soon"`)
	for length := strings.Index(harText, "[\n{") + 2; length < len(harText)-10; length += 7 {
		imported := importTexts(t, Options{Seed: 1}, harText[:length])
		report := imported.report
		if imported.source().Truncation == "" || report.Read > 10 || int(report.Accepted) != len(imported.entries) {
			t.Fatalf("truncated at %d: %+v", length, report)
		}
		if length > endOfAccepted && report.Accepted != 3 {
			t.Fatalf("truncated at %d: %d accepted of 3 before it", length, report.Accepted)
		}
	}
}

// A HAR file without entries, of an unknown version or without a log object is reported as
// truncated.
func TestFaultyHAR(t *testing.T) {
	for _, text := range []string{`{"log":{"version":"1.2"}}`, `{"log":{"version":"9","entries":[]}}`, `{"log":[]}`} {
		imported := importTexts(t, Options{Format: "har"}, text)
		if imported.source().Truncation == "" {
			t.Errorf("%s: no truncation is reported", text)
		}
	}
}

// largeHAR returns a HAR file with the given number of entries, each with a response body.
func largeHAR(entries int) string {
	const bodyBytes = 3000
	random := rand.New(rand.NewPCG(1, 1))
	body := make([]byte, bodyBytes)
	var text strings.Builder
	text.WriteString(`{"log":{"version":"1.2","entries":[`)
	for i := range entries {
		for j := range body {
			body[j] = byte(random.Uint32())
		}
		if i > 0 {
			text.WriteString(",")
		}
		started := logStart.Add(time.Duration(i) * time.Millisecond).Format(time.RFC3339Nano)
		member := random.IntN(9999)
		cookie := hex.EncodeToString(body[:40])
		fmt.Fprintf(&text, `{"startedDateTime":"%s","time":31.5,`, started)
		fmt.Fprintf(&text, `"request":{"method":"GET","url":"https://portal.example/members/%d/status","httpVersion":"HTTP/2",`, member)
		fmt.Fprintf(&text, `"headers":[{"name":"accept","value":"text/html"},{"name":"cookie","value":"%s"}],`, cookie)
		text.WriteString(`"queryString":[],"headersSize":-1,"bodySize":0},`)
		text.WriteString(`"response":{"status":200,"headers":[{"name":"date","value":"now"}],`)
		fmt.Fprintf(&text, `"content":{"size":%d,"mimeType":"application/octet-stream","encoding":"base64","text":"%s"}},`,
			bodyBytes, hex.EncodeToString(body))
		text.WriteString(`"cache":{},"timings":{"blocked":1,"dns":-1,"connect":-1,"send":0.1,"wait":30,"receive":0.5}}`)
	}
	text.WriteString(`]}}`)
	return text.String()
}

// BenchmarkHAR imports a HAR file whose entries have response bodies, which the importer skips.
func BenchmarkHAR(b *testing.B) {
	const entries = 3000
	text := largeHAR(entries)
	rules := testRules(b, rulesText)
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		inputs := []Input{{Source: "a", File: "a", Reader: strings.NewReader(text)}}
		report, err := Import(inputs, Options{Rules: rules, Spool: &memorySpool{}}, io.Discard)
		if err != nil {
			b.Fatal(err)
		}
		if report.Accepted != entries {
			b.Fatalf("%d accepted, want %d", report.Accepted, entries)
		}
	}
}
