package relay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"testing"
	"time"
)

// generous is how long a condition may take; no verdict depends on less.
const generous = 60 * time.Second

// eventually waits for a condition.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(generous); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

// logText collects a log.
type logText struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logText) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logText) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// testConfig is a relay's configuration on a port that the kernel chooses.
func testConfig(upstreams ...string) Config {
	config := Defaults()
	config.Name, config.Zone, config.Listen, config.Upstreams = "relay-test", "a", "127.0.0.1:0", upstreams
	config.BatchMs, config.UrgentBatchMs = 5, 5
	config.BytesPerS = 1e9
	config.StaleAfterMs = 60_000
	return config
}

// startRelay starts a relay that ends with the test.
func startRelay(t testing.TB, config Config) (*Relay, *logText) {
	t.Helper()
	text := &logText{}
	r, err := Start(config, slog.New(slog.NewTextHandler(text, nil)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Close() })
	return r, text
}

// testHost is a host as a subscriber reads it.
type testHost struct {
	Host   string `json:"host"`
	Health string `json:"health"`
	BornMs int64  `json:"born_ms"`
}

// testLine is a line as a subscriber reads it.
type testLine struct {
	Seq   int64      `json:"seq"`
	Whole bool       `json:"whole"`
	Hosts []testHost `json:"hosts"`
}

// subscriber is a client as a dispatcher is one: it resumes where it was.
type subscriber struct {
	t       *testing.T
	address string
	name    string

	mu      sync.Mutex
	lines   []testLine // all but empty deltas
	hosts   map[string]testHost
	version int64
	opened  int  // watches that were answered 200
	refused int  // and 503
	cut     bool // the last watch ended inside a line or without its end
	wrong   string
}

// subscribe follows a relay until the test ends.
func subscribe(t *testing.T, address, name string) *subscriber {
	s := &subscriber{t: t, address: address, name: name, hosts: map[string]testHost{}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			s.watch(ctx)
			time.Sleep(5 * time.Millisecond)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		if s.wrong != "" {
			t.Error(s.wrong)
		}
	})
	return s
}

// watch makes one call and takes in its lines.
func (s *subscriber) watch(ctx context.Context) {
	s.mu.Lock()
	url := fmt.Sprintf("http://%s/v1/servers?watch=1&after=%d&name=%s", s.address, s.version, s.name)
	s.mu.Unlock()
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	s.mu.Lock()
	if response.StatusCode != http.StatusOK {
		s.refused++
		s.mu.Unlock()
		return
	}
	s.opened++
	s.mu.Unlock()
	in := bufio.NewReader(response.Body)
	for {
		text, err := in.ReadBytes('\n')
		if err != nil {
			s.mu.Lock()
			s.cut = len(text) > 0 || !errors.Is(err, io.EOF)
			s.mu.Unlock()
			return
		}
		if len(bytes.TrimSpace(text)) > 0 {
			s.take(text)
		}
	}
}

// take applies a line. A line that goes back is a fault.
func (s *subscriber) take(text []byte) {
	var line testLine
	err := json.Unmarshal(text, &line)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil:
		s.wrong = fmt.Sprintf("unreadable line %q: %v", text, err)
		return
	case line.Seq < s.version:
		s.wrong = fmt.Sprintf("version %d after %d", line.Seq, s.version)
		return
	case line.Seq == s.version && len(line.Hosts) > 0:
		s.wrong = fmt.Sprintf("version %d twice", line.Seq)
		return
	}
	if line.Whole {
		clear(s.hosts)
	}
	for _, host := range line.Hosts {
		if s.hosts[host.Host] = host; host.Health == "gone" {
			delete(s.hosts, host.Host)
		}
	}
	if s.version = line.Seq; line.Whole || len(line.Hosts) > 0 {
		s.lines = append(s.lines, line)
	}
}

// at tells whether it has come to a version.
func (s *subscriber) at(version int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version == version
}

// seen are the versions of the lines that held something.
func (s *subscriber) seen() (versions []int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, line := range s.lines {
		versions = append(versions, line.Seq)
	}
	return versions
}

// last is the newest line that held something.
func (s *subscriber) last() testLine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lines[len(s.lines)-1]
}

func (s *subscriber) health(host string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts[host].Health
}

func (s *subscriber) counts() (hosts, opened, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.hosts), s.opened, s.refused
}

// get makes a plain call and returns its status and body.
func get(t *testing.T, address, query string) (int, []byte) {
	t.Helper()
	response, err := http.Get("http://" + address + "/v1/servers?" + query)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, body
}

// getLine makes a plain call that must be answered.
func getLine(t *testing.T, address, query string) testLine {
	t.Helper()
	status, body := get(t, address, query)
	var line testLine
	if err := json.Unmarshal(body, &line); status != http.StatusOK || err != nil {
		t.Fatalf("%s: status %d, %v: %.200s", query, status, err, body)
	}
	return line
}
