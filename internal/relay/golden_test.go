package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"regexp"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/goldentest"

	"hollyyoke.example/hollyyoke/internal/membership"
)

// golden compares with a file in testdata, line by line. A carriage return is
// shown as \r there.
func golden(t *testing.T, name, got string) {
	t.Helper()
	goldentest.Compare(t, name, strings.ReplaceAll(got, "\r", `\r`))
}

// changing is what differs from run to run.
var changing = regexp.MustCompile(`Date: [^\r]*|"(newest_age_s|p50|p99|max|upstream_since|time|sent_bytes)": [^,\n]*|127\.0\.0\.1:\d+`)

func masked(text string) string {
	return changing.ReplaceAllStringFunc(text, func(field string) string {
		if key, _, isField := strings.Cut(field, ": "); isField {
			return key + ": MASKED"
		}
		return "ADDRESS"
	})
}

// exchange sends a request's bytes, whose connection closes, and writes both sides' down.
func exchange(t *testing.T, text *strings.Builder, address, request string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(generous))
	io.WriteString(conn, request+"Host: h\r\nConnection: close\r\n\r\n")
	answer, err := io.ReadAll(conn)
	if err != nil {
		t.Fatalf("%q: %v", request, err)
	}
	got := masked(string(answer))
	if strings.Contains(got, "/control/") || strings.Contains(got, `"newest_age_s"`) {
		got = regexp.MustCompile(`Content-Length: \d+`).ReplaceAllString(got, "Content-Length: MASKED")
	}
	text.WriteString("> " + strings.TrimSuffix(strings.ReplaceAll(request, "\r\n", "\n> "), "> ") + got + "\n")
}

// All that a relay answers to subscribers and operators, byte for byte: before
// it has a list, with one, and in each status that a call can have.
func TestGoldenServes(t *testing.T) {
	up := startScripted(t, "127.0.0.1:0", "")
	config := testConfig(up.address())
	config.AdminAddr = "127.0.0.1:0"
	r, _ := startRelay(t, config)
	var text strings.Builder
	subscribers, operators := r.Addr().String(), r.AdminAddr().String()
	ask := func(requests ...string) {
		t.Helper()
		for _, request := range requests {
			exchange(t, &text, subscribers, request)
		}
	}
	ask("GET /v1/servers?after=0&name=d1 HTTP/1.1\r\n", "GET /v1/servers?watch=1&after=0&name=d1 HTTP/1.1\r\n")
	exchange(t, &text, operators, "GET /control/membership HTTP/1.1\r\n")
	up.answers(func(query url.Values) string {
		if query.Get("after") == "0" {
			return listJSON(41, true, hostJSON("a", "ready"), hostJSON("b", "draining"))
		}
		return listJSON(41, false)
	})
	watch := up.watch()
	go watch.keepAlive()
	eventually(t, "the list is there", func() bool { s := r.Status(); return s.Version == 41 && s.Upstream != "" })
	many := strings.Repeat("x", maxName+1)
	ask(
		"GET /v1/servers?after=0&name=d1 HTTP/1.1\r\n", "GET /v1/servers?after=41&name=d1 HTTP/1.1\r\n",
		"GET /v1/servers?after=41&name=r1&acked=40&fleet=3 HTTP/1.1\r\n", "GET /v1/servers HTTP/1.1\r\n",
		"GET /v1/servers?after=99&name=d1 HTTP/1.1\r\n", "GET /v1/servers?after=0&name=d1 HTTP/1.0\r\n",
		"GET /v1/servers?after=x HTTP/1.1\r\n", "GET /v1/servers?after=-1 HTTP/1.1\r\n", "GET /v1/servers?acked=x HTTP/1.1\r\n",
		"GET /v1/servers?fleet=9999999999 HTTP/1.1\r\n", "GET /v1/servers?name="+many+" HTTP/1.1\r\n",
		"GET /v1/servers?name=a%0Ab HTTP/1.1\r\n", "POST /v1/servers HTTP/1.1\r\nContent-Length: 0\r\n",
		"HEAD /v1/servers HTTP/1.1\r\n", "GET /v1/servers/ HTTP/1.1\r\n", "GET / HTTP/1.1\r\n", "GET /healthz HTTP/1.1\r\n",
	)
	eventually(t, "all that was sent is counted", func() bool { s := r.Status(); return s.SentSnapshots == 3 && s.SentDeltas == 2 })
	for _, request := range []string{"GET /control/membership HTTP/1.1\r\n", "PUT /control/membership HTTP/1.1\r\nContent-Length: 0\r\n", "GET /control/ready HTTP/1.1\r\n"} {
		exchange(t, &text, operators, request)
	}
	watch.line(listJSON(42, false, hostJSON("a", "asleep")))
	eventually(t, "a change is refused", func() bool { return r.Status().RefusedCount == 1 && r.Status().Version == 42 })
	exchange(t, &text, operators, "GET /control/membership HTTP/1.1\r\n")
	golden(t, "serves.golden", text.String())
}

