package main

import (
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/replay"
	"hollyyoke.example/hollyyoke/internal/rehearsal/report"
	"hollyyoke.example/hollyyoke/internal/rehearsal/standin"
)

// With each front end, every entry of the recording is served once, as the stand-ins' ledger confirms, and the report is
// complete. The same seed gives the same set of requests.
func TestRunServesEachEntryOnce(t *testing.T) {
	path := importedRecording(t, 120, 100)
	idsHashes := map[string]bool{}
	for _, frontEnd := range []string{frontEndHTTP, frontEndFaktory, frontEndHTTP} {
		t.Run(frontEnd, func(t *testing.T) {
			dir := t.TempDir()
			result := runCommand("run", "--recording", path, "--seed", "7", "--report", dir, "--front", frontEnd, "--daemon", daemon, "--json")
			var got report.Report
			err := json.Unmarshal([]byte(result.out), &got)
			if err != nil || result.exitCode != exitSuccess {
				t.Fatalf("%v: %v", err, result)
			}
			idsHashes[got.IDsHash] = true
			checkServedOnce(t, &got)
			checkReportFiles(t, dir, &got)
		})
	}
	if len(idsHashes) != 1 {
		t.Errorf("the same seed gave %d different sets of requests, want 1", len(idsHashes))
	}
}

// checkServedOnce checks a report of 120 entries that were all served.
func checkServedOnce(t *testing.T, got *report.Report) {
	t.Helper()
	for class, want := range map[string]int{"renewal": 40, "status-check": 80} {
		tally := got.Classes[class]
		if tally.Sent != want || tally.Served != want {
			t.Errorf("%s: %d sent and %d served, want %d: %+v", class, tally.Sent, tally.Served, want, tally)
		}
		if tally.Withheld+tally.Lost+tally.DuplicateAnswers+tally.Failed+tally.Rejected+tally.Unsent != 0 {
			t.Errorf("%s: not all requests were served once: %+v", class, tally)
		}
		if tally.Intended.P50 < 5000 {
			t.Errorf("%s: median latency %d us, want at least 5000", class, tally.Intended.P50)
		}
	}
	if got.DuplicatedJobs+got.NeverExecuted+got.StrayAnswers != 0 || got.Findings.Executed != 120 {
		t.Errorf("%d jobs duplicated, %d never executed, %d stray answers, want none; ledger %+v, want 120 executed",
			got.DuplicatedJobs, got.NeverExecuted, got.StrayAnswers, got.Findings)
	}
	if got.Fidelity.Compared != 120 || !got.Passed {
		t.Errorf("%d entries compared, want 120; passed %v: %s", got.Fidelity.Compared, got.Passed, got.Conclusion)
	}
}

// checkReportFiles checks that the report's files exist, and that the page has its charts and loads no other file.
func checkReportFiles(t *testing.T, dir string, got *report.Report) {
	t.Helper()
	html, err := os.ReadFile(filepath.Join(dir, reportHTMLFile))
	if err != nil {
		t.Error(err)
	}
	if charts := bytes.Count(html, []byte("<svg")); charts != 3 {
		t.Errorf("the page has %d charts, want 3", charts)
	}
	if bytes.Contains(html, []byte("http-equiv")) || bytes.Contains(html, []byte("src=")) {
		t.Error("the page loads other files")
	}
	raw, err := os.ReadFile(filepath.Join(dir, reportJSONFile))
	if err != nil {
		t.Fatal(err)
	}
	var inFile report.Report
	if err := json.Unmarshal(raw, &inFile); err != nil || inFile.IDsHash != got.IDsHash {
		t.Errorf("%s: %v, hash of ids %s, want %s", reportJSONFile, err, inFile.IDsHash, got.IDsHash)
	}
}

// rehearse replays a recording to a daemon with three stand-in workers.
func rehearse(t *testing.T, recording string, beforeSending func(*standin.Fleet)) *report.Report {
	t.Helper()
	command := runCmd{Recording: recording, Seed: 7, Speed: 1, FrontEnd: frontEndHTTP, Daemon: daemon, Workers: 3}
	quiet := &environment{out: io.Discard, errOut: io.Discard, log: slog.New(slog.DiscardHandler)}
	evaluated, err := command.rehearse(quiet, beforeSending)
	if err != nil {
		t.Fatal(err)
	}
	return evaluated
}

// countingProxy pretends to be a stand-in: it forwards everything, including the challenge that verifies stand-ins, to a
// real stand-in, and counts the renewals that pass through it.
type countingProxy struct {
	listener net.Listener
	target   string
	renewals atomic.Int64
}

func startCountingProxy(t *testing.T, target string) *countingProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	p := &countingProxy{listener: listener, target: target}
	go p.serve()
	return p
}

