package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// limitedDescriptors returns configuration keys that limit the descriptors.
func limitedDescriptors(limit int) map[string]any {
	return map[string]any{"limits": map[string]any{"sockets": limit, "memory_mb": 192}}
}

// The daemon closes an idle connection to a worker before the end of its idle time, after
// which the worker may close it.
func TestIdleConnectionsCloseFirst(t *testing.T) {
	const idleTime = 3 * time.Second
	daemon := &testDaemon{t: t}
	daemon.config = map[string]any{"settings": json.RawMessage(settingsWithIdle(idleTime))}
	closed := make(chan error, 1)
	daemon.addWorker("s-1", func(id string, conn net.Conn) bool {
		respondDone(id, conn)
		conn.SetReadDeadline(time.Now().Add(idleTime))
		_, err := conn.Read(make([]byte, 1))
		closed <- err
		return false
	})
	daemon.start()
	daemon.postStatus("renewal", "one")
	if err := <-closed; err != io.EOF {
		t.Errorf("the read until the end of the idle time: %v, want EOF", err)
	}
}

// Near the limit of descriptors, idle client connections are closed to accept new ones.
func TestDescriptorLimit(t *testing.T) {
	const limit = 64
	daemon := &testDaemon{t: t, config: limitedDescriptors(limit)}
	daemon.addWorker("s-1", respondDone)
	daemon.start()
	for i := range 100 {
		client := daemon.connect()
		client.send(fmt.Sprintf("fd-%d", i))
		response, err := http.ReadResponse(client.reader, nil)
		if err != nil || response.StatusCode != 200 {
			t.Fatalf("connection %d: %v, %v", i, response, err)
		}
		if descriptors := daemon.openDescriptors(); descriptors > limit {
			t.Fatalf("connection %d: %d descriptors", i, descriptors)
		}
	}
}

// If there are more clients at the same time than descriptors, some clients wait. Each gets a
// complete answer, although other connections must be closed first.
func TestMoreClientsThanDescriptors(t *testing.T) {
	daemon := &testDaemon{t: t, config: limitedDescriptors(64)}
	daemon.addWorker("s-1", func(id string, conn net.Conn) bool {
		time.Sleep(50 * time.Millisecond)
		return respondDone(id, conn)
	})
	daemon.start()
	var clients sync.WaitGroup
	for i := range 60 {
		client := daemon.connect()
		io.WriteString(client, requestText("status-check", fmt.Sprintf("many-%d", i), "x"))
		clients.Go(func() {
			response, err := http.ReadResponse(client.reader, nil)
			if err != nil || response.StatusCode != 200 && response.StatusCode != 503 {
				t.Errorf("client %d: %v, %v", i, response, err)
			}
		})
	}
	clients.Wait()
}

// A call to the admin API is answered while clients use all their descriptors, and while more
// connections than the API holds have sent nothing or half a call. The limit of descriptors
// holds.
func TestAdminAtDescriptorLimit(t *testing.T) {
	const limit = 80
	daemon := newDaemonWithAdmin(t, nil)
	daemon.config = limitedDescriptors(limit)
	daemon.addWorker("s-1", respondDone)
	daemon.start()
	daemon.callAdmin("GET", "/control/ready")
	adminAddress := daemon.adminAddress()
	for i := range 60 {
		daemon.connect()
		caller, err := net.Dial("tcp", adminAddress)
		if err != nil {
			t.Fatal(err)
		}
		defer caller.Close()
		if i%2 == 0 {
			fmt.Fprint(caller, "GET /control/cou")
		}
		if descriptors := daemon.openDescriptors(); descriptors > limit {
			t.Fatalf("%d descriptors", descriptors)
		}
		if i%10 != 9 {
			continue
		}
		status, text := daemon.callAdmin("GET", "/control/counters")
		if status != 200 || !strings.Contains(text, `"discovered":1`) {
			t.Fatalf("a call after %d other connections: %d %q", i, status, text)
		}
	}
}