// A watch as its subscriber reads it: the head, the snapshot, deltas with
// settings, and the end in order; and a compressed answer's head.
func TestGoldenWatch(t *testing.T) {
	up := startScripted(t, "127.0.0.1:0", listJSON(41, true, hostJSON("a", "ready"), hostJSON("b", "ready")))
	r, _ := startRelay(t, testConfig(up.address()))
	above := up.watch()
	go above.keepAlive()
	eventually(t, "the list is there", func() bool { s := r.Status(); return s.Version == 41 && s.Upstream != "" })
	conn, err := net.Dial("tcp", r.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(generous))
	io.WriteString(conn, "GET /v1/servers?watch=1&after=0&name=d1 HTTP/1.1\r\nHost: h\r\n\r\n")
	in := bufio.NewReader(conn)
	var text strings.Builder
	chunks := func(until string) { // blank ones come at any time
		t.Helper()
		for {
			size, err := in.ReadString('\n')
			if err != nil {
				t.Fatal(err)
			}
			var n int
			if _, err := fmt.Sscanf(size, "%x", &n); err != nil {
				t.Fatalf("%q: %v", size, err)
			}
			body := make([]byte, n+2)
			if _, err := io.ReadFull(in, body); err != nil {
				t.Fatal(err)
			}
			if n != 1 {
				text.WriteString(size + string(body))
			}
			if n == 0 || n != 1 && strings.Contains(string(body), until) {
				return
			}
		}
	}
	for line := ""; line != "\r\n"; {
		if line, err = in.ReadString('\n'); err != nil {
			t.Fatal(err)
		}
		text.WriteString(masked(line))
	}
	chunks(`"seq":41`)
	above.line(listJSON(42, false, hostJSON("b", "draining")))
	chunks(`"seq":42`)
	above.line(strings.TrimSuffix(listJSON(43, false, hostJSON("b", "gone")), "}") + `,"settings":[{"key":"limits.x","value":3},{"key":"y","value":null}]}`)
	chunks(`"seq":43`)
	go r.Close()
	chunks("never")
	golden(t, "watch.golden", text.String())
}

func TestGoldenCompressed(t *testing.T) {
	up := startScripted(t, "127.0.0.1:0", listJSON(41, true, hostJSON("a", "ready"), hostJSON(strings.Repeat("long", 200), "ready")))
	r, _ := startRelay(t, testConfig(up.address()))
	go up.watch().keepAlive()
	eventually(t, "the list is there", r.has(41))
	request, _ := http.NewRequest(http.MethodGet, "http://"+r.Addr().String()+"/v1/servers?after=0", nil)
	request.Header.Set("Accept-Encoding", "gzip")
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if got := response.Header.Get("Content-Encoding") + ", " + response.Header.Get("Content-Type"); got != "gzip, application/json" {
		t.Errorf("%s", got)
	}
}

// What a relay asks of its upstream, byte for byte: the first snapshot, what had
// changed before it, the watch and the acknowledgement.
func TestGoldenAsks(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	requests := make(chan string, 100)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerAsks(conn, requests)
		}
	}()
	startRelay(t, testConfig(listener.Addr().String()))
	var text strings.Builder
	for range 4 {
		select {
		case request := <-requests:
			text.WriteString(masked(request))
		case <-time.After(generous):
			t.Fatalf("no more calls than\n%s", text.String())
		}
	}
	golden(t, "asks.golden", text.String())
}

// answerAsks answers a relay's calls on a connection and hands on their bytes.
func answerAsks(conn net.Conn, requests chan<- string) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		var head strings.Builder
		for !strings.HasSuffix(head.String(), "\r\n\r\n") {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			head.WriteString(line)
		}
		requests <- head.String()
		if strings.Contains(head.String(), "watch=1") {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			go (&scriptedWatch{conn: conn}).keepAlive()
			continue
		}
		body := listJSON(5041, !strings.Contains(head.String(), "after=5041"), hostJSON("a", "ready"))
		if strings.Contains(head.String(), "after=3041") {
			body = listJSON(5041, false, hostJSON("a", "ready"))
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// The form of the relays' names in the Via header.
func TestGoldenVia(t *testing.T) {
	if got := formatVia([]string{"relay-a", "relay-b"}); got != "1.1 relay-a, 1.1 relay-b" {
		t.Errorf("%s", got)
	}
	if got := formatVersion(membership.Version(1 << 40)); got != "1099511627776" {
		t.Errorf("%s", got)
	}
}
