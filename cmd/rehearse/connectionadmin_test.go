package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"hollyyoke.example/hollyyoke/internal/rehearsal/standin"
)

const connectionTimeout = 5 * time.Second

// limitedOperatorFile allows three open connections for each client address and trusts 127.8.0.1 as a proxy.
const limitedOperatorFile = `[connections]
on = true
known = ["127.9.0.0/24"]
fronts = ["127.8.0.1/32"]
address_open_connections = 3
`

// limitedFleet is a daemon with limitedOperatorFile, and clients that connect to it from chosen addresses.
type limitedFleet struct {
	*standin.Fleet
	t            *testing.T
	operatorFile string
}

func startLimitedFleet(t *testing.T) *limitedFleet {
	t.Helper()
	operatorFile := writeFile(t, "operator.toml", limitedOperatorFile)
	fleet, err := standin.StartFleet(standin.FleetConfig{
		DaemonPath: daemon,
		Dir:        t.TempDir(),
		Workers:    2,
		Operator:   operatorFile,
		Classes:    []standin.ClassConfig{{Name: "status-check", Retryable: true, Timeout: 5 * time.Second}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	return &limitedFleet{Fleet: fleet, t: t, operatorFile: operatorFile}
}

// dial opens a connection to the daemon from an address.
func (f *limitedFleet) dial(from string) net.Conn {
	f.t.Helper()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}, Timeout: connectionTimeout}
	conn, err := dialer.Dial("tcp", f.Addr)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { conn.Close() })
	return conn
}

// isServed reports whether a health check on a connection is answered with 200.
func isServed(conn net.Conn) bool { return isServedAfter(conn, "") }

// isServedAfter is like isServed, but sends prefix before the health check.
func isServedAfter(conn net.Conn, prefix string) bool {
	conn.SetDeadline(time.Now().Add(connectionTimeout))
	fmt.Fprintf(conn, "%sGET /healthz HTTP/1.1\r\nHost: x\r\n\r\n", prefix)
	response := make([]byte, 4096)
	received, _ := conn.Read(response)
	return bytes.HasPrefix(response[:received], []byte("HTTP/1.1 200"))
}

// servesFrom reports whether a new connection from an address is served.
func (f *limitedFleet) servesFrom(address string) bool {
	f.t.Helper()
	return isServed(f.dial(address))
}

// proxyHeader is the header of the PROXY protocol that names a client.
func proxyHeader(client string) string { return "PROXY TCP4 " + client + " 10.0.0.2 1 2\r\n" }

// servesProxied reports whether a new connection of the proxy for a client is served.
func (f *limitedFleet) servesProxied(client string) bool {
	f.t.Helper()
	return isServedAfter(f.dial("127.8.0.1"), proxyHeader(client))
}

