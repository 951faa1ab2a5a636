package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal"
)

const logText = `h - - [01/Dec/2026:08:00:00 +0200] "GET /members/17/status HTTP/1.1" 200 512
h - - [01/Dec/2026:08:00:00 +0200] "POST /members/18/renew HTTP/1.1" 200 512
bad line
`

func write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func freeAddr(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// The kit against the daemon itself, by either front, with a worker that
// speaks the Faktory protocol behind it: every entry is served once.
func TestRehearsalOfTheDaemon(t *testing.T) {
	daemon := filepath.Join(t.TempDir(), "hollyyoke")
	if out, err := exec.Command("go", "build", "-o", daemon, "../hollyyoke").CombinedOutput(); err != nil {
		t.Fatalf("%s%v", out, err)
	}
	listen, second := freeAddr(t), freeAddr(t)
	cmd := exec.Command(daemon, "-config", "../../deploy/faktory-config.json",
		"-faktory", write(t, "faktory.toml", fmt.Sprintf("listen = %q\n", second)))
	cmd.Env = append(os.Environ(), "BALANCER_LISTEN="+listen, "BALANCER_DISCOVERY=")
	var log bytes.Buffer
	cmd.Stderr = &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() {
		cmd.Process.Kill()
		cmd.Wait()
		if t.Failed() {
			t.Log(log.String())
		}
	}()
	work(t, second)
	for _, to := range []struct{ front, addr string }{{"platform", listen}, {"faktory", second}} {
		var out, errs bytes.Buffer
		code := run([]string{"-in", write(t, "access.log", logText), "-rules", "../../deploy/rehearsal.toml",
			"-to", to.addr, "-front", to.front, "-json"}, &out, &errs)
		var report rehearsal.Report
		if err := json.Unmarshal(out.Bytes(), &report); code != 0 || err != nil {
			t.Fatalf("%s: code %d, %v, %s%s", to.front, code, err, out.String(), errs.String())
		}
		for _, class := range []string{"status-check", "renewal"} {
			if got := *report.Classes[class]; got != (rehearsal.Tally{Sent: 1, Served: 1}) {
				t.Errorf("%s: %s: %+v", to.front, class, got)
			}
		}
		if !strings.Contains(errs.String(), "entry 3: ") {
			t.Errorf("%s: the bad line is not told: %s", to.front, errs.String())
		}
	}
}

// work is a stand-in worker: it fetches and acknowledges until the test ends.
func work(t *testing.T, addr string) {
	var conn net.Conn
	var err error
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if conn, err = net.Dial("tcp", addr); err == nil {
			break
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() { conn.Close() })
	go func() {
		buf := make([]byte, 4096)
		read := func() string { n, _ := conn.Read(buf); return string(buf[:n]) }
		read()
		fmt.Fprint(conn, "HELLO {\"v\":2,\"wid\":\"w1\"}\r\n")
		read()
		for {
			fmt.Fprint(conn, "FETCH status-check renewal\r\n")
			got := read()
			if got == "" {
				return
			}
			if _, jid, ok := strings.Cut(got, `"jid":"`); ok {
				jid, _, _ = strings.Cut(jid, `"`)
				fmt.Fprintf(conn, "ACK {\"jid\":%q}\r\n", jid)
				read()
			}
		}
	}()
}

func TestBadCommandLines(t *testing.T) {
	in, rules := write(t, "a.log", logText), "../../deploy/rehearsal.toml"
	for want, args := range map[string][]string{
		"-in: missing":           {},
		"-rules: missing":        {"-in", in},
		"-to:":                   {"-in", in, "-rules", rules, "-to", "192.0.2.7:80"},
		"-front:":                {"-in", in, "-rules", rules, "-to", "127.0.0.1:1", "-front", "x"},
		"-limit:":                {"-in", in, "-rules", rules, "-to", "127.0.0.1:1", "-limit", "0"},
		"no entry to replay":     {"-in", write(t, "b.log", "bad\n"), "-rules", rules, "-to", "127.0.0.1:1"},
		"class: missing":         {"-in", in, "-rules", write(t, "r.toml", ""), "-to", "127.0.0.1:1"},
		"2 entries could not be": {"-in", in, "-rules", rules, "-to", freeAddr(t)},
		"a rule was broken":      {"-in", in, "-rules", rules, "-to", rude(t)},
	} {
		var out, errs bytes.Buffer
		code := run(args, &out, &errs)
		if wantCode := map[bool]int{true: exitBroken, false: exitUsage}[want == "a rule was broken"]; code != wantCode ||
			!strings.Contains(errs.String(), want) {
			t.Errorf("%v: code %d, %q; want %d and %q", args, code, errs.String(), wantCode, want)
		}
	}
}

// rude is a stand-in dispatcher that hangs up on everyone.
func rude(t *testing.T) string {
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
			conn.Read(make([]byte, 4096))
			conn.Close()
		}
	}()
	return ln.Addr().String()
}
