package relay

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/membership"
)

// While one subscriber does not read, 50 others are sent every change, and nothing
// is queued for the slow one.
func TestSlowReader(t *testing.T) {
	const (
		changes   = 40
		maxGrowth = 2 << 20 // of the heap, in bytes
	)
	upstream := startScriptedUpstream(t, "127.0.0.1:0", changeJSON(1, true, workerJSON("x", "ready")))
	config := testConfig(upstream.address())
	config.WriteTimeoutMs = 60_000 // the slow one stays connected while memory is measured
	running, _ := startRelay(t, config)
	eventually(t, "snapshot", running.hasVersion(1))
	fast := make([]*subscriber, 50)
	for i := range fast {
		fast[i] = subscribe(t, running.Addr().String(), fmt.Sprintf("fast-%d", i))
	}
	slow := dialSlowReader(t, running.Addr().String())
	eventually(t, "all watch", func() bool { return running.Status().Watches == 51 })
	for _, s := range fast {
		eventually(t, "snapshot", s.hasVersion(1))
	}
	upstreamWatch := upstream.awaitWatch()
	before := heapBytes()
	for i := range changes {
		upstreamWatch.sendLine(changeJSON(i+2, false, largeWorker(), workerJSON(fmt.Sprintf("once-%d", i), "ready")))
		for _, s := range fast {
			eventually(t, "change at a fast subscriber", s.hasVersion(int64(i+2)))
		}
	}
	for _, s := range fast {
		if workers, opened, _ := s.counts(); workers != 2+changes || opened != 1 {
			t.Errorf("%d workers by %d watches", workers, opened)
		}
		s.dropLines()
	}
	if status := running.Status(); status.Watches != 51 {
		t.Errorf("%d watches", status.Watches)
	}
	grown := heapBytes() - before
	t.Log(grown, "bytes more on the heap")
	if grown > maxGrowth { // the changes are 3.2 MB, of which the kernel buffers 0.8 MB
		t.Errorf("%d bytes more on the heap", grown)
	}
	if line := getLine(t, running.Addr().String(), "after=1&name=slow"); line.Version != 1 || len(line.Workers) != 0 {
		t.Error("a single call is answered with changes that the watch is delivering")
	}
	slow.Close()
	eventually(t, "the slow subscriber is removed", func() bool { return running.Status().Watches == 50 })
}

// A subscriber that does not read is disconnected at the write timeout.
func TestSlowReaderIsDisconnected(t *testing.T) {
	upstream := startScriptedUpstream(t, "127.0.0.1:0", changeJSON(1, true, workerJSON("x", "ready")))
	config := testConfig(upstream.address())
	config.WriteTimeoutMs = 50
	running, _ := startRelay(t, config)
	eventually(t, "snapshot", running.hasVersion(1))
	slow := dialSlowReader(t, running.Addr().String())
	eventually(t, "it watches", func() bool { return running.Status().Watches == 1 })
	upstreamWatch := upstream.awaitWatch()
	for i := 2; running.Status().Watches == 1; i++ {
		if i > 10_000 {
			t.Fatal("never disconnected")
		}
		upstreamWatch.sendLine(changeJSON(i, false, largeWorker()))
		eventually(t, "change", running.hasVersion(membership.Version(i)))
	}
	slow.SetReadDeadline(time.Now().Add(testTimeout))
	text, err := io.ReadAll(slow)
	if err == nil && bytes.HasSuffix(text, []byte("\r\n0\r\n\r\n")) {
		t.Error("the aborted response looks complete")
	}
}

// dialSlowReader opens a watch that nothing reads from, and returns its connection.
func dialSlowReader(t *testing.T, address string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	slow := conn.(*net.TCPConn)
	slow.SetReadBuffer(128 << 10) // a smaller window takes long to reopen
	t.Cleanup(func() { slow.Close() })
	fmt.Fprintf(slow, "GET /v1/servers?watch=1&after=1&name=slow HTTP/1.1\r\nHost: relay\r\n\r\n")
	return slow
}

// largeWorker returns a worker of 80 KB in its wire form. It is the same one each time.
func largeWorker() string {
	return fmt.Sprintf(`{"host":"large","dial":"10.0.0.1:80","health":"ready","class":%q}`, strings.Repeat("x", 80_000))
}

// heapBytes returns how many bytes the live objects on the heap take.
func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// dropLines drops the recorded lines, so that they do not count in a measurement of the heap.
func (s *subscriber) dropLines() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = nil
}
