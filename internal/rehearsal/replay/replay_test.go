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

// testRecording is a recording of n entries that are the given time apart.
func testRecording(t *testing.T, n int, apart time.Duration) *recording.Reader {
	t.Helper()
	var out bytes.Buffer
	w, err := recording.NewWriter(&out, &recordingpb.Header{Version: recording.Version,
		Classes: []*recordingpb.Class{{Name: "status-check", Retryable: true}, {Name: "renewal"}}})
	if err != nil {
		t.Fatal(err)
	}
	for i := range n {
		if err := w.Add(&recording.Entry{Arrival: time.Duration(i) * apart, Class: i % 2, Key: uint64(i + 1), Timeout: time.Second, Slots: 1, BodyBytes: i % 3}); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	r, err := recording.NewReader(&out)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// A stall of the server does not slow the sending down, and shows in the latency: requests that
// are due during the stall wait for the rest of it.
func TestStallShowsInLatency(t *testing.T) {
	const n, apart, stall = 400, 5 * time.Millisecond, 600 * time.Millisecond
	var once sync.Once
	var until time.Time
	var mu sync.Mutex
	srv := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		io.Copy(io.Discard, in.Body)
		once.Do(func() { mu.Lock(); until = time.Now().Add(stall); mu.Unlock() })
		mu.Lock()
		left := time.Until(until)
		mu.Unlock()
		if left > 0 {
			time.Sleep(left)
		}
	}))
	defer srv.Close()
	r, err := Run(context.Background(), testRecording(t, n, apart), Options{Target: strings.TrimPrefix(srv.URL, "http://"), Verified: func() bool { return true }})
	if err != nil {
		t.Fatal(err)
	}
	served := r.Sum(func(t *Tally) int { return t.Served })
	if served != n || r.Violated() {
		t.Fatalf("%d of %d served: %+v", served, n, r)
	}
	// 120 of 400 arrive in the stall; the wait of the k-th is stall - k*apart.
	// Half of a class's 60 wait longer than half of it: 300 ms at the 85th percentile.
	for name, c := range r.Classes {
		want := float64(stall.Microseconds()) * (1 - 0.5)
		if got := float64(c.intended.ValueAtQuantile(85)); math.Abs(got-want) > 0.2*float64(stall.Microseconds()) {
			t.Errorf("%s: 85th percentile %.0f us, the model says %.0f", name, got, want)
		}
		if c.Intended.Max < int64(stall.Microseconds())*9/10 {
			t.Errorf("%s: the longest wait is %d us", name, c.Intended.Max)
		}
	}
	if sent := r.Seconds[0].Replayed; sent < 150 {
		t.Errorf("%d of 200 were sent in the first second: the stall slowed the sending down", sent)
	}
}

// Jobs that must not be retried are not sent without a verification, nor after one has failed.
func TestWithholdsUnverified(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) { io.Copy(io.Discard, in.Body) }))
	defer srv.Close()
	to := strings.TrimPrefix(srv.URL, "http://")
	r, err := Run(context.Background(), testRecording(t, 40, time.Millisecond), Options{Target: to})
	if c := r.Classes["renewal"]; err != nil || c.Sent != 0 || c.Withheld != 20 || r.Classes["status-check"].Served != 20 {
		t.Errorf("%v %+v", err, c)
	}
	asked := 0
	r, err = Run(context.Background(), testRecording(t, 40, time.Millisecond), Options{Target: to, Verified: func() bool { asked++; return asked <= 7 }})
	if c := r.Classes["renewal"]; err != nil || c.Sent != 7 || c.Withheld != 13 || r.Fidelity.Compared != 27 {
		t.Errorf("%v %+v", err, c)
	}
}

// A request on a reused connection that closes is sent once more, not twice.
func TestRetriesOnce(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { // answers one request, and closes the connection on the next
				defer conn.Close()
				buf := make([]byte, 4096)
				if n, _ := conn.Read(buf); n == 0 {
					return
				}
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				conn.Read(buf)
			}()
		}
	}()
	r, err := Run(context.Background(), testRecording(t, 300, 2*time.Millisecond), Options{Target: ln.Addr().String()})
	c := r.Classes["status-check"]
	if err != nil || c.Served != 150 || c.Lost != 0 || c.Retried == 0 {
		t.Errorf("%v %+v", err, c)
	}
}

func TestKolmogorovSmirnov(t *testing.T) {
	for _, c := range []struct {
		a, b []int64
		want float64
	}{{[]int64{1, 2, 3, 4}, []int64{1, 2, 3, 4}, 0}, {[]int64{1, 2}, []int64{3, 4}, 1}, {[]int64{1, 1, 2, 2}, []int64{1, 2, 2, 2}, 0.25}, {nil, nil, 0}} {
		if got := kolmogorovSmirnov(c.a, c.b); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%v %v: %g, want %g", c.a, c.b, got, c.want)
		}
	}
	s := newSeries()
	for i := range 1000 { // a tenth is sent half a second late
		at := time.Duration(i) * 10 * time.Millisecond
		late := time.Duration(0)
		if i%10 == 0 {
			late = 500 * time.Millisecond
		}
		s.add(at, at+late)
	}
	var f Fidelity
	s.finish(&f)
	if f.LatenessMax < 499_000 || f.LatenessP50 > 10 || f.KS < 0.004 || f.MaxSecondError < 0.04 {
		t.Errorf("%+v", f)
	}
}
