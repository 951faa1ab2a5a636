package relay

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"
)

// BenchmarkFanOut is what a change of one worker costs a relay with a list of
// 21,000, by the number of its subscribers. The peers run in the same process:
// the figures are upper bounds.
func BenchmarkFanOut(b *testing.B) {
	for _, subscribers := range []int{13, 130, 1300} {
		b.Run(strconv.Itoa(subscribers), func(b *testing.B) { benchmarkFanOut(b, subscribers) })
	}
}

func benchmarkFanOut(b *testing.B, subscribers int) {
	hosts := make([]string, 21_000)
	for i := range hosts {
		hosts[i] = hostJSON(fmt.Sprintf("s-%05d", i), "ready")
	}
	u := startScripted(b, "127.0.0.1:0", listJSON(1, true, hosts...))
	config := testConfig(u.address())
	config.BatchMs, config.UrgentBatchMs = 0, 0
	r, _ := startRelay(b, config)
	eventually(b, "snapshot", r.has(1))
	w := <-u.watches
	arrived := make(chan struct{}, subscribers)
	for i := range subscribers {
		conn, err := net.Dial("tcp", r.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { conn.Close() })
		fmt.Fprintf(conn, "GET /v1/servers?watch=1&after=1&name=d%d HTTP/1.1\r\nHost: relay\r\n\r\n", i)
		go countLines(conn, arrived)
		<-arrived // its empty first line
	}
	sent := r.Status().SentBytes
	b.ResetTimer()
	started := processorTime(b)
	for i := range b.N {
		w.line(listJSON(i+2, false, hostJSON("s-00001", "ready")))
		for range subscribers {
			<-arrived
		}
	}
	b.StopTimer()
	changes := float64(b.N)
	b.ReportMetric(float64((processorTime(b)-started).Microseconds())/changes, "cpu-µs/change")
	b.ReportMetric(float64(r.Status().SentBytes-sent)/changes/float64(subscribers), "B/subscriber")
	runtime.GC()
	b.ReportMetric(float64(heap())/1e6, "heap-MB")
}

// countLines tells of each line that holds something.
func countLines(conn net.Conn, arrived chan<- struct{}) {
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if strings.HasPrefix(line, "{") {
			arrived <- struct{}{}
		}
	}
}

// processorTime is what this process has used.
func processorTime(b *testing.B) time.Duration {
	text, err := os.ReadFile(filepath.Join("/proc", "self", "stat"))
	if err != nil {
		b.Skip(err)
	}
	fields := strings.Fields(string(text))
	user, _ := strconv.Atoi(fields[13])
	system, _ := strconv.Atoi(fields[14])
	return time.Duration(user+system) * 10 * time.Millisecond
}
