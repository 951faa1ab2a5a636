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

// These tests start the program while discovery does not answer: it is ready by its
// initial endpoint list, and serves.

// settingsOf returns the settings of one of several dispatchers, which call discovery
// themselves ("ask") or have an agent that pushes the endpoint list ("push").
func settingsOf(peers int, discovery string) json.RawMessage {
	text := strings.NewReplacer(
		`"peers_total":1,`, fmt.Sprintf(`"peers_total":%d,`, peers),
		`"discovery":"ask"`, fmt.Sprintf(`"discovery":%q`, discovery),
	).Replace(settingsWithIdle(defaultConnectionIdle))
	return json.RawMessage(text)
}

// startOutage starts a discovery that has end carried out on each call. Connections that
// end leaves open stay so until the end of the test.
func startOutage(t *testing.T, end func(net.Conn)) (address string) {
	t.Helper()
	listener := listenLocal(t)
	go acceptConnections(listener, func(conn net.Conn) {
		t.Cleanup(func() { conn.Close() })
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			end(conn)
		}
	})
	return listener.Addr().String()
}

// A process that knows a worker is ready and serves, however its calls to discovery end.
func TestReadyWithoutDiscovery(t *testing.T) {
	for name, end := range map[string]func(net.Conn){
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
					if end == nil {
						address = testkit.RefusingAddress(t)
					} else {
						address = startOutage(t, end)
					}
					daemon := &testDaemon{t: t}
					daemon.config = map[string]any{"discovery": address, "settings": settingsOf(peers, discovery)}
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

// A process that knows no worker is not ready until discovery, which is late, has one.
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
					"settings": settingsOf(300, test.discovery),
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
				t.Errorf("healthz says %d while no worker is known", status)
			}
			if status := daemon.postStatus("renewal", "one"); status != 200 {
				t.Errorf("status %d", status)
			}
		})
	}
}

// waitForHealthz returns the first status of healthz, as soon as an address is served.
func waitForHealthz(address string) int {
	for {
		response, err := http.Get("http://" + address + "/healthz")
		if err == nil {
			response.Body.Close()
			return response.StatusCode
		}
	}
}

// sendFirstLines sends a line on whichever watches are open or will be.
func (s *testDiscovery) sendFirstLines(line string) {
	for range cap(s.firstLines) {
		s.firstLines <- line
	}
}

// Idle clients use all descriptors that they can get while discovery is down. The process
// is ready, serves, gets its workers once discovery is back, and keeps to its limit.
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
			t.Errorf("beside %d clients: healthz says %d", i, status)
		}
		if status := daemon.postStatus("renewal", fmt.Sprint("beside-", i)); status != 200 {
			t.Errorf("beside %d clients: %d", i, status)
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
