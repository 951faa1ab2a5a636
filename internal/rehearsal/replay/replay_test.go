package replay

import (
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/recording"
	"hollyyoke.example/hollyyoke/internal/rehearsal/recording/recordingpb"
)

// alternatingEntries returns a recording of count entries that are interval apart. They alternate between
// the class status-check, which may be retried, and the class renewal, which must not be.
func alternatingEntries(t *testing.T, count int, interval time.Duration) *recording.Reader {
	t.Helper()
	var file bytes.Buffer
	writer, err := recording.NewWriter(&file, &recordingpb.Header{
		Version: recording.Version,
		Classes: []*recordingpb.Class{{Name: "status-check", Retryable: true}, {Name: "renewal"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	for i := range count {
		entry := recording.Entry{
			Arrival:   time.Duration(i) * interval,
			Class:     i % 2,
			Key:       uint64(i + 1),
			Timeout:   time.Second,
			Slots:     1,
			BodyBytes: i % 3,
		}
		if err := writer.Add(&entry); err != nil {
			t.Fatal(err)
		}
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	reader, err := recording.NewReader(&file)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(reader.Close)
	return reader
}

// startServer starts an HTTP server and returns its host:port. The server reads each request, calls handle
// and then answers with status 200.
func startServer(t *testing.T, handle func()) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		io.Copy(io.Discard, request.Body)
		handle()
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// stall delays its callers until duration after the first call to wait.
type stall struct {
	duration time.Duration
	once     sync.Once
	end      time.Time
}

func (s *stall) wait() {
	s.once.Do(func() { s.end = time.Now().Add(s.duration) })
	time.Sleep(time.Until(s.end))
}

// A stall of the server does not delay the sending. It shows in the latency, since requests that are due
// during the stall wait until its end.
func TestStallShowsInLatency(t *testing.T) {
	const (
		count         = 400
		interval      = 5 * time.Millisecond
		stallDuration = 600 * time.Millisecond
	)
	serverStall := stall{duration: stallDuration}
	target := startServer(t, serverStall.wait)
	options := Options{Target: target, Verified: func() bool { return true }}
	result, err := Run(context.Background(), alternatingEntries(t, count, interval), options)
	if err != nil {
		t.Fatal(err)
	}
	served := result.Sum(func(t *Tally) int { return t.Served })
	if served != count || result.Violated() {
		t.Fatalf("%d of %d served: %+v", served, count, result)
	}
	// 120 of the 400 requests are due during the stall. The k-th of them waits for
	// stallDuration - k*interval. Of each class's 200 requests, 60 wait, and 30 of these wait for
	// more than half of the stall, so that the 85th percentile is 300 ms.
	stallUs := float64(stallDuration.Microseconds())
	want := stallUs * (1 - 0.5)
	for name, tally := range result.Classes {
		got := float64(tally.latencyFromDue.ValueAtQuantile(85))
		if math.Abs(got-want) > 0.2*stallUs {
			t.Errorf("%s: 85th percentile %.0f us, want about %.0f", name, got, want)
		}
		if tally.Intended.Max < stallDuration.Microseconds()*9/10 {
			t.Errorf("%s: the longest latency is %d us, with a stall of %.0f us", name, tally.Intended.Max, stallUs)
		}
	}
	if sent := result.Seconds[0].Replayed; sent < 150 {
		t.Errorf("%d of 200 were sent in the first second: the stall delayed the sending", sent)
	}
}

// Without Options.Verified, no job that must not be retried is sent.
func TestWithholdsWithoutVerification(t *testing.T) {
	target := startServer(t, func() {})
	result, err := Run(context.Background(), alternatingEntries(t, 40, time.Millisecond), Options{Target: target})
	if err != nil {
		t.Fatal(err)
	}
	renewals := result.Classes["renewal"]
	if renewals.Sent != 0 || renewals.Withheld != 20 {
		t.Errorf("%d renewals sent and %d withheld, want 0 and 20", renewals.Sent, renewals.Withheld)
	}
	if served := result.Classes["status-check"].Served; served != 20 {
		t.Errorf("%d status checks served, want 20", served)
	}
}

// As soon as Options.Verified reports false, no further job that must not be retried is sent. Withheld
// entries are not compared in Fidelity.
func TestWithholdsOnceVerificationFails(t *testing.T) {
	const verifiedSends = 7
	target := startServer(t, func() {})
	verifications := 0
	verified := func() bool {
		verifications++
		return verifications <= verifiedSends
	}
	result, err := Run(context.Background(), alternatingEntries(t, 40, time.Millisecond), Options{Target: target, Verified: verified})
	if err != nil {
		t.Fatal(err)
	}
	renewals := result.Classes["renewal"]
	if renewals.Sent != verifiedSends || renewals.Withheld != 13 {
		t.Errorf("%d renewals sent and %d withheld, want %d and 13", renewals.Sent, renewals.Withheld, verifiedSends)
	}
	if compared := result.Fidelity.Compared; compared != 27 {
		t.Errorf("%d entries compared, want the 27 that were sent", compared)
	}
}

// answerOnce answers the first request on a connection, and closes the connection when it receives the
// second one.
func answerOnce(conn net.Conn) {
	defer conn.Close()
	buffer := make([]byte, 4096)
	if received, _ := conn.Read(buffer); received == 0 {
		return
	}
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	conn.Read(buffer)
}

// If a reused connection closes before the answer, the request is sent once more, and only once.
func TestRetriesOnce(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerOnce(conn)
		}
	}()
	result, err := Run(context.Background(), alternatingEntries(t, 300, 2*time.Millisecond), Options{Target: listener.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	checks := result.Classes["status-check"]
	if checks.Served != 150 || checks.Lost != 0 || checks.Retried == 0 {
		t.Errorf("%d status checks served, %d lost, %d retried; want 150, 0 and some", checks.Served, checks.Lost, checks.Retried)
	}
}
