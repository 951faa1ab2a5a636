package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// At a graceful shutdown what has been accepted is answered, what arrives in the window
// is served, and the program exits with 0 only after that.
func TestGracefulShutdown(t *testing.T) {
	d := &testDaemon{t: t}
	release, arrived := make(chan struct{}), make(chan struct{}, 1)
	d.addWorker("s-1", respondWhenReleased("slow", arrived, release))
	d.start()
	slow := make(chan int, 1)
	go func() {
		status, _, _ := d.post("renewal", "slow", "x", 0)
		slow <- status
	}()
	<-arrived
	d.cmd.Process.Signal(syscall.SIGTERM)
	d.cmd.Process.Signal(syscall.SIGTERM) // a second one changes nothing
	fresh := &http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	d.client, fresh = fresh, d.client
	d.waitUntilUnhealthy() // the signal has been handled, so that what follows comes after it
	if status, _, _ := d.post("status-check", "new", "x", 0); status != 200 {
		t.Errorf("a new connection after SIGTERM: %d", status)
	}
	d.client = fresh
	if status, _, _ := d.post("status-check", "kept", "x", 0); status != 200 {
		t.Errorf("an open connection after SIGTERM: %d", status)
	}
	if resp, err := d.client.Get("http://" + d.listen + "/healthz"); err != nil || resp.StatusCode != 503 {
		t.Errorf("healthz after SIGTERM: %v, %v", resp, err)
	}
	time.Sleep(600*time.Millisecond + 200*time.Millisecond) // past the window, an answer is still owed
	close(release)
	if status := <-slow; status != 200 {
		t.Errorf("the running request: %d", status)
	}
	if code := d.waitForExit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	if _, err := net.Dial("tcp", d.listen); err == nil {
		t.Error("it still listens")
	}
}

// SIGTERM while the program still reads its configuration is a graceful shutdown too: the
// configuration comes through a pipe here, and only after the signal.
func TestSignalDuringStart(t *testing.T) {
	d := &testDaemon{t: t}
	d.addWorker("s-1", respondDone)
	d.start() // writes a complete configuration
	d.cmd.Process.Kill()
	d.cmd.Wait()
	raw, err := os.ReadFile(d.configPath)
	if err != nil {
		t.Fatal(err)
	}
	d.configPath = filepath.Join(t.TempDir(), "pipe")
	if err := syscall.Mkfifo(d.configPath, 0o600); err != nil {
		t.Fatal(err)
	}
	d.launch()
	in, err := os.OpenFile(d.configPath, os.O_WRONLY, 0) // goes on once the program reads
	if err != nil {
		t.Fatal(err)
	}
	d.signal(syscall.SIGTERM)
	d.signal(syscall.SIGHUP)
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	for end := time.Now().Add(testTimeout); err == nil && signalPending(status); status, err = os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid)) {
		if time.Now().After(end) {
			t.Fatal("the signals do not reach it")
		}
	}
	in.Write(raw) // fails where the signal has ended the program
	in.Close()
	if code := d.waitForExit(); code != 0 {
		t.Errorf("exit code %d, want a graceful shutdown", code)
	}
	if !strings.Contains(d.log.String(), "stopped: accepted 0") {
		t.Error("it did not shut down gracefully")
	}
}

// signalPending reports whether a signal is pending, by the text of /proc/PID/status.
func signalPending(status []byte) bool {
	for line := range strings.Lines(string(status)) {
		if name, bits, _ := strings.Cut(line, ":"); name == "ShdPnd" || name == "SigPnd" {
			if strings.Trim(bits, " \t\n0") != "" {
				return true
			}
		}
	}
	return false
}

// At a graceful shutdown an answer that is owed reaches a client that goes on sending,
// and one that reads it late; an idle client sees an orderly close; nothing that
// arrives after the window reaches a worker.
func TestGracefulShutdownUnderLoad(t *testing.T) {
	d := &testDaemon{t: t}
	release, arrived := make(chan struct{}), make(chan struct{}, 2)
	big := strings.Repeat("made ", 12<<10)
	slow := func(id string, conn net.Conn) bool {
		if !strings.HasPrefix(id, "slow") {
			return respondDone(id, conn)
		}
		arrived <- struct{}{}
		<-release
		text := fmt.Sprintf(`{"id":%q,"state":"done","result":%q}`+"\n", id, big)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(text), text)
		return true
	}
	a, b := d.addWorker("s-1", slow), d.addWorker("s-2", slow)
	d.start()
	dial := func(text string) (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", d.listen)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(testTimeout))
		io.WriteString(conn, text)
		return conn, bufio.NewReader(conn)
	}
	job := func(id string) string {
		return "POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: " + id + "\r\nContent-Length: 4\r\n\r\nbody"
	}
	_, resting := dial(job("usual"))
	if resp, err := http.ReadResponse(resting, nil); err != nil || resp.StatusCode != 200 {
		t.Fatalf("%+v, %v", resp, err)
	} else {
		io.Copy(io.Discard, resp.Body)
	}
	late, lateIn := dial(job("slow-1"))
	sending, sendingIn := dial(job("slow-2"))
	<-arrived
	<-arrived
	go func() {
		for junk := make([]byte, 4<<10); ; {
			if _, err := sending.Write(junk); err != nil {
				return
			}
		}
	}()
	_, halfIn := dial(strings.TrimSuffix(job("half"), "dy"))
	d.signal(syscall.SIGTERM)
	if resp, err := http.ReadResponse(halfIn, nil); err != nil || resp.StatusCode != 503 { // not 408, which comes 2 s after it began
		t.Errorf("half a request: %+v, %v", resp, err)
	}
	if _, err := resting.ReadByte(); err != io.EOF { // the window is over
		t.Errorf("an idle connection ends with %v", err)
	}
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		conn, err := net.Dial("tcp", d.listen)
		if err != nil {
			break
		}
		conn.Close()
		if time.Now().After(end) {
			t.Fatal("it goes on listening")
		}
	}
	io.WriteString(late, job("after-the-end"))
	close(release)
	for name, in := range map[string]*bufio.Reader{"that reads late": lateIn, "that goes on sending": sendingIn} {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Errorf("a client %s: %v", name, err)
			continue
		}
		body, err := io.ReadAll(resp.Body)
		if resp.StatusCode != 200 || string(body) != big || err != nil {
			t.Errorf("a client %s: %d, %d bytes, %v", name, resp.StatusCode, len(body), err)
		}
	}
	if _, err := lateIn.ReadByte(); err != io.EOF {
		t.Errorf("behind the last answer: %v", err)
	}
	answered := time.Now() // the client has not closed: the program waits for it
	if code := d.waitForExit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	if span := time.Since(answered); span < 200*time.Millisecond {
		t.Errorf("it ended %v after an answer of which it could not know that it was read", span)
	}
	for _, got := range append(a.requests(), b.requests()...) {
		if strings.HasPrefix(got, "after") {
			t.Errorf("forwarded after the end: %s", got)
		}
	}
}
