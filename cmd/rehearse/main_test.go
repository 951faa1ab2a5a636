package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/recording"
	"hollyyoke.example/hollyyoke/internal/rehearsal/replay"
	"hollyyoke.example/hollyyoke/internal/rehearsal/report"
	"hollyyoke.example/hollyyoke/internal/rehearsal/standin"
)

const rulesFile = "../../deploy/rehearsal.toml"

var daemon string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "rehearse")
	if err != nil {
		panic(err)
	}
	daemon = filepath.Join(dir, "dispatcher")
	if out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", dir, "../dispatcher", "../dispatcher-serve").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", out, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// command runs a command line and returns its exit code and output.
func command(args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	code = run(args, strings.NewReader(""), &o, &e)
	return code, o.String(), e.String()
}

func write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// recorded imports a log of n entries, rate per second, every third a renewal, and returns the recording's path.
func recorded(t *testing.T, n, rate int) string {
	t.Helper()
	var text strings.Builder
	start := time.Date(2026, 11, 29, 6, 0, 0, 0, time.UTC)
	for i := range n {
		request := fmt.Sprintf("GET /members/%d/status", i%50)
		if i%3 == 0 {
			request = fmt.Sprintf("POST /members/%d/renew", i%50)
		}
		fmt.Fprintf(&text, "%.3f|%s|0.015\n", float64(start.UnixMilli()+int64(i)*1000/int64(rate))/1000, strings.Replace(request, " ", "|", 1))
	}
	path := filepath.Join(t.TempDir(), "a.rec")
	if code, out, errs := command("import", "--rules", rulesFile, "--format", "nginx:$msec|$request_method|$request_uri|$request_time", "-o", path,
		write(t, "a.log", text.String())); code != 0 {
		t.Fatal(out, errs)
	}
	return path
}

func quietEnv() *environment {
	return &environment{out: io.Discard, errOut: io.Discard, log: slog.New(slog.DiscardHandler)}
}

// With each front end every entry is served once, the ledger agrees, the same seed gives the same set of requests, and the
// report is complete.
func TestRun(t *testing.T) {
	path := recorded(t, 120, 100)
	booked := map[string]bool{}
	for _, front := range []string{"platform", "faktory", "platform"} {
		dir := t.TempDir()
		code, out, errs := command("run", "--recording", path, "--seed", "7", "--report", dir, "--front", front, "--daemon", daemon, "--json")
		var got report.Report
		if err := json.Unmarshal([]byte(out), &got); err != nil || code != 0 {
			t.Fatalf("%s: code %d, %v\n%s%s", front, code, err, out, errs)
		}
		for name, want := range map[string]int{"renewal": 40, "status-check": 80} {
			c := got.Classes[name]
			if c.Sent != want || c.Served != want || c.Withheld+c.Lost+c.DuplicateAnswers+c.Failed+c.Rejected+c.Unsent != 0 || c.Intended.P50 < 5000 {
				t.Errorf("%s: %s: %+v", front, name, c)
			}
		}
		if got.DuplicatedJobs+got.NeverExecuted+got.StrayAnswers != 0 || got.Findings.Executed != 120 || got.Fidelity.Compared != 120 || !got.Passed {
			t.Errorf("%s: %+v, %+v", front, got.Findings, got.Fidelity)
		}
		booked[got.IDsHash] = true
		html, err := os.ReadFile(filepath.Join(dir, "report.html"))
		if err != nil || bytes.Count(html, []byte("<svg")) != 3 || bytes.Contains(html, []byte("http-equiv")) || bytes.Contains(html, []byte("src=")) {
			t.Errorf("%s: the page: %v, %d charts", front, err, bytes.Count(html, []byte("<svg")))
		}
		var file report.Report
		if raw, err := os.ReadFile(filepath.Join(dir, "report.json")); err != nil || json.Unmarshal(raw, &file) != nil || file.IDsHash != got.IDsHash {
			t.Errorf("%s: report.json: %v", front, err)
		}
	}
	if len(booked) != 1 {
		t.Errorf("one seed booked %d sets", len(booked))
	}
}

