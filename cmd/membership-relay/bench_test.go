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

// BenchmarkRelay measures a relay's process from outside: the cost of a change of
// one worker in a list of 21,000, by the number of subscribers, and the peak
// resident memory.
func BenchmarkRelay(b *testing.B) {
	for _, subscribers := range []int{13, 130, 1300} {
		b.Run(strconv.Itoa(subscribers), func(b *testing.B) { benchmarkRelay(b, subscribers) })
	}
}

// benchmarkWorkers returns a list of the size of the fleet, whose names sort in another order.
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

// benchmarkRelay measures a relay with a number of subscribers.
func benchmarkRelay(b *testing.B, subscribers int) {
	workers := benchmarkWorkers()
	origin := startDiscovery(b)
	origin.Set(workers...)
	p := startRelay(b, optionsText(origin.Addr))
	eventually(b, "snapshot", func() bool { return p.status().Version == 1 })
	arrived := make(chan struct{}, subscribers)
	for i := range subscribers {
		followChanges(b, p.address, i, arrived)
	}
	before := p.status()
	used := processCPUTime(b, p.command.Process.Pid)
	b.ResetTimer()
	for i := range b.N {
		workers[0].BornMs = int64(i)
		origin.Set(workers[0])
		for range subscribers {
			<-arrived
		}
	}
	b.StopTimer()
	used = processCPUTime(b, p.command.Process.Pid) - used
	after := p.status()
	b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu-µs/change")
	b.ReportMetric(float64(after.SentBytes-before.SentBytes)/float64(b.N*subscribers), "B/change/subscriber")
	b.ReportMetric(peakMemoryBytes(b, p.command.Process.Pid)/1e6, "peak-MB")
}

// followChanges opens the watch of a dispatcher that has just started, and signals
// each change that it brings.
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
	if err := nextLine(); err != nil { // the first one is empty
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
	_, rest, _ := strings.Cut(string(text), ") ") // after the name
	fields := strings.Fields(rest)
	const (
		userField   = 11 // of the fields after the name, see proc_pid_stat(5)
		systemField = 12
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

// peakMemoryBytes returns the maximum resident memory of a process.
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
