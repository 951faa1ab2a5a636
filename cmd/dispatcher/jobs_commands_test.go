package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// The operators' commands, through the admin API of a running dispatcher and on the
// store of a stopped one; each operation is in the audit log with its reason.
func TestJobsCommands(t *testing.T) {
	dir := t.TempDir()
	writeDurableConfig(t, dir, 0.2)
	dispatcher := startDurable(t, builtProgram, dir)
	defer func() { dispatcher.Process.Kill() }()
	adminAddress, _ := os.ReadFile(filepath.Join(dir, "admin"))
	readAdminAddress := func() { adminAddress, _ = os.ReadFile(filepath.Join(dir, "admin")) }
	jobs := func(where string, args ...string) (string, error) {
		var out bytes.Buffer
		flag := []string{"--door", string(adminAddress)}
		if where == "file" {
			flag = []string{"--store", filepath.Join(dir, "jobs.db")}
		}
		err := command(append(append([]string{"jobs"}, flag...), args...), func(string) string { return "" }, &out, &out)
		return out.String(), err
	}
	must := func(want, where string, args ...string) string {
		t.Helper()
		got, err := jobs(where, args...)
		if err != nil || !strings.Contains(got, want) {
			t.Fatalf("%s %v: %q, %v; want %q", where, args, got, err, want)
		}
		return got
	}
	mustNot := func(want, where string, args ...string) {
		t.Helper()
		if got, err := jobs(where, args...); err == nil || !strings.Contains(err.Error(), want) {
			t.Fatalf("%s %v: %q, %v; want the error %q", where, args, got, err, want)
		}
	}
	do := func(c *faktoryClient, command string) {
		t.Helper()
		if got, err := c.do(command); err != nil || strings.HasPrefix(got, "-") {
			t.Fatalf("%s: %q, %v", command, got, err)
		}
	}
	client := func(wid string) *faktoryClient {
		c, err := dialFaktory(dir, map[string]any{"wid": wid, "labels": []string{"born_ms:1"}})
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	p := client("")
	push := func(id, more string) {
		t.Helper()
		do(p, fmt.Sprintf(`PUSH {"jid":%q,"queue":"renewal","jobtype":"renewal","args":["member 7"]%s}`, id, more))
	}
	fetch := func(c *faktoryClient) {
		t.Helper()
		for end := time.Now().Add(testTimeout); ; {
			if got, err := c.do("FETCH renewal"); err != nil || time.Now().After(end) {
				t.Fatalf("FETCH: %q, %v", got, err)
			} else if strings.Contains(got, "jid") {
				return
			}
		}
	}
	push("doubt-0001", "")
	fetch(client("w1"))
	push("doubt-0002", "")
	fetch(client("w2"))
	for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		if got := must("", "admin", "list", "--state", "in doubt"); strings.Count(got, "may have run") == 2 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("not in doubt in time")
		}
	}
	far := time.Now().Add(time.Hour).Format(time.RFC3339)
	push("later-0001", `,"at":"`+far+`"`)
	for i := range 250 {
		push(fmt.Sprintf("later-1%03d", i), `,"at":"`+far+`"`)
	}
	must(`"member 7"`, "admin", "show", "doubt-0001")
	mustNot("either --store or --door", "admin", "--store", "x", "list")
	mustNot("state:", "admin", "list", "--state", "lost")
	mustNot("no such job", "admin", "show", "nobody")
	mustNot("reason", "admin", "settle", "doubt-0001", "--ran")
	mustNot("not in doubt", "admin", "settle", "later-0001", "--ran", "--reason", "x")
	mustNot("needs --store", "admin", "verify")
	must("", "admin", "settle", "doubt-0001", "--ran", "--reason", "the till shows it")
	must("done", "admin", "list", "--state", "done")
	must("", "admin", "discard", "later-0001", "--reason", "asked twice")
	if got := must("", "admin", "list"); strings.Count(got, "\n") != 253 {
		t.Errorf("the list over pages has %d lines", strings.Count(got, "\n"))
	}
	if got := must("", "admin", "list", "--limit", "3"); strings.Count(got, "\n") != 3 || !strings.HasPrefix(got, "doubt-0001") {
		t.Errorf("three are %q", got)
	}
	mustNot("another process has it open", "file", "list")
	mustNot("another process has it open", "file", "compact")
	must("", "admin", "snapshot", "copy.db")
	mustNot("there is a file already", "admin", "snapshot", "copy.db")
	mustNot("no plain file name", "admin", "snapshot", "../copy.db")
	dispatcher.Process.Kill()
	dispatcher.Wait()
	must("whole", "file", "verify")
	all := must("doubt-0002", "file", "list")
	must("bytes now", "file", "compact")
	must("", "file", "snapshot", "second.db")
	for _, name := range []string{"jobs.db", "copy.db", "second.db"} {
		var out bytes.Buffer
		if err := command([]string{"jobs", "--store", filepath.Join(dir, name), "list"}, os.Getenv, &out, &out); err != nil || out.String() != all {
			t.Errorf("%s: %v; %d lines, want %d", name, err, strings.Count(out.String(), "\n"), strings.Count(all, "\n"))
		}
	}
	must("", "file", "settle", "doubt-0002", "--not-ran", "--reason", "the till has no such member")
	mustNot("not in doubt", "file", "settle", "doubt-0002", "--ran", "--reason", "x")
	must("ready", "file", "list", "--state", "ready")
	must("", "file", "retry", "later-1007", "--reason", "the member waits")
	if got := must(`"args":["member 7"]`, "file", "export"); strings.Count(got, "\n") != 253 {
		t.Errorf("the export has %d lines", strings.Count(got, "\n"))
	}
	audit := must("", "file", "audit")
	for _, want := range []string{"in doubt", "the till shows it", "settled: it did not run", "asked twice", "the member waits"} {
		if !strings.Contains(audit, want) {
			t.Errorf("the audit lacks %q: %s", want, audit)
		}
	}
	writeDurableConfig(t, dir, 60)                  // no lease expires from here on, however slow the machine is
	dispatcher = startDurable(t, builtProgram, dir) // what was resolved or retried runs
	readAdminAddress()
	w := client("w3")
	fetch(w)
	fetch(client("w4"))
	if got := must("", "admin", "list", "--state", "leased"); !strings.Contains(got, "doubt-0002") || !strings.Contains(got, "later-1007") {
		t.Errorf("leased: %q", got)
	}
	dispatcher.Process.Signal(syscall.SIGTERM)
	dispatcher.Wait()
	// A damaged record is reported, and nothing is skipped.
	path := filepath.Join(dir, "jobs.db")
	text, _ := os.ReadFile(path)
	os.WriteFile(path, bytes.ReplaceAll(text, []byte("later-1003\",\"Class"), []byte("later-1003\",\"Clqss")), 0o600)
	mustNot("later-1003", "file", "verify")
	mustNot("later-1003", "file", "list")
}
