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

// The test program itself is what runs under a plan: it is told by its environment what to do.
func TestMain(m *testing.M) {
	switch os.Getenv("SYSFAULT_DO") {
	case "read":
		readAll()
	case "clock":
		tellClock()
	}
	os.Exit(m.Run())
}

// readAll reads from an address to its end and tells how many reads that took, and how many failed.
func readAll() {
	conn, err := net.Dial("tcp", os.Getenv("SYSFAULT_ADDR"))
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
		sum, reads = sum+n, reads+1
	}
	fmt.Printf("%d bytes, %v\n", sum, reads >= 100)
	os.Exit(0)
}

// tellClock tells how far the wall clock and the monotonic one went in a third of a second.
func tellClock() {
	start := time.Now()
	time.Sleep(300 * time.Millisecond)
	now := time.Now()
	fmt.Printf("wall %d s, monotonic %d s\n", int(math.Round(now.Round(0).Sub(start.Round(0)).Seconds())), int(math.Round(now.Sub(start).Seconds())))
	os.Exit(0)
}

// run runs the test program under a plan and returns what it printed.
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

// sender serves so many bytes to each connection.
func sender(t *testing.T, bytes int) string {
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
	addr := sender(t, 1000)
	p, text := run(t, Plan{Rules: []Rule{{Call: SocketRead, Probability: 1, Short: 10}}}, "SYSFAULT_DO=read", "SYSFAULT_ADDR="+addr)
	if text != "1000 bytes, true\n" {
		t.Errorf("it tells %q", text)
	}
	if n := p.Struck(SocketRead); n < 100 {
		t.Errorf("%d reads were shortened", n)
	}
}

func TestRuleOfOnePeer(t *testing.T) {
	addr := sender(t, 1000)
	_, text, _ := net.SplitHostPort(addr)
	port, _ := strconv.Atoi(text)
	for _, peer := range []int{port, port + 1} {
		plan := Plan{Rules: []Rule{{Call: SocketRead, Probability: 1, Short: 10, Peer: peer}}}
		p, text := run(t, plan, "SYSFAULT_DO=read", "SYSFAULT_ADDR="+addr)
		if want := fmt.Sprintf("1000 bytes, %v\n", peer == port); text != want || p.Struck(SocketRead) > 0 != (peer == port) {
			t.Errorf("it tells %q, %d reads were shortened", text, p.Struck(SocketRead))
		}
	}
}

func TestFailingConnect(t *testing.T) {
	addr := sender(t, 10)
	_, text := run(t, Plan{Rules: []Rule{{Call: Connect, Probability: 1, Error: syscall.EADDRNOTAVAIL}}}, "SYSFAULT_DO=read", "SYSFAULT_ADDR="+addr)
	if !strings.Contains(text, "cannot assign requested address") {
		t.Errorf("it tells %q", text)
	}
}

func TestSteppedClock(t *testing.T) {
	for _, offset := range []time.Duration{time.Hour, -time.Hour} {
		_, text := run(t, Plan{Steps: []Step{{After: 150 * time.Millisecond, Offset: offset}}}, "SYSFAULT_DO=clock")
		if want := fmt.Sprintf("wall %d s, monotonic 0 s\n", int(offset.Seconds())); text != want {
			t.Errorf("it tells %q, not %q", text, want)
		}
	}
}

func TestNoPlanChangesNothing(t *testing.T) {
	addr := sender(t, 1000)
	p, text := run(t, Plan{}, "SYSFAULT_DO=read", "SYSFAULT_ADDR="+addr)
	if text != "1000 bytes, false\n" || p.Struck(SocketRead) != 0 {
		t.Errorf("it tells %q, %d reads were shortened", text, p.Struck(SocketRead))
	}
}
