package relay

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"hollyyoke.example/hollyyoke/internal/membership"
)

// When 200 subscribers start at once, the snapshot is encoded and compressed once for all of them.
func TestManySubscribersStartAtOnce(t *testing.T) {
	const (
		workers  = 21_000
		starting = 200
	)
	origin := startDiscovery(t, workers)
	running, _ := startRelay(t, testConfig(origin.Addr))
	eventually(t, "snapshot", running.hasVersion(1))
	bodies := make(chan []byte, starting)
	start := make(chan struct{})
	for i := range starting {
		go func() {
			<-start
			bodies <- getGzip(t, running.Addr().String(), fmt.Sprintf("after=0&name=d%d", i))
		}()
	}
	close(start)
	first := <-bodies
	for range starting - 1 {
		if body := <-bodies; !bytes.Equal(body, first) {
			t.Fatal("the responses differ")
		}
	}
	if status := running.Status(); status.EncodedSnapshots != 1 || status.CompressedSnapshots != 1 {
		t.Errorf("encoded %d times, compressed %d times", status.EncodedSnapshots, status.CompressedSnapshots)
	}
	eventually(t, "all are counted", func() bool { return running.Status().SentSnapshots == starting })
	uncompressed, err := gzip.NewReader(bytes.NewReader(first))
	if err != nil {
		t.Fatal(err)
	}
	var line testLine
	err = json.NewDecoder(uncompressed).Decode(&line)
	if err != nil || !line.Snapshot || len(line.Workers) != workers {
		t.Errorf("%v: snapshot %v, %d workers", err, line.Snapshot, len(line.Workers))
	}
}

// getGzip makes a single call and returns its compressed body.
func getGzip(t *testing.T, address, query string) []byte {
	request, _ := http.NewRequest(http.MethodGet, "http://"+address+"/v1/servers?"+query, nil)
	request.Header.Set("Accept-Encoding", "gzip")
	response, err := (&http.Transport{DisableCompression: true, DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		t.Error(err)
		return nil
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	coding := response.Header.Get("Content-Encoding")
	if err != nil || coding != "gzip" || response.ContentLength != int64(len(body)) {
		t.Errorf("%v: encoding %q, length %d of %d", err, coding, len(body), response.ContentLength)
	}
	return body
}

// Watches beyond their limit, and callers with new names beyond the limit of names, are rejected.
func TestSubscriberLimits(t *testing.T) {
	origin := startDiscovery(t, 1)
	config := testConfig(origin.Addr)
	config.MaxSubscribers = 2
	running, _ := startRelay(t, config)
	eventually(t, "snapshot", running.hasVersion(1))
	address := running.Addr().String()
	subscribe(t, address, "d1")
	subscribe(t, address, "d2")
	eventually(t, "two watches", func() bool { return running.Status().Watches == 2 })
	third := subscribe(t, address, "d3")
	eventually(t, "the third is rejected", third.wasRejected)
	for _, name := range []string{"d1", "d2", "d4", "d5", "d6", "d7", "d8"} {
		getLine(t, address, "after=1&name="+name)
	}
	if status, _ := get(t, address, "after=1&name=d9"); status != http.StatusServiceUnavailable {
		t.Errorf("a name beyond the limit: status %d", status)
	}
}

// Requests with invalid parameters or another method are answered with the corresponding status, even if no more watches
// are accepted. They do not count towards the limit of names.
func TestInvalidRequests(t *testing.T) {
	origin := startDiscovery(t, 1)
	config := testConfig(origin.Addr)
	config.MaxSubscribers = 2
	running, _ := startRelay(t, config)
	eventually(t, "snapshot", running.hasVersion(1))
	address := running.Addr().String()
	subscribe(t, address, "d1")
	subscribe(t, address, "d2")
	eventually(t, "two watches", func() bool { return running.Status().Watches == 2 })
	for query, want := range map[string]int{
		"after=x":          http.StatusBadRequest,
		"after=-1":         http.StatusBadRequest,
		"fleet=9999999999": http.StatusBadRequest,
		"name=%01":         http.StatusBadRequest,
		"name=" + strings.Repeat("n", maxNameBytes+1): http.StatusBadRequest,
		"name=" + strings.Repeat("n", 32<<10):         http.StatusRequestHeaderFieldsTooLarge,
	} {
		if status, _ := get(t, address, query); status != want {
			t.Errorf("%.30s: status %d, not %d", query, status, want)
		}
	}
	response, err := http.Post("http://"+address+"/v1/servers", "text/plain", strings.NewReader("x"))
	if err != nil || response.StatusCode != http.StatusMethodNotAllowed {
		t.Errorf("POST: %v %v", response, err)
	}
	response.Body.Close()
	for _, name := range []string{"d1", "d2", "d3", "d4", "d5", "d6", "d7", "d8"} { // as many names as the limit allows
		getLine(t, address, "after=1&name="+name)
	}
}

// gzipCaller is a caller at version 1 that accepts gzip in its single calls.
type gzipCaller struct {
	t       *testing.T
	address string // of the relay
}

// call makes a single call and returns the response.
func (c gzipCaller) call() *http.Response {
	c.t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+c.address+"/v1/servers?after=1&name=fetches", nil)
	if err != nil {
		c.t.Fatal(err)
	}
	request.Header.Set("Accept-Encoding", "gzip")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { response.Body.Close() })
	return response
}

