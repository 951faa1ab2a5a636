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

func TestReadHAR(t *testing.T) {
	report, list, _ := importTexts(t, Options{Seed: 1}, harText)
	if report.Counts != (Counts{Read: 10, Accepted: 3, Malformed: 3, Unmapped: 1, Ignored: 3, Repaired: 1}) {
		t.Errorf("%+v", report.Counts)
	}
	if len(list) != 3 || list[1].Arrival != 100*time.Millisecond || list[0].Duration != 12500*time.Microsecond ||
		list[2].Duration != 33*time.Millisecond || list[2].BodyBytes != 9 || list[1].Repairs != DrawnDuration || list[2].Status != 302 {
		t.Errorf("%+v", list)
	}
	if list[0].Key != list[2].Key || list[0].Key == list[1].Key {
		t.Error("the keys of members 18, 19 and 18 are wrong")
	}
	var lines []int
	for _, x := range report.Rejects {
		lines = append(lines, x.Line)
	}
	if !slices.Equal(lines, []int{7, 8, 9}) {
		t.Errorf("rejects %+v", report.Rejects)
	}
	// Truncated anywhere: what precedes it counts, and the truncation is reported.
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
			t.Errorf("%s: no fault is reported", text)
		}
	}
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