// startProxy starts a proxy that poses as a stand-in: it forwards everything, the challenge too, and counts the renewals.
func startProxy(t *testing.T, to string) (addr string, renewals func() int) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	var mu sync.Mutex
	n := 0
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				in.Close()
				continue
			}
			go func() { io.Copy(in, out); in.Close() }()
			go func() {
				buf := make([]byte, 64<<10)
				for {
					k, err := in.Read(buf)
					mu.Lock()
					n += bytes.Count(buf[:k], []byte("POST /renewal"))
					mu.Unlock()
					if out.Write(buf[:k]); err != nil {
						out.Close()
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String(), func() int { mu.Lock(); defer mu.Unlock(); return n }
}

// A proxy to a real stand-in, in the list from the start or later, gets no renewal from then on; status checks go on.
func TestProxyPosingAsStandIn(t *testing.T) {
	path := recorded(t, 150, 100)
	for _, midway := range []bool{false, true} {
		var through func() int
		var before atomic.Int32
		c := runCmd{Recording: path, Seed: 7, Speed: 1, Front: "platform", Daemon: daemon, Workers: 3}
		rep, err := c.rehearse(quietEnv(), func(f *standin.Fleet) {
			addr, renewals := startProxy(t, f.Workers[0].Addr)
			through = renewals
			h := standin.Host{Host: f.Workers[0].Name, Dial: addr, Site: "russeifa", Class: "standard", Health: "ready"}
			if !midway {
				f.Discovery.Set(h)
				for end := time.Now().Add(10 * time.Second); f.Gate.Failure() == nil && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}
				return
			}
			time.AfterFunc(1000*time.Millisecond, func() { f.Discovery.Set(h); before.Store(1) })
		})
		if err != nil {
			t.Fatal(err)
		}
		r, s := rep.Classes["renewal"], rep.Classes["status-check"]
		if r.Sent+r.Withheld != 50 || s.Sent != 100 || s.Withheld != 0 || !strings.Contains(rep.WithheldReason, "something stands in between") {
			t.Errorf("midway %v: renewals %+v, status-checks %+v, %q", midway, r, s, rep.WithheldReason)
		}
		if !midway && r.Withheld != 50 || midway && (r.Withheld == 0 || r.Sent == 0 || before.Load() == 0) {
			t.Errorf("midway %v: %d renewals withheld, %d sent", midway, r.Withheld, r.Sent)
		}
		if n := through(); n != 0 {
			t.Errorf("midway %v: %d renewals went through the proxy", midway, n)
		}
		if !rep.Passed {
			t.Errorf("midway %v: %s", midway, rep.Conclusion)
		}
	}
}

// The daemon is killed during the replay: what it had is lost, the rest is withheld or not sent, and the report says so.
func TestDaemonKilled(t *testing.T) {
	c := runCmd{Recording: recorded(t, 150, 100), Seed: 7, Speed: 1, Front: "platform", Daemon: daemon, Workers: 3}
	rep, err := c.rehearse(quietEnv(), func(f *standin.Fleet) {
		time.AfterFunc(900*time.Millisecond, func() {
			p, _ := os.FindProcess(f.PID())
			p.Kill()
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	r := rep.Classes["renewal"]
	unsent := rep.Sum(func(t *replay.Tally) int { return t.Unsent })
	if r.Withheld == 0 || unsent == 0 || rep.DuplicatedJobs != 0 || rep.WithheldReason != "the daemon has ended" {
		t.Errorf("%+v, %d unsent, %q", r, unsent, rep.WithheldReason)
	}
}

// With a daemon that this program did not start, renewals are withheld, whatever the flags; the earlier command line still
// works.
func TestReplayTo(t *testing.T) {
	fleet, err := standin.StartFleet(standin.FleetConfig{Daemon: daemon, Dir: t.TempDir(), Workers: 3, Seed: 1,
		Classes: []standin.ClassConfig{{Name: "renewal", Timeout: 8 * time.Second}, {Name: "status-check", Retryable: true, Timeout: 5 * time.Second}}})
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	log := write(t, "a.log", `h - - [01/Dec/2026:08:00:00 +0200] "GET /members/17/status HTTP/1.1" 200 512
h - - [01/Dec/2026:08:00:00 +0200] "POST /members/18/renew HTTP/1.1" 200 512
bad line
`)
	rec := filepath.Join(t.TempDir(), "a.rec")
	if code, _, errs := command("import", "--rules", rulesFile, "-o", rec, log); code != 0 {
		t.Fatal(errs)
	}
	for i, args := range [][]string{{"replay", "--recording", rec, "--to", fleet.Addr, "--seed", "3", "--json"},
		{"-in", log, "-rules", rulesFile, "-to", fleet.Addr, "-front", "platform", "-json"}} {
		seed := uint64(3)
		if i == 0 { // only a known id reaches a stand-in
			fleet.Ledger.Announce(standin.Job{ID: replay.ID(seed, 0), Class: "status-check", Retryable: true, ServiceTime: time.Millisecond})
			fleet.Ledger.Announce(standin.Job{ID: replay.ID(seed, 1), Class: "status-check", Retryable: true, ServiceTime: time.Millisecond})
		}
		code, out, errs := command(args...)
		var rep report.Report
		if err := json.Unmarshal([]byte(out), &rep); err != nil {
			t.Fatalf("%v: %d %v %s%s", args, code, err, out, errs)
		}
		if r, s := rep.Classes["renewal"], rep.Classes["status-check"]; r.Withheld != 1 || r.Sent != 0 || s.Sent != 1 || i == 0 && (code != 0 || s.Served != 1) {
			t.Errorf("%v: code %d, %+v, %+v", args, code, r, s)
		}
		if i == 1 && !strings.Contains(errs, "a.log: line 3, byte ") {
			t.Errorf("the malformed line is not reported: %s", errs)
		}
	}
	for _, id := range fleet.Ledger.ExecutedIDs() {
		if id != replay.ID(3, 0) && id != replay.ID(3, 1) {
			t.Errorf("%s ran", id)
		}
	}
}

// A dispatcher that answers twice or closes the connection without an answer violates a rule.
func TestRuleViolations(t *testing.T) {
	rec := recorded(t, 3, 100)
	for name, answer := range map[string]string{
		"no answer":     "",
		"answers twice": strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 2),
		"no HTTP":       "what?\r\n\r\n",
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					defer conn.Close()
					if n, _ := conn.Read(make([]byte, 4096)); n > 0 && answer != "" {
						io.WriteString(conn, answer)
						time.Sleep(50 * time.Millisecond)
					}
				}()
			}
		}()
		code, out, errs := command("replay", "--recording", rec, "--to", ln.Addr().String())
		ln.Close()
		if code != exitViolation || !strings.Contains(errs, "rules broken") {
			t.Errorf("%s: code %d\n%s%s", name, code, out, errs)
		}
	}
}

// The import command, and the exit codes and errors of commands on recordings.
func TestImportCommand(t *testing.T) {
	dir := t.TempDir()
	at := func(name string) string { return filepath.Join(dir, name) }
	sample := "../../deploy/sample/access.log"
	code, out, errs := command("import", "--rules", rulesFile, "--seed", "5", "--rejects", at("rejects"), "--json", "-o", at("a.rec"), sample)
	var got recording.Report
	if err := json.Unmarshal([]byte(out), &got); err != nil || code != 0 || got.Read != 1620 || got.Malformed != 1 || !got.Balanced() {
		t.Fatalf("%d %v %s%s", code, err, out, errs)
	}
	var reject recording.Reject
	raw, err := os.ReadFile(at("rejects"))
	if err := errors.Join(err, json.Unmarshal(raw, &reject)); err != nil || reject.Line != 401 || reject.Source != "access.log" || reject != got.Rejects[0] {
		t.Errorf("rejects file: %v, %+v", err, reject)
	}
	command("import", "--rules", rulesFile, "--seed", "5", "-o", at("b.rec"), sample)
	a, _ := os.ReadFile(at("a.rec"))
	b, _ := os.ReadFile(at("b.rec"))
	if !bytes.Equal(a, b) || len(a) == 0 {
		t.Error("the same input, rules and seed give other bytes")
	}
	if code, _, errs := command("import", "--rules", rulesFile, "--strict", "-o", at("c.rec"), sample); code != exitViolation || !strings.Contains(errs, "--strict") {
		t.Errorf("--strict: %d %s", code, errs)
	}
	if code, out, _ := command("inspect", at("a.rec")); code != 0 || !strings.Contains(out, "1519 entries") || !strings.Contains(out, "sha256") {
		t.Errorf("inspect: %d %s", code, out)
	}
	if code, out, _ := command("inspect", "--json", at("a.rec")); code != 0 || !json.Valid([]byte(out)) {
		t.Errorf("inspect --json: %d %s", code, out)
	}
	if err := os.WriteFile(at("cut.rec"), a[:len(a)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	for want, args := range map[string][]string{
		"cut.rec: ":             {"inspect", at("cut.rec")},
		"--rules":               {"import", "-o", at("x"), sample},
		"no such file":          {"import", "--rules", rulesFile, "-o", at("x"), at("none.log")},
		"no entry that a rule":  {"import", "--rules", rulesFile, "-o", at("x"), write(t, "b.log", "bad\n")},
		"class: missing":        {"import", "--rules", write(t, "r.toml", ""), "-o", at("x"), sample},
		"format: \"xml\"":       {"import", "--rules", rulesFile, "--format", "xml", "-o", at("x"), sample},
		"no source is called":   {"import", "--rules", rulesFile, "--offset", "z=1s", "-o", at("x"), sample},
		"is not a loopback":     {"replay", "--recording", at("a.rec"), "--to", "192.0.2.7:80"},
		"neither platform nor":  {"replay", "--recording", at("a.rec"), "--to", "127.0.0.1:1", "--front", "x"},
		"one of them is needed": {"replay", "--to", "127.0.0.1:1"},
		"entries could not be":  {"replay", "--recording", recorded(t, 2, 100), "--to", "127.0.0.1:1"},
		"no daemon beside":      {"run", "--recording", at("a.rec")},
		"the window is empty":   {"slice", "--from", "5s", "--to", "4s", "-o", at("x"), at("a.rec")},
		"unexpected argument":   {"nonsense"},
	} {
		if code, out, errs := command(args...); code != exitFailure || !strings.Contains(errs, want) {
			t.Errorf("%v: code %d, %s%s; want %q", args, code, out, errs, want)
		}
	}
	if left, _ := filepath.Glob(at("*x*")); len(left) != 0 {
		t.Errorf("left behind: %v", left)
	}
	for _, args := range [][]string{{"slice", "--to", "5s", "-o", at("s.rec"), at("a.rec")}, {"merge", "-o", at("m.rec"), at("a.rec"), at("s.rec")},
		{"scale", "--rate", "2", "-o", at("t.rec"), at("m.rec")}, {"inspect", at("t.rec")}, {"formats"}, {"version"}, {"--help"}} {
		if code, _, errs := command(args...); code != 0 {
			t.Errorf("%v: %d %s", args, code, errs)
		}
	}
}
