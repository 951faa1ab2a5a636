package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/rehearsal/standin"
)

// operatorFile writes the shipped operator file with a reserve that fits a small daemon.
func operatorFile(t *testing.T) string {
	text, err := os.ReadFile("../../deploy/operator.toml")
	if err != nil {
		t.Fatal(err)
	}
	return write(t, "operator.toml", strings.Replace(string(text), "reserve_connections = 128", "reserve_connections = 40", 1))
}

func smallFlood() *floodCmd {
	return &floodCmd{Hostile: 700, Sources: 64, Sockets: 220, Clients: 8, Rate: 60, Duration: 4 * time.Second, Seed: 1, Daemon: daemon}
}

// Known clients are served during a flood if connection admission is on, and not if it is off; every accepted request has
// one final answer.
func TestFlood(t *testing.T) {
	c := smallFlood()
	on, err := c.runPart(floodPart{name: "on", operator: operatorFile(t), hostile: c.Hostile})
	if err != nil {
		t.Fatal(err)
	}
	off, err := c.runPart(floodPart{name: "off", hostile: c.Hostile})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("on: %d of %d answered, %d served in time; off: %d answered, %d in time", on.Answered, on.Sent, on.WithinObjective, off.Answered, off.WithinObjective)
	if !on.RulesHeld || !off.RulesHeld {
		t.Errorf("on: %s; off: %s", on.Summary, off.Summary)
	}
	if on.percent(on.Answered) < 99 || on.percent(on.WithinObjective) < 80 || on.WithinObjective <= off.WithinObjective {
		t.Errorf("on: %+v\noff: %+v", on, off)
	}
	var connections struct {
		connlimit.View
		Descriptors map[string]map[string]int `json:"descriptors"`
	}
	if err := json.Unmarshal(on.Connections, &connections); err != nil || connections.Trust["unknown"] == 0 || connections.Reserve != 40 || len(connections.Rejections) == 0 || connections.Descriptors["backends"]["floor"] == 0 {
		t.Errorf("connections by the admin API: %v, %s", err, on.Connections)
	}
}

// The system's descriptor limit falls below what is open under load, and rises again: no accepted request is lost, the
// daemon does not spin, and service recovers.
func TestDescriptorsRunOut(t *testing.T) {
	c := smallFlood()
	c.Hostile = 200
	c.Rate = 120
	c.Duration = 6 * time.Second
	var before, after time.Duration
	var fleet *standin.Fleet
	exhaust := func(f *standin.Fleet) {
		fleet = f
		time.Sleep(2 * time.Second)
		var limit unix.Rlimit
		if unix.Prlimit(f.PID(), unix.RLIMIT_NOFILE, nil, &limit) != nil {
			return
		}
		before = f.CPU()
		unix.Prlimit(f.PID(), unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 16, Max: limit.Max}, nil)
		time.Sleep(2 * time.Second)
		after = f.CPU()
		unix.Prlimit(f.PID(), unix.RLIMIT_NOFILE, &limit, nil)
	}
	result, err := c.runPart(floodPart{name: "exhausted", operator: operatorFile(t), hostile: c.Hostile, during: exhaust})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if t.Failed() {
			t.Log(fleet.Log.String())
		}
	}()
	if result.lost > 0 || !result.RulesHeld {
		t.Errorf("%d lost or twice: %s, %v", result.lost, result.Summary, result.Failures)
	}
	if spent := after - before; spent > time.Second {
		t.Errorf("%v of processor time in 2 s without descriptors", spent)
	}
	for i, s := range result.seconds {
		t.Logf("second %d: sent %d, served %d, refused %d, failed %d, lost %d", i, s.Replayed, s.Served, s.Rejected, s.Failed, s.Lost)
	}
	last := result.seconds[6] // the last complete second of sending, two after the limit rose
	if last.Served < last.Replayed*9/10 || last.Replayed < 80 {
		t.Errorf("after it: %+v", last)
	}
}

