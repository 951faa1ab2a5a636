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

	"hollyyoke.example/hollyyoke/internal/rehearsal/childprocess"
)

// testTimeout is how long eventually waits for a condition. It is long, since the machine may be loaded.
const testTimeout = 60 * time.Second

// eventually waits until a condition holds, and fails the test if it does not within testTimeout.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	end := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// testConfig returns a configuration with short intervals, practically no rate limit, and a port that the kernel
// chooses.
func testConfig(upstreams ...string) Config {
	config := Defaults()
	config.Name = "relay-test"
	config.Zone = "a"
	config.Listen = "127.0.0.1:0"
	config.Upstreams = upstreams
	config.BatchMs = 5
	config.UrgentBatchMs = 5
	config.BytesPerS = 1e9
	config.StaleAfterMs = 60_000
	return config
}

// startRelay starts a relay, which is closed at the end of the test, and returns it with its log.
func startRelay(t testing.TB, config Config) (*Relay, *childprocess.Output) {
	t.Helper()
	log := &childprocess.Output{}
	running, err := Start(config, slog.New(slog.NewTextHandler(log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { running.Close() })
	return running, log
}

// testWorker is a listed worker as a subscriber reads it.
type testWorker struct {
	Name      string `json:"host"`
	Health    string `json:"health"`
	StartedMs int64  `json:"born_ms"`
}

// testLine is a line as a subscriber reads it.
type testLine struct {
	Version  int64        `json:"seq"`
	Snapshot bool         `json:"whole"`
	Workers  []testWorker `json:"hosts"`
}

// subscriber is a client that resumes from its last version, as a dispatcher does.
type subscriber struct {
	t       *testing.T
	address string
	name    string

	mu       sync.Mutex
	lines    []testLine // all but empty deltas
	workers  map[string]testWorker
	version  int64
	opened   int    // watches that were answered with status 200
	rejected int    // watches that were answered with another status
	cut      bool   // the last watch ended inside a line or without a final chunk
	failure  string // what was wrong with a line; empty if nothing was
}

// subscribe follows a relay until the test ends.
func subscribe(t *testing.T, address, name string) *subscriber {
	s := &subscriber{t: t, address: address, name: name, workers: map[string]testWorker{}}
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
		if s.failure != "" {
			t.Error(s.failure)
		}
	})
	return s
}

// watch opens one watch and applies its lines.
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
		s.rejected++
		s.mu.Unlock()
		return
	}
	s.opened++
	s.mu.Unlock()
	s.readLines(response.Body)
}

// readLines applies the lines of a watch until it ends.
func (s *subscriber) readLines(body io.Reader) {
	in := bufio.NewReader(body)
	for {
		text, err := in.ReadBytes('\n')
		if err != nil {
			s.mu.Lock()
			s.cut = len(text) > 0 || !errors.Is(err, io.EOF)
			s.mu.Unlock()
			return
		}
		if len(bytes.TrimSpace(text)) > 0 {
			s.applyLine(text)
		}
	}
}

// applyLine applies a line. A version that goes back or is repeated is a failure.
func (s *subscriber) applyLine(text []byte) {
	var line testLine
	err := json.Unmarshal(text, &line)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil:
		s.failure = fmt.Sprintf("unreadable line %q: %v", text, err)
		return
	case line.Version < s.version:
		s.failure = fmt.Sprintf("version %d after %d", line.Version, s.version)
		return
	case line.Version == s.version && len(line.Workers) > 0:
		s.failure = fmt.Sprintf("version %d repeated", line.Version)
		return
	}
	if line.Snapshot {
		clear(s.workers)
	}
	for _, worker := range line.Workers {
		if worker.Health == "gone" {
			delete(s.workers, worker.Name)
		} else {
			s.workers[worker.Name] = worker
		}
	}
	s.version = line.Version
	if line.Snapshot || len(line.Workers) > 0 {
		s.lines = append(s.lines, line)
	}
}

// hasVersion returns the condition that the subscriber has exactly a version.
func (s *subscriber) hasVersion(version int64) func() bool {
	return func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.version == version
	}
}

// wasRejected reports whether a watch was rejected.
func (s *subscriber) wasRejected() bool {
	_, _, rejected := s.counts()
	return rejected > 0
}

// seenVersions returns the versions of the lines that were not empty.
func (s *subscriber) seenVersions() (versions []int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, line := range s.lines {
		versions = append(versions, line.Version)
	}
	return versions
}

// lastLine returns the newest line that was not empty.
func (s *subscriber) lastLine() testLine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lines[len(s.lines)-1]
}

// health returns the health of a worker, or an empty string if it is not listed.
func (s *subscriber) health(worker string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[worker].Health
}

// counts returns how many workers are listed, and how many watches were opened and
// rejected.
func (s *subscriber) counts() (workers, opened, rejected int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.workers), s.opened, s.rejected
}

// get makes a single call and returns the status and body of the response.
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

// getLine makes a single call, which must succeed, and returns the line in the response.
func getLine(t *testing.T, address, query string) testLine {
	t.Helper()
	status, body := get(t, address, query)
	var line testLine
	if err := json.Unmarshal(body, &line); status != http.StatusOK || err != nil {
		t.Fatalf("%s: status %d, %v: %.200s", query, status, err, body)
	}
	return line
}
