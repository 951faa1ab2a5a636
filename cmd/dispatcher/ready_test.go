package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/testkit"
)

// These tests start the program while discovery does not answer. The program is ready and
// serves with its initial endpoint list.

// settingsWithPeers returns the settings of a dispatcher in a fleet of peers. discovery says
// whether the dispatchers call discovery themselves ("ask") or have an agent that pushes the
// endpoint list ("push").
func settingsWithPeers(peers int, discovery string) json.RawMessage {
	text := strings.NewReplacer(
		`"peers_total":1,`, fmt.Sprintf(`"peers_total":%d,`, peers),
		`"discovery":"ask"`, fmt.Sprintf(`"discovery":%q`, discovery),
	).Replace(settingsWithIdle(defaultConnectionIdle))
	return json.RawMessage(text)
}

// startFailingDiscovery starts a discovery that calls fail with the connection of each call.
// Connections that fail leaves open are closed at the end of the test.
func startFailingDiscovery(t *testing.T, fail func(net.Conn)) (address string) {
	t.Helper()
	listener := listenLocal(t)
	go acceptConnections(listener, func(conn net.Conn) {
		t.Cleanup(func() { conn.Close() })
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			fail(conn)
		}
	})
	return listener.Addr().String()
}

// A process whose initial endpoint list has a ready worker is ready and serves, however its
// calls to discovery fail.
func TestReadyWithoutDiscovery(t *testing.T) {
	for name, fail := range map[string]func(net.Conn){
		"down":   nil,
		"silent": func(net.Conn) {},
		"late":   func(conn net.Conn) { fmt.Fprint(conn, watchHead) },
		"crowded": func(conn net.Conn) {
			fmt.Fprint(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		},
		"reset": func(conn net.Conn) {
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		},
	} {
		for _, peers := range []int{1, 300} {
			for _, discovery := range []string{"ask", "push"} {
				t.Run(fmt.Sprintf("%s/%d/%s", name, peers, discovery), func(t *testing.T) {
					t.Parallel()
					address := ""
					if fail == nil {
						address = testkit.RefusingAddress(t)
					} else {
						address = startFailingDiscovery(t, fail)
					}
					daemon := &testDaemon{t: t}
					daemon.config = map[string]any{"discovery": address, "settings": settingsWithPeers(peers, discovery)}
					daemon.addWorker("s-1", respondDone)
					daemon.start()
					for i := range 3 {
						if status := daemon.postStatus("renewal", fmt.Sprint("ready-", i)); status != 200 {
							t.Errorf("request %d: %d", i, status)
						}
					}
				})
			}
		}
	}
}

// A process whose initial endpoint list has no ready worker is not ready until discovery sends
// one.
func TestNotReadyWithoutWorkers(t *testing.T) {
	const draining = `[{"host":"s-0","dial":"127.0.0.1:9","site":"here","class":"m","health":"draining","share":1}]`
	for _, test := range []struct{ hosts, discovery string }{
		{`[]`, "ask"},
		{draining, "ask"},
		{`[]`, "push"},
		{draining, "push"},
	} {
		t.Run(test.discovery+" "+test.hosts, func(t *testing.T) {
			daemon := &testDaemon{
				t:         t,
				discovery: &testDiscovery{t: t, firstLines: make(chan string, 100)},
				listen:    unusedAddress(t),
				config: map[string]any{
					"known":    json.RawMessage(`{"seq":41,"whole":true,"hosts":` + test.hosts + `}`),
					"settings": settingsWithPeers(300, test.discovery),
				},
			}
			worker := daemon.addWorker("s-1", respondDone)
			earlyStatus := make(chan int, 1)
			go func() {
				earlyStatus <- waitForHealthz(daemon.listen)
				daemon.discovery.sendFirstLines(endpointList(42, true, worker.listEntry("ready")))
			}()
			daemon.start()
			if status := <-earlyStatus; status != 503 {
				t.Errorf("healthz returns %d while no worker is known", status)
			}
			if status := daemon.postStatus("renewal", "one"); status != 200 {
				t.Errorf("status %d", status)
			}
		})
	}
}

// waitForHealthz requests /healthz until it is answered, and returns the status.
func waitForHealthz(address string) int {
	for {
		response, err := http.Get("http://" + address + "/healthz")
		if err == nil {
			response.Body.Close()
			return response.StatusCode
		}
	}
}

// sendFirstLines makes a line the first line of all watches to come. A watch that is open and
// waits for its first line gets it too.
func (s *testDiscovery) sendFirstLines(line string) {
	for range cap(s.firstLines) {
		s.firstLines <- line
	}
}

// While discovery does not answer, idle clients use all descriptors that they can get. The
// process is ready and serves, does not exceed its limit of descriptors, and applies the list
// once discovery answers again.
func TestReadyBesideIdleClients(t *testing.T) {
	const descriptorLimit = 64
	var discoveryIsBack atomic.Bool
	discovery := &testDiscovery{t: t, firstLines: make(chan string, 100)}
	discovery.answer = func(conn net.Conn) {
		if discoveryIsBack.Load() {
			discovery.answerWatch(conn, "")
		}
	}
	daemon := &testDaemon{t: t, discovery: discovery, config: limitedDescriptors(descriptorLimit)}
	daemon.addWorker("s-1", respondDone)
	daemon.start()

	const clients, clientsPerCheck = 200, 50
	for i := range clients {
		if conn, err := net.Dial("tcp", daemon.listen); err == nil {
			t.Cleanup(func() { conn.Close() })
		}
		if i%clientsPerCheck < clientsPerCheck-1 {
			continue
		}
		if descriptors := daemon.openDescriptors(); descriptors > descriptorLimit {
			t.Errorf("%d descriptors", descriptors)
		}
		if status := daemon.health(); status != 200 {
			t.Errorf("with %d idle clients: healthz returns %d", i, status)
		}
		if status := daemon.postStatus("renewal", fmt.Sprint("beside-", i)); status != 200 {
			t.Errorf("a request with %d idle clients: %d", i, status)
		}
	}

	added := daemon.addWorker("s-2", respondDone)
	discovery.sendFirstLines(endpointList(42, true, added.listEntry("ready")))
	discoveryIsBack.Store(true)
	discovery.waitForWatch()
	daemon.waitUntil("the new worker serves", func() bool {
		daemon.post("status-check", fmt.Sprint("after-", time.Now().UnixNano()), "x", 500)
		return len(added.requests()) > 0
	})
}
