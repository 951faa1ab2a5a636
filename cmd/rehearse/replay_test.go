package main

import (
	"encoding/json"
	"io"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/replay"
	"hollyyoke.example/hollyyoke/internal/rehearsal/report"
	"hollyyoke.example/hollyyoke/internal/rehearsal/standin"
)

// oneOfEachLog has a status check, a renewal and a malformed line.
const oneOfEachLog = `h - - [01/Dec/2026:08:00:00 +0200] "GET /members/17/status HTTP/1.1" 200 512
h - - [01/Dec/2026:08:00:00 +0200] "POST /members/18/renew HTTP/1.1" 200 512
bad line
`

// replayOneOfEach runs a command line that replays oneOfEachLog, and checks that the renewal is withheld and the status
// check is sent.
func replayOneOfEach(t *testing.T, args ...string) (report.Report, commandResult) {
	t.Helper()
	result := runCommand(args...)
	var got report.Report
	if err := json.Unmarshal([]byte(result.out), &got); err != nil {
		t.Fatalf("%v: %v", err, result)
	}
	renewals := got.Classes["renewal"]
	checks := got.Classes["status-check"]
	if renewals.Withheld != 1 || renewals.Sent != 0 || checks.Sent != 1 {
		t.Errorf("renewals %+v, want 1 withheld; status checks %+v, want 1 sent: %v", renewals, checks, result)
	}
	return got, result
}

// Renewals are withheld from a daemon that this program did not start, whatever the flags are. The command line of
// earlier versions still works.
func TestReplayWithholdsRenewals(t *testing.T) {
	fleet, err := standin.StartFleet(standin.FleetConfig{
		DaemonPath: daemon,
		Dir:        t.TempDir(),
		Workers:    3,
		Seed:       1,
		Classes: []standin.ClassConfig{
			{Name: "renewal", Timeout: 8 * time.Second},
			{Name: "status-check", Retryable: true, Timeout: 5 * time.Second},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	log := writeFile(t, "a.log", oneOfEachLog)

	const seed = 3
	announcedIDs := []string{replay.ID(seed, 0), replay.ID(seed, 1)}
	t.Run("recording", func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "a.rec")
		if imported := runCommand("import", "--rules", rulesFile, "-o", path, log); imported.exitCode != exitSuccess {
			t.Fatal(imported)
		}
		for _, id := range announcedIDs { // a stand-in executes only jobs whose ids it knows
			fleet.Ledger.Announce(standin.Job{ID: id, Class: "status-check", Retryable: true, ServiceTime: time.Millisecond})
		}
		got, result := replayOneOfEach(t, "replay", "--recording", path, "--to", fleet.Addr, "--seed", "3", "--json")
		if result.exitCode != exitSuccess || got.Classes["status-check"].Served != 1 {
			t.Errorf("%v, want a status check served", result)
		}
	})
	t.Run("earlier command line", func(t *testing.T) {
		_, result := replayOneOfEach(t, "-in", log, "-rules", rulesFile, "-to", fleet.Addr, "-front", "platform", "-json")
		if !strings.Contains(result.errOut, "a.log: line 3, byte ") {
			t.Errorf("the malformed line is not reported: %s", result.errOut)
		}
	})
	for _, id := range fleet.Ledger.ExecutedIDs() {
		if id != announcedIDs[0] && id != announcedIDs[1] {
			t.Errorf("job %s was executed and not announced", id)
		}
	}
}

// startAnswering starts a server that writes answer as soon as a connection has sent something, and then closes the
// connection. It returns its address.
func startAnswering(t *testing.T, answer string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	handle := func(conn net.Conn) {
		defer conn.Close()
		received, _ := conn.Read(make([]byte, 4096))
		if received > 0 && answer != "" {
			io.WriteString(conn, answer)
			time.Sleep(50 * time.Millisecond)
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(conn)
		}
	}()
	return listener.Addr().String()
}

// A dispatcher violates a rule if it answers twice, does not answer before it closes the connection, or does not send
// HTTP.
func TestReplayFindsRuleViolations(t *testing.T) {
	path := importedRecording(t, 3, 100)
	for name, answer := range map[string]string{
		"no answer":     "",
		"answers twice": strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 2),
		"no HTTP":       "what?\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			result := runCommand("replay", "--recording", path, "--to", startAnswering(t, answer))
			if result.exitCode != exitViolation || !strings.Contains(result.errOut, "rules broken") {
				t.Errorf("%v, want a violation", result)
			}
		})
	}
}
