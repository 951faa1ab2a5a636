package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/childprocess"
)

// checkAnsweredAtShutdown reads the response to each renewal, which must be 202 and come
// before the platform may kill the process, and returns when the last one came.
func checkAnsweredAtShutdown(t *testing.T, connections map[string]*clientConn, signalledAt time.Time) (last time.Duration) {
	t.Helper()
	const killTime = 3700 * time.Millisecond
	for key, connection := range connections {
		response, err := http.ReadResponse(connection.reader, nil)
		if err != nil {
			t.Errorf("%s: closed without a response %v after SIGTERM: %v", key, time.Since(signalledAt), err)
			continue
		}
		last = max(last, time.Since(signalledAt))
		if response.StatusCode != http.StatusAccepted || time.Since(signalledAt) > killTime {
			t.Errorf("%s: status %d %v after SIGTERM", key, response.StatusCode, time.Since(signalledAt))
		}
	}
	return last
}

// A process is ended without a successor while clients with seconds left wait for renewals,
// one of which a worker holds. Each client must be told that its job is stored before the
// platform may kill the process, also the one whose job outlasts that.
func TestShutdownAnswersDurableRequests(t *testing.T) {
	daemon := startHandedOverDaemon(t)
	connections := map[string]*clientConn{}
	send := func(key string) {
		connections[key] = daemon.connect()
		connections[key].sendDurable(key, 8*time.Second)
	}
	send(handedOverKey)
	<-daemon.slowArrived
	for i := range 4 {
		send(fmt.Sprint("open-", i))
	}
	daemon.waitUntil("all renewals are stored", func() bool {
		_, list := daemon.callAdmin("GET", "/control/jobs")
		return strings.Count(list, `"idem:`) == len(connections)
	})
	daemon.signal(syscall.SIGTERM)
	checkAnsweredAtShutdown(t, connections, time.Now())
	daemon.releaseSlow()
	if code := daemon.waitForExit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	daemon.log = childprocess.Output{}
	daemon.launch()
	daemon.waitUntilHealthy()
	_, list := daemon.callAdmin("GET", "/control/jobs")
	for key := range connections {
		if !strings.Contains(list, fmt.Sprintf("%q", "idem:"+key)) {
			t.Errorf("%s was accepted, and is unknown after the restart", key)
		}
	}
}

// A process is ended without a successor while clients wait for renewals that no worker has
// taken. They are told that their jobs are stored when the store closes, and not only when
// the process has to exit.
func TestShutdownAnswersDurableRequestsThatNoWorkerHas(t *testing.T) {
	daemon := startHandedOverDaemon(t)
	daemon.worker.setRespond(respondUnprocessed)
	connections := map[string]*clientConn{}
	for i := range 4 {
		key := fmt.Sprint("open-", i)
		connections[key] = daemon.connect()
		connections[key].sendDurable(key, 8*time.Second)
	}
	daemon.waitUntil("all renewals are stored", func() bool {
		_, list := daemon.callAdmin("GET", "/control/jobs")
		return strings.Count(list, `"idem:`) == len(connections)
	})
	signalledAt := time.Now()
	daemon.signal(syscall.SIGTERM)
	if last := checkAnsweredAtShutdown(t, connections, signalledAt); last > 1500*time.Millisecond {
		t.Errorf("the last answer came %v after SIGTERM", last)
	}
	if code := daemon.waitForExit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}
