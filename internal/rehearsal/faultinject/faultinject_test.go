//go:build linux && amd64

package faultinject

import (
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestMain makes the test binary also the program that runs under a plan, as its environment says.
func TestMain(m *testing.M) {
	switch os.Getenv("FAULTINJECT_RUN") {
	case "read":
		readAll()
	case "clock":
		printClocks()
	}
	os.Exit(m.Run())
}

// readAll reads a connection to its end and prints how many bytes it got, and whether that took many reads.
func readAll() {
	conn, err := net.Dial("tcp", os.Getenv("FAULTINJECT_ADDR"))
	if err != nil {
		fmt.Println("dial:", err)
		os.Exit(0)
	}
	sum, reads := 0, 0
	buffer := make([]byte, 1<<16)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			break
		}
		sum += n
		reads++
	}
	fmt.Printf("%d bytes, %v\n", sum, reads >= 100)
	os.Exit(0)
}

// printClocks prints how far the wall clock and the monotonic clock advance in a third of a second.
func printClocks() {
	start := time.Now()
	time.Sleep(300 * time.Millisecond)
	now := time.Now()
	fmt.Printf("wall %d s, monotonic %d s\n", int(math.Round(now.Round(0).Sub(start.Round(0)).Seconds())), int(math.Round(now.Sub(start).Seconds())))
	os.Exit(0)
}

// run runs the test binary under a plan and returns its output.
func run(t *testing.T, plan Plan, env ...string) (*Process, string) {
	t.Helper()
	out, err := os.Create(filepath.Join(t.TempDir(), "out"))
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), env...)
	command.Stdout, command.Stderr = out, out
	p, err := Start(command, plan)
	if err != nil {
		t.Fatal(err)
	}
	select {
	case <-p.Over():
	case <-time.After(30 * time.Second):
		p.Signal(syscall.SIGKILL)
		t.Fatal("the program does not end")
	}
	if status, err := p.Status(); err != nil || !status.Exited() || status.ExitStatus() != 0 {
		t.Errorf("it ended with %v, %v", status, err)
	}
	text, err := os.ReadFile(out.Name())
	if err != nil {
		t.Fatal(err)
	}
	return p, string(text)
}

// startSender starts a server that sends the given number of bytes on each connection.
func startSender(t *testing.T, bytes int) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			io.WriteString(conn, strings.Repeat("x", bytes))
			conn.Close()
		}
	}()
	return ln.Addr().String()
}

func TestShortReads(t *testing.T) {
	addr := startSender(t, 1000)
	p, text := run(t, Plan{Rules: []Rule{{Call: SocketRead, Probability: 1, Short: 10}}}, "FAULTINJECT_RUN=read", "FAULTINJECT_ADDR="+addr)
	if text != "1000 bytes, true\n" {
		t.Errorf("it prints %q", text)
	}
	if n := p.Struck(SocketRead); n < 100 {
		t.Errorf("%d reads were shortened", n)
	}
}

func TestRuleForOnePeer(t *testing.T) {
	addr := startSender(t, 1000)
	_, text, _ := net.SplitHostPort(addr)
	port, _ := strconv.Atoi(text)
	for _, peer := range []int{port, port + 1} {
		plan := Plan{Rules: []Rule{{Call: SocketRead, Probability: 1, Short: 10, Peer: peer}}}
		p, text := run(t, plan, "FAULTINJECT_RUN=read", "FAULTINJECT_ADDR="+addr)
		if want := fmt.Sprintf("1000 bytes, %v\n", peer == port); text != want || p.Struck(SocketRead) > 0 != (peer == port) {
			t.Errorf("it prints %q, %d reads were shortened", text, p.Struck(SocketRead))
		}
	}
}

func TestFailingConnect(t *testing.T) {
	addr := startSender(t, 10)
	_, text := run(t, Plan{Rules: []Rule{{Call: Connect, Probability: 1, Error: syscall.EADDRNOTAVAIL}}}, "FAULTINJECT_RUN=read", "FAULTINJECT_ADDR="+addr)
	if !strings.Contains(text, "cannot assign requested address") {
		t.Errorf("it prints %q", text)
	}
}

func TestSteppedClock(t *testing.T) {
	for _, offset := range []time.Duration{time.Hour, -time.Hour} {
		_, text := run(t, Plan{Steps: []Step{{After: 150 * time.Millisecond, Offset: offset}}}, "FAULTINJECT_RUN=clock")
		if want := fmt.Sprintf("wall %d s, monotonic 0 s\n", int(offset.Seconds())); text != want {
			t.Errorf("it prints %q, not %q", text, want)
		}
	}
}

func TestEmptyPlan(t *testing.T) {
	addr := startSender(t, 1000)
	p, text := run(t, Plan{}, "FAULTINJECT_RUN=read", "FAULTINJECT_ADDR="+addr)
	if text != "1000 bytes, false\n" || p.Struck(SocketRead) != 0 {
		t.Errorf("it prints %q, %d reads were shortened", text, p.Struck(SocketRead))
	}
}