// The admin API blocks a prefix, closes its connections and unblocks it; SIGHUP changes limits; a proxy's PROXY header
// names the client of a connection.
func TestConnectionAdmin(t *testing.T) {
	operator := func(more string) string {
		return "[connections]\non = true\nknown = [\"127.9.0.0/24\"]\nfronts = [\"127.8.0.1/32\"]\naddress_open_connections = 3\n" + more
	}
	file := write(t, "operator.toml", operator(""))
	f, err := standin.StartFleet(standin.FleetConfig{Daemon: daemon, Dir: t.TempDir(), Workers: 2, Operator: file,
		Classes: []standin.ClassConfig{{Name: "status-check", Retryable: true, Timeout: 5 * time.Second}}})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	call := func(method, path string) (int, string) {
		request, _ := http.NewRequest(method, "http://"+f.AdminAddress()+path, nil)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		text, _ := io.ReadAll(response.Body)
		return response.StatusCode, string(text)
	}
	// dial connects from an address.
	dial := func(from string) net.Conn {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}, Timeout: 5 * time.Second}
		conn, err := d.Dial("tcp", f.Addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	// health reports whether a health request, after what comes before it, is answered with 200.
	health := func(conn net.Conn, before string) bool {
		conn.SetDeadline(time.Now().Add(5 * time.Second))
		fmt.Fprintf(conn, "%sGET /healthz HTTP/1.1\r\nHost: x\r\n\r\n", before)
		buf := make([]byte, 4096)
		n, _ := conn.Read(buf)
		return bytes.HasPrefix(buf[:n], []byte("HTTP/1.1 200"))
	}
	first := dial("127.0.0.5")
	if !health(first, "") || !health(dial("127.0.0.5"), "") || !health(dial("127.0.0.5"), "") || health(dial("127.0.0.5"), "") {
		t.Error("the limit of three connections is not kept")
	}
	proxied := func(client string) bool {
		return health(dial("127.8.0.1"), "PROXY TCP4 "+client+" 10.0.0.2 1 2\r\n")
	}
	for i := range 3 {
		if !proxied("10.0.0.1") {
			t.Errorf("connection %d of a proxy's client is within its limit and not served", i+1)
		}
	}
	if proxied("10.0.0.1") {
		t.Error("a fourth connection of a proxy's client is served, beyond its limit")
	}
	if !proxied("10.0.0.9") {
		t.Error("another client of the proxy shares the first one's limit")
	}
	if health(dial("127.8.0.1"), "") {
		t.Error("a proxy without its header is served")
	}
	if health(dial("127.0.0.77"), "PROXY TCP4 10.0.0.1 10.0.0.2 1 2\r\n") {
		t.Error("the header of a client that is no proxy is accepted")
	}
	if code, text := call("PUT", "/control/connections/bar?prefix=127.0.0.0/28&for=1h"); code != 200 || !strings.Contains(text, "3 sessions ended") {
		t.Errorf("block: %d %s", code, text)
	}
	if health(first, "") || health(dial("127.0.0.6"), "") || !health(dial("127.0.0.99"), "") || !health(dial("127.9.0.1"), "") {
		t.Error("the block does not apply to its prefix, or applies to others")
	}
	if _, text := call("GET", "/control/connections"); !strings.Contains(text, `"prefix":"127.0.0.0/28"`) || !strings.Contains(text, `"barred":1`) {
		t.Errorf("connections: %s", text)
	}
	for path, want := range map[string]int{"unbar?prefix=127.0.0.0/28": 200, "unbar?prefix=127.0.0.0/29": 409, "bar?prefix=x&for=1h": 400, "bar?prefix=127.0.0.6": 400} {
		if code, _ := call("PUT", "/control/connections/"+path); code != want {
			t.Errorf("%s: %d, want %d", path, code, want)
		}
	}
	if !health(dial("127.0.0.6"), "") {
		t.Error("not admitted after the unblock")
	}
	// SIGHUP lowers limits; open connections stay; an invalid file changes nothing.
	rewrite := func(text, logged string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		n := strings.Count(f.Log.String(), logged)
		unix.Kill(f.PID(), unix.SIGHUP)
		for end := time.Now().Add(10 * time.Second); strings.Count(f.Log.String(), logged) == n; time.Sleep(2 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("it does not log %q:\n%s", logged, f.Log.String())
			}
		}
	}
	a, b := dial("127.0.0.40"), dial("127.0.0.40")
	if !health(a, "") || !health(b, "") {
		t.Fatal("two of three")
	}
	rewrite(strings.Replace(operator(""), "connections = 3", "connections = 1", 1), "connection limits are applied from the operator's file")
	if !health(a, "") || !health(b, "") || health(dial("127.0.0.40"), "") || !health(dial("127.0.0.41"), "") {
		t.Error("limits lowered by SIGHUP")
	}
	rewrite(operator("knwon = []\n"), "unknown key")
	if health(dial("127.0.0.40"), "") {
		t.Error("an invalid file changed the limits")
	}
}
