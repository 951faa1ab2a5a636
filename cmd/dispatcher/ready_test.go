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

// settingsOf returns the settings of one of several dispatchers, which poll the endpoint
// list or watch it.
func settingsOf(peers int, discovery string) json.RawMessage {
	text := strings.NewReplacer("CONN_IDLE", "10000000", `"peers_total":1,`, fmt.Sprintf(`"peers_total":%d,`, peers),
		`"discovery":"ask"`, fmt.Sprintf(`"discovery":%q`, discovery)).Replace(settingsText)
	return json.RawMessage(text)
}

// outage starts a discovery at which every call ends in the same way.
func outage(t *testing.T, end func(net.Conn)) (addr string) {
	ln := listenLocal(t)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					end(conn)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// A process that knows a worker is ready and serves, however its calls to discovery end.
func TestReadyWithoutDiscovery(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, end := range map[string]func(net.Conn){
		"down":   nil,
		"silent": func(net.Conn) {},
		"late":   func(conn net.Conn) { fmt.Fprint(conn, head) },
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
					addr := ""
					if end == nil {
						addr = testkit.RefusingAddress(t)
					} else {
						addr = outage(t, end)
					}
					d := &testDaemon{t: t, config: map[string]any{"discovery": addr, "settings": settingsOf(peers, discovery)}}
					d.addWorker("s-1", respondDone)
					d.start()
					for i := range 3 {
						if status, _, _ := d.post("renewal", fmt.Sprint("ready-", i), "x", 0); status != 200 {
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
	for _, x := range []struct{ known, discovery string }{{`[]`, "ask"}, {draining, "ask"}, {`[]`, "push"}, {draining, "push"}} {
		t.Run(x.discovery+" "+x.known, func(t *testing.T) {
			other := &testDaemon{t: t, firstLine: make(chan string, 100)}
			d := &testDaemon{t: t, listen: unusedAddress(t), config: map[string]any{
				"known":     json.RawMessage(`{"seq":41,"whole":true,"hosts":` + x.known + `}`),
				"discovery": other.startDiscovery(), "settings": settingsOf(300, x.discovery),
			}}
			b := d.addWorker("s-1", respondDone)
			early, url := make(chan int, 1), "http://"+d.listen+"/healthz"
			go func() {
				for len(early) == 0 {
					if resp, err := http.Get(url); err == nil {
						resp.Body.Close()
						early <- resp.StatusCode
					}
				}
				for range cap(other.firstLine) { // for whichever call is open
					other.firstLine <- `{"seq":42,"whole":true,"hosts":[` + b.listEntry("ready") + `]}`
				}
			}()
			d.start()
			if status := <-early; status != 503 {
				t.Errorf("healthz says %d while no worker is known", status)
			}
			if status, _, _ := d.post("renewal", "one", "x", 0); status != 200 {
				t.Errorf("status %d", status)
			}
		})
	}
}

// Idle clients use all descriptors that they can get while discovery is down. The process
// is ready, serves, gets its workers once discovery is back, and keeps to its limit.
func TestReadyBesideIdleClients(t *testing.T) {
	const most = 64
	other := &testDaemon{t: t, watches: make(chan string, 100), changes: make(chan string, 100), firstLine: make(chan string, 100)}
	var back atomic.Bool
	d := &testDaemon{t: t, config: map[string]any{
		"limits": map[string]any{"sockets": most, "memory_mb": 192},
		"discovery": outage(t, func(conn net.Conn) {
			if back.Load() {
				other.answerWatch(conn, "")
			} else {
				conn.Close()
			}
		}),
	}}
	d.addWorker("s-1", respondDone)
	d.start()
	for i := range 200 {
		if conn, err := net.Dial("tcp", d.listen); err == nil {
			t.Cleanup(func() { conn.Close() })
		}
		if i%50 < 49 {
			continue
		}
		if n := openDescriptors(d); n > most {
			t.Errorf("%d descriptors", n)
		}
		if status := d.health(); status != 200 {
			t.Errorf("beside %d clients: healthz says %d", i, status)
		}
		if status, _, _ := d.post("renewal", fmt.Sprint("beside-", i), "x", 0); status != 200 {
			t.Errorf("beside %d clients: %d", i, status)
		}
	}
	fresh := d.addWorker("s-2", respondDone)
	for range cap(other.firstLine) {
		other.firstLine <- `{"seq":42,"whole":true,"hosts":[` + fresh.listEntry("ready") + `]}`
	}
	back.Store(true)
	other.waitForWatch()
	d.waitUntil("the new worker serves", func() bool {
		d.post("status-check", fmt.Sprint("after-", time.Now().UnixNano()), "x", 500)
		return len(fresh.requests()) > 0
	})
}
