//go:build linux && (amd64 || arm64)

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

// Environment variables of the test binary when it runs as the traced program, and the values of roleVariable.
const (
	roleVariable = "FAULTINJECT_ROLE"
	addrVariable = "FAULTINJECT_ADDR"

	roleRead  = "read"
	roleClock = "clock"
)

const programTimeout = 30 * time.Second

// TestMain runs the tests, or the role that the environment names: the tests start this binary again as the traced program.
func TestMain(m *testing.M) {
	switch os.Getenv(roleVariable) {
	case roleRead:
		readToEnd()
	case roleClock:
		measureClocks()
	default:
		os.Exit(m.Run())
	}
}

// minShortReads is the number of reads from which on readToEnd prints true.
const minShortReads = 100

// readToEnd reads from an address to the end and prints how many bytes arrived, and
// whether that took at least minShortReads reads.
func readToEnd() {
	conn, err := net.Dial("tcp", os.Getenv(addrVariable))
	if err != nil {
		fmt.Println("dial:", err)
		return
	}
	bytes := 0
	reads := 0
	buffer := make([]byte, 1<<16)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			break
		}
		bytes += n
		reads++
	}
	fmt.Printf("%d bytes, %v\n", bytes, reads >= minShortReads)
}

// Times for measureClocks. The clock steps late enough that the program has read its clocks before the step, even if it
// starts slowly on a busy machine. The timeout exceeds the time until the step.
const (
	clockStepAfter   = 3 * time.Second
	clockStepTimeout = 20 * time.Second
	clockPoll        = 10 * time.Millisecond
)

// clockReport is the format of what measureClocks prints: by how many seconds the wall clock is ahead of the monotonic
// clock, and by how many milliseconds the monotonic clock has advanced.
const clockReport = "wall clock ahead by %d s, monotonic clock advanced by %d ms\n"

// measureClocks waits until the wall clock and the monotonic clock differ by at least a second, or until a timeout, and
// prints a clockReport.
func measureClocks() {
	start := time.Now()
	var ahead, monotonic time.Duration
	for ahead.Abs() < time.Second && monotonic < clockStepTimeout {
		time.Sleep(clockPoll)
		now := time.Now()
		monotonic = now.Sub(start)
		wall := now.Round(0).Sub(start.Round(0)) // Round strips the monotonic reading
		ahead = wall - monotonic
	}
	fmt.Printf(clockReport, int(math.Round(ahead.Seconds())), monotonic.Milliseconds())
}

// run runs the test binary in a role under a plan until it ends, and returns the process and what it printed.
func run(t *testing.T, plan Plan, role, addr string) (*Process, string) {
	t.Helper()
	output, err := os.Create(filepath.Join(t.TempDir(), "output"))
	if err != nil {
		t.Fatal(err)
	}
	defer output.Close()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), roleVariable+"="+role, addrVariable+"="+addr)
	command.Stdout = output
	command.Stderr = output
	traced, err := Start(command, plan)
	if err != nil {
		t.Fatal(err)
	}
	select {
	case <-traced.Done():
	case <-time.After(programTimeout):
		traced.Signal(syscall.SIGKILL)
		t.Fatal("the program has not ended in time")
	}
	status, err := traced.Status()
	if err != nil || !status.Exited() || status.ExitStatus() != 0 {
		t.Errorf("the program ended with %v, %v", status, err)
	}
	text, err := os.ReadFile(output.Name())
	if err != nil {
		t.Fatal(err)
	}
	return traced, string(text)
}

// startSender starts a server that sends the given number of bytes on each connection
// and closes it. It returns the server's address.
func startSender(t *testing.T, bytes int) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			io.WriteString(conn, strings.Repeat("x", bytes))
			conn.Close()
		}
	}()
	return listener.Addr().String()
}

func TestShortReads(t *testing.T) {
	addr := startSender(t, 1000)
	plan := Plan{Rules: []Rule{{Call: SocketRead, Probability: 1, MaxBytes: 10}}}
	traced, output := run(t, plan, roleRead, addr)
	if output != "1000 bytes, true\n" {
		t.Errorf("the program printed %q", output)
	}
	if shortened := traced.Injected(SocketRead); shortened < minShortReads {
		t.Errorf("%d reads were shortened, want at least %d", shortened, minShortReads)
	}
}

func TestRuleAppliesToOnePeer(t *testing.T) {
	addr := startSender(t, 1000)
	_, portText, _ := net.SplitHostPort(addr)
	port, _ := strconv.Atoi(portText)
	for _, peer := range []int{port, port + 1} {
		plan := Plan{Rules: []Rule{{Call: SocketRead, Probability: 1, MaxBytes: 10, PeerPort: peer}}}
		traced, output := run(t, plan, roleRead, addr)
		applies := peer == port
		want := fmt.Sprintf("1000 bytes, %v\n", applies)
		shortened := traced.Injected(SocketRead)
		if output != want || shortened > 0 != applies {
			t.Errorf("peer %d: the program printed %q, want %q; %d reads were shortened", peer, output, want, shortened)
		}
	}
}

func TestFailingConnect(t *testing.T) {
	addr := startSender(t, 10)
	plan := Plan{Rules: []Rule{{Call: Connect, Probability: 1, Error: syscall.EADDRNOTAVAIL}}}
	_, output := run(t, plan, roleRead, addr)
	if !strings.Contains(output, "cannot assign requested address") {
		t.Errorf("the program printed %q", output)
	}
}

func TestSteppedClock(t *testing.T) {
	for _, offset := range []time.Duration{time.Hour, -time.Hour} {
		plan := Plan{Steps: []Step{{Start: clockStepAfter, Offset: offset}}}
		started := time.Now()
		_, output := run(t, plan, roleClock, "")
		elapsed := time.Since(started)
		var ahead, monotonic int
		if _, err := fmt.Sscanf(output, clockReport, &ahead, &monotonic); err != nil {
			t.Fatalf("the program printed %q: %v", output, err)
		}
		if ahead != int(offset.Seconds()) {
			t.Errorf("the wall clock is ahead by %d s, want %v", ahead, offset)
		}
		if monotonic <= 0 || monotonic > int(elapsed.Milliseconds()) {
			t.Errorf("the monotonic clock advanced by %d ms in a program that ran for %v", monotonic, elapsed)
		}
	}
}

func TestOutcomeNamesSignal(t *testing.T) {
	traced, err := Start(exec.Command("sleep", "60"), Plan{})
	if err != nil {
		t.Fatal(err)
	}
	if err := traced.Signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	select {
	case <-traced.Done():
	case <-time.After(programTimeout):
		t.Fatal("the program has not ended in time")
	}
	if got, want := traced.Outcome(), "signal: killed"; got != want {
		t.Errorf("outcome %q, want %q", got, want)
	}
}

func TestEmptyPlanChangesNothing(t *testing.T) {
	addr := startSender(t, 1000)
	traced, output := run(t, Plan{}, roleRead, addr)
	shortened := traced.Injected(SocketRead)
	if output != "1000 bytes, false\n" || shortened != 0 {
		t.Errorf("the program printed %q, %d reads were shortened", output, shortened)
	}
}
