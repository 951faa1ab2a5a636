package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/standin"
)

// BenchmarkRelay measures a relay in its own process, for different numbers of
// subscribers: the CPU time and the bytes sent for each change of one worker in a list of
// 21,000, and the peak resident memory.
func BenchmarkRelay(b *testing.B) {
	for _, subscribers := range []int{13, 130, 1300} {
		b.Run(strconv.Itoa(subscribers), func(b *testing.B) { benchmarkRelay(b, subscribers) })
	}
}

// benchmarkWorkers returns a list of 21,000 workers, the size of the fleet. The order of the list is not the order of
// the names.
func benchmarkWorkers() []standin.Host {
	workers := make([]standin.Host, 21_000)
	for i := range workers {
		workers[i] = standin.Host{
			Host:   fmt.Sprintf("s-%08x", i*0x9e3779b1),
			Dial:   fmt.Sprintf("10.%d.%d.1:8080", i/250, i%250),
			Site:   "a",
			Class:  "m2",
			Block:  i / 40,
			Health: "ready",
			Share:  1,
			BornMs: 1_700_000_000_000 + int64(i)*977,
		}
	}
	return workers
}

// benchmarkRelay runs the benchmark with one number of subscribers.
func benchmarkRelay(b *testing.B, subscribers int) {
	workers := benchmarkWorkers()
	origin := startDiscovery(b)
	origin.Set(workers...)
	p := startRelay(b, optionsText(origin.Addr))
	waitUntil(b, "snapshot", func() bool { return p.status().Version == 1 })
	arrived := make(chan struct{}, subscribers)
	for i := range subscribers {
		followChanges(b, p.address, i, arrived)
	}
	statusBefore := p.status()
	cpuTime := processCPUTime(b, p.command.Process.Pid)
	b.ResetTimer()
	for i := range b.N {
		workers[0].BornMs = int64(i)
		origin.Set(workers[0])
		for range subscribers {
			<-arrived
		}
	}
	b.StopTimer()
	cpuTime = processCPUTime(b, p.command.Process.Pid) - cpuTime
	statusAfter := p.status()
	b.ReportMetric(float64(cpuTime.Microseconds())/float64(b.N), "cpu-µs/change")
	b.ReportMetric(float64(statusAfter.SentBytes-statusBefore.SentBytes)/float64(b.N*subscribers), "B/change/subscriber")
	b.ReportMetric(peakMemoryBytes(b, p.command.Process.Pid)/1e6, "peak-MB")
}

// followChanges opens a watch as a dispatcher does after its start, and sends a value to
// arrived for each change that it receives.
func followChanges(b *testing.B, address string, number int, arrived chan<- struct{}) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { conn.Close() })
	fmt.Fprintf(conn, "GET /v1/servers?watch=1&after=1&name=d%d HTTP/1.1\r\nHost: relay\r\n\r\n", number)
	in := bufio.NewReader(conn)
	nextLine := func() error {
		for {
			line, err := in.ReadString('\n')
			if err != nil || strings.HasPrefix(line, "{") {
				return err
			}
		}
	}
	if err := nextLine(); err != nil { // the first line has no changes
		b.Fatal(err)
	}
	go func() {
		for nextLine() == nil {
			arrived <- struct{}{}
		}
	}()
}

// processCPUTime returns the CPU time that a process has used.
func processCPUTime(b *testing.B, pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Skip(err)
	}
	_, rest, _ := strings.Cut(string(text), ") ") // the fields after the process name
	fields := strings.Fields(rest)
	const (
		userField   = 11 // index of utime in rest, see proc_pid_stat(5)
		systemField = 12 // index of stime
		tick        = 10 * time.Millisecond
	)
	ticks := 0
	for _, field := range []int{userField, systemField} {
		n, err := strconv.Atoi(fields[field])
		if err != nil {
			b.Fatal(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * tick
}

// peakMemoryBytes returns the peak resident memory of a process.
func peakMemoryBytes(b *testing.B, pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		b.Skip(err)
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	kibibytes, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	if err != nil {
		b.Fatal(err)
	}
	return kibibytes * 1024
}