// callAdmin calls the admin API.
func (f *limitedFleet) callAdmin(method, path string) (status int, body string) {
	f.t.Helper()
	request, err := http.NewRequest(method, "http://"+f.AdminAddress()+path, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		f.t.Fatal(err)
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}

// reload replaces the operator file, sends SIGHUP and waits until the daemon has logged wantLogged once more.
func (f *limitedFleet) reload(operatorFile, wantLogged string) {
	f.t.Helper()
	if err := os.WriteFile(f.operatorFile, []byte(operatorFile), 0o600); err != nil {
		f.t.Fatal(err)
	}
	loggedBefore := strings.Count(f.Log.String(), wantLogged)
	unix.Kill(f.PID(), unix.SIGHUP)
	deadline := time.Now().Add(10 * time.Second)
	for strings.Count(f.Log.String(), wantLogged) == loggedBefore {
		if time.Now().After(deadline) {
			f.t.Fatalf("the daemon does not log %q:\n%s", wantLogged, f.Log.String())
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func TestAddressConnectionLimit(t *testing.T) {
	fleet := startLimitedFleet(t)
	for i := range 3 {
		if !fleet.servesFrom("127.0.0.5") {
			t.Errorf("connection %d from an address is within its limit, but is not served", i+1)
		}
	}
	if fleet.servesFrom("127.0.0.5") {
		t.Error("a fourth connection from an address, beyond its limit, is served")
	}
}

// The header of the PROXY protocol names the client of a proxy's connection. The limits apply to that client.
func TestProxyHeaderNamesClient(t *testing.T) {
	fleet := startLimitedFleet(t)
	for i := range 3 {
		if !fleet.servesProxied("10.0.0.1") {
			t.Errorf("connection %d of a proxy's client is within its limit, but is not served", i+1)
		}
	}
	if fleet.servesProxied("10.0.0.1") {
		t.Error("a fourth connection of a proxy's client, beyond its limit, is served")
	}
	if !fleet.servesProxied("10.0.0.9") {
		t.Error("a connection of another client of the proxy is not served")
	}
	if fleet.servesFrom("127.8.0.1") {
		t.Error("a connection of the proxy without the header is served")
	}
	if isServedAfter(fleet.dial("127.0.0.77"), proxyHeader("10.0.0.1")) {
		t.Error("a connection with the header from an address that is not a trusted proxy is served")
	}
}

// The admin API blocks a prefix, which closes its connections, and unblocks it.
func TestBlockedPrefix(t *testing.T) {
	fleet := startLimitedFleet(t)
	open := fleet.dial("127.0.0.5")
	if !isServed(open) || !fleet.servesFrom("127.0.0.5") || !fleet.servesFrom("127.0.0.5") {
		t.Fatal("not served before the block")
	}
	status, body := fleet.callAdmin("PUT", "/control/connections/bar?prefix=127.0.0.0/28&for=1h")
	if status != http.StatusOK || !strings.Contains(body, "3 sessions ended") {
		t.Errorf("block: %d %s, want the three connections ended", status, body)
	}
	if isServed(open) || fleet.servesFrom("127.0.0.6") {
		t.Error("the block does not apply to its prefix")
	}
	if !fleet.servesFrom("127.0.0.99") || !fleet.servesFrom("127.9.0.1") {
		t.Error("the block applies to other addresses than those of its prefix")
	}
	_, body = fleet.callAdmin("GET", "/control/connections")
	if !strings.Contains(body, `"prefix":"127.0.0.0/28"`) || !strings.Contains(body, `"barred":1`) {
		t.Errorf("connections: %s, want the prefix and one rejection by it", body)
	}
	status, _ = fleet.callAdmin("PUT", "/control/connections/unbar?prefix=127.0.0.0/29")
	if status != http.StatusConflict {
		t.Errorf("unblock of a part of the prefix: %d, want 409", status)
	}
	status, _ = fleet.callAdmin("PUT", "/control/connections/unbar?prefix=127.0.0.0/28")
	if status != http.StatusOK {
		t.Errorf("unblock: %d, want 200", status)
	}
	if !fleet.servesFrom("127.0.0.6") {
		t.Error("not admitted after the unblock")
	}
}

func TestBlockRejectsInvalidRequests(t *testing.T) {
	fleet := startLimitedFleet(t)
	for path, want := range map[string]int{
		"unbar?prefix=127.0.0.0/29": http.StatusConflict, // not blocked
		"bar?prefix=x&for=1h":       http.StatusBadRequest,
		"bar?prefix=127.0.0.6":      http.StatusBadRequest, // the duration is missing
	} {
		status, body := fleet.callAdmin("PUT", "/control/connections/"+path)
		if status != want {
			t.Errorf("%s: %d %s, want %d", path, status, body, want)
		}
	}
}

// If the operator file lowers a limit and SIGHUP reloads it, the limit applies to new connections only; open ones stay. An
// invalid file changes nothing.
func TestReloadLowersConnectionLimit(t *testing.T) {
	const address = "127.0.0.40"
	fleet := startLimitedFleet(t)
	first := fleet.dial(address)
	second := fleet.dial(address)
	if !isServed(first) || !isServed(second) {
		t.Fatal("two of three allowed connections are not served")
	}
	lowered := strings.Replace(limitedOperatorFile, "connections = 3", "connections = 1", 1)
	fleet.reload(lowered, "connection limits are applied from the operator's file")
	if !isServed(first) || !isServed(second) {
		t.Error("open connections beyond the lowered limit are not served any more")
	}
	if fleet.servesFrom(address) {
		t.Error("a new connection beyond the lowered limit is served")
	}
	if !fleet.servesFrom("127.0.0.41") {
		t.Error("the first connection of another address is not served")
	}
	fleet.reload(limitedOperatorFile+"knwon = []\n", "unknown key")
	if fleet.servesFrom(address) {
		t.Error("an invalid file changed the limits")
	}
}