// watch opens a watch and returns a reader of its lines.
func (c gzipCaller) watch() *bufio.Reader {
	c.t.Helper()
	response, err := http.Get("http://" + c.address + "/v1/servers?watch=1&after=1&name=fetches")
	if err != nil || response.StatusCode != http.StatusOK {
		c.t.Fatalf("%v, %v", response, err)
	}
	c.t.Cleanup(func() { response.Body.Close() })
	return bufio.NewReader(response.Body)
}

// When a long delta is due, the watch of a caller that accepts gzip is ended, once
// for a version, and the caller's next call is answered with the delta compressed.
// Other callers are sent the delta on the watch.
func TestLongDeltaIsFetchedCompressed(t *testing.T) {
	upstream := startScriptedUpstream(t, "127.0.0.1:0", changeJSON(1, true, workerJSON("first", "ready")))
	running, _ := startRelay(t, testConfig(upstream.address()))
	withoutGzip := subscribe(t, running.Addr().String(), "plain")
	eventually(t, "the first snapshot", withoutGzip.hasVersion(1))
	caller := gzipCaller{t, running.Addr().String()}
	if coding := caller.call().Header.Get("Content-Encoding"); coding != "" {
		t.Errorf("an empty delta is encoded: %q", coding)
	}
	before := caller.watch()
	if line, err := before.ReadString('\n'); err != nil || !strings.Contains(line, `"seq":1`) {
		t.Fatalf("%q, %v", line, err)
	}
	workers := make([]string, 200)
	for i := range workers {
		workers[i] = workerJSON(fmt.Sprintf("s-%d", i), "ready")
	}
	upstream.awaitWatch().sendLine(changeJSON(2, false, workers...))
	if rest, err := io.ReadAll(before); err != nil || len(bytes.TrimSpace(rest)) > 0 {
		t.Errorf("the watch does not end completely: %q, %v", rest, err)
	}
	answer := caller.call()
	uncompressed, err := gzip.NewReader(answer.Body)
	if err != nil || answer.ContentLength > maxPushedBytes/2 {
		t.Fatalf("%v, %d bytes", err, answer.ContentLength)
	}
	var line testLine
	err = json.NewDecoder(uncompressed).Decode(&line)
	if err != nil || line.Version != 2 || line.Snapshot || len(line.Workers) != len(workers) {
		t.Errorf("%v, version %d, %d workers; want a delta of version 2 with %d",
			err, line.Version, len(line.Workers), len(workers))
	}
	text, err := caller.watch().ReadString('\n') // its watch is not ended a second time at version 1
	if err != nil || !strings.Contains(text, `"s-199"`) {
		t.Errorf("%.40q, %v", text, err)
	}
	eventually(t, "the delta on a watch", withoutGzip.hasVersion(2))
	if _, opened, _ := withoutGzip.counts(); opened != 1 {
		t.Errorf("%d watches of a caller that does not accept gzip", opened)
	}
}