func (p *countingProxy) serve() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			client.Close()
			continue
		}
		go func() {
			defer client.Close()
			io.Copy(client, server)
		}()
		go p.forwardRequests(client, server)
	}
}

func (p *countingProxy) forwardRequests(client, server net.Conn) {
	defer server.Close()
	buffer := make([]byte, 64<<10)
	for {
		received, err := client.Read(buffer)
		p.renewals.Add(int64(bytes.Count(buffer[:received], []byte("POST /renewal"))))
		server.Write(buffer[:received])
		if err != nil {
			return
		}
	}
}

// entry returns the discovery entry that lists the proxy in place of a worker.
func (p *countingProxy) entry(worker *standin.Worker) standin.Host {
	return standin.Host{Host: worker.Name, Dial: p.listener.Addr().String(), Site: "russeifa", Class: "standard", Health: "ready"}
}

// checkProxied checks the report of a replay of 50 renewals and 100 status checks in which a proxy was detected: no renewal
// may have passed through the proxy, and all status checks must have been sent.
func checkProxied(t *testing.T, got *report.Report, proxy *countingProxy) {
	t.Helper()
	renewals := got.Classes["renewal"]
	checks := got.Classes["status-check"]
	if renewals.Sent+renewals.Withheld != 50 || checks.Sent != 100 || checks.Withheld != 0 {
		t.Errorf("renewals %+v, want 50; status checks %+v, want 100 sent", renewals, checks)
	}
	if want := "something stands in between"; !strings.Contains(got.WithheldReason, want) {
		t.Errorf("withheld since %q, want %q", got.WithheldReason, want)
	}
	if forwarded := proxy.renewals.Load(); forwarded != 0 {
		t.Errorf("%d renewals went through the proxy", forwarded)
	}
	if !got.Passed {
		t.Errorf("not passed: %s", got.Conclusion)
	}
}

// If a proxy to a real stand-in is listed from the start, neither it nor any other worker gets a renewal.
func TestProxyListedFromStart(t *testing.T) {
	path := importedRecording(t, 150, 100)
	var proxy *countingProxy
	got := rehearse(t, path, func(fleet *standin.Fleet) {
		worker := fleet.Workers[0]
		proxy = startCountingProxy(t, worker.Addr)
		fleet.Discovery.Set(proxy.entry(worker))
		deadline := time.Now().Add(10 * time.Second)
		for fleet.Gate.Failure() == nil && time.Now().Before(deadline) {
			time.Sleep(time.Millisecond)
		}
	})
	checkProxied(t, got, proxy)
	if withheld := got.Classes["renewal"].Withheld; withheld != 50 {
		t.Errorf("%d renewals withheld, want all 50", withheld)
	}
}

// If a proxy to a real stand-in is listed during the replay, it gets no renewal, and no further renewal is sent to any
// worker. Status checks continue.
func TestProxyListedMidway(t *testing.T) {
	path := importedRecording(t, 150, 100)
	var proxy *countingProxy
	var listed atomic.Bool
	got := rehearse(t, path, func(fleet *standin.Fleet) {
		worker := fleet.Workers[0]
		proxy = startCountingProxy(t, worker.Addr)
		time.AfterFunc(1000*time.Millisecond, func() {
			fleet.Discovery.Set(proxy.entry(worker))
			listed.Store(true)
		})
	})
	checkProxied(t, got, proxy)
	renewals := got.Classes["renewal"]
	if renewals.Withheld == 0 || renewals.Sent == 0 || !listed.Load() {
		t.Errorf("%d renewals withheld and %d sent, want some of both; the proxy is listed: %v", renewals.Withheld, renewals.Sent, listed.Load())
	}
}

// If the daemon is killed during the replay, the requests that it has not answered are lost, the remaining ones are
// withheld or counted as not sent, and the report gives the reason. No job is duplicated.
func TestDaemonKilled(t *testing.T) {
	path := importedRecording(t, 150, 100)
	var killing sync.WaitGroup
	got := rehearse(t, path, func(fleet *standin.Fleet) {
		killing.Go(func() {
			time.Sleep(900 * time.Millisecond)
			process, _ := os.FindProcess(fleet.PID())
			process.Kill()
		})
	})
	killing.Wait()
	renewals := got.Classes["renewal"]
	unsent := got.Sum(func(t *replay.Tally) int { return t.Unsent })
	if renewals.Withheld == 0 || unsent == 0 || got.DuplicatedJobs != 0 {
		t.Errorf("%d renewals withheld, %d requests not sent, want some of both; %d jobs duplicated, want none", renewals.Withheld, unsent, got.DuplicatedJobs)
	}
	if want := "the daemon has ended"; got.WithheldReason != want {
		t.Errorf("withheld since %q, want %q", got.WithheldReason, want)
	}
}