// The change of a draining worker is sent at once even if the rate limit is
// exhausted, together with the changes that wait.
func TestDrainingIsSentBeyondTheRateLimit(t *testing.T) {
	workers := make([]string, 5000)
	for i := range workers {
		workers[i] = workerJSON(fmt.Sprintf("s-%d", i), "ready")
	}
	snapshot := changeJSON(1, true, workers...) // 500 KB, which exceeds a minute's budget even when compressed
	upstream := startScriptedUpstream(t, "127.0.0.1:0", snapshot)
	config := testConfig(upstream.address())
	config.BytesPerS = 100
	running, _ := startRelay(t, config)
	client := subscribe(t, running.Addr().String(), "d1")
	eventually(t, "snapshot", client.hasVersion(1))
	getLine(t, running.Addr().String(), "after=0&name=polls")
	eventually(t, "its budget is exhausted", func() bool { return running.Status().SentSnapshots == 2 })
	upstreamWatch := upstream.awaitWatch()
	upstreamWatch.sendLine(changeJSON(1, false))
	upstreamWatch.sendLine(changeJSON(2, false, workerJSON("new", "ready")))
	eventually(t, "a change that waits", running.hasVersion(2))
	for _, name := range []string{"d1", "polls"} {
		line := getLine(t, running.Addr().String(), "after=1&name="+name)
		if line.Version != 1 || line.Snapshot || len(line.Workers) != 0 {
			t.Errorf("a single call of %s bypassed the rate limit: %+v", name, line)
		}
	}
	upstreamWatch.sendLine(changeJSON(3, false, workerJSON("s-7", "draining")))
	eventually(t, "the draining worker", client.hasVersion(3))
	if seen := client.seenVersions(); !slices.Equal(seen, []int64{1, 3}) {
		t.Errorf("versions seen: %v", seen)
	}
	if line := getLine(t, running.Addr().String(), "after=1&name=polls"); line.Version != 3 || len(line.Workers) != 2 {
		t.Errorf("a single call of polls: %+v", line)
	}
	if client.health("s-7") != "draining" || client.health("new") != "ready" {
		t.Errorf("s-7 %q, new %q", client.health("s-7"), client.health("new"))
	}
}

// A subscriber that missed more changes than the log holds is sent a snapshot, and then deltas.
func TestSubscriberAwayLongerThanTheLog(t *testing.T) {
	origin := startDiscovery(t, 20)
	config := testConfig(origin.Addr)
	config.LogChanges = 10
	running, _ := startRelay(t, config)
	eventually(t, "snapshot", running.hasVersion(1))
	for i := range 30 { // one at a time, so that each has an entry of its own in the log
		origin.Set(readyWorker(fmt.Sprintf("s-new-%d", i)))
		eventually(t, "change", running.hasVersion(membership.Version(i+2)))
	}
	line := getLine(t, running.Addr().String(), "after=1&name=d1")
	if !line.Snapshot || line.Version != 31 || len(line.Workers) != 50 {
		t.Errorf("since 1: snapshot %v, version %d, %d workers; want a snapshot of version 31 with 50",
			line.Snapshot, line.Version, len(line.Workers))
	}
	line = getLine(t, running.Addr().String(), "after=29&name=d1")
	if line.Snapshot || len(line.Workers) != 2 {
		t.Errorf("since 29: snapshot %v, %d workers; want a delta of 2", line.Snapshot, len(line.Workers))
	}
}
