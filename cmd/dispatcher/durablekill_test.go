package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/childprocess"
)

// responseReadTime is how long clients read what the process sent before it was killed.
const responseReadTime = 200 * time.Millisecond

// acceptedBeforeKill sends renewals whose clients have 20 ms left, kills the process at the
// first 202, and returns the keys of all renewals that were answered with 202.
func (d *testDaemon) acceptedBeforeKill(round int) (accepted []string) {
	d.t.Helper()
	const clients = 20
	statuses := make([]int, clients)
	firstAccepted := make(chan struct{}, clients)
	var connections []*clientConn
	var group sync.WaitGroup
	for i := range clients {
		connection := d.connect()
		connections = append(connections, connection)
		group.Go(func() {
			connection.sendDurable(fmt.Sprintf("kill-%d-%d", round, i), 20*time.Millisecond)
			response, err := http.ReadResponse(connection.reader, nil)
			if err != nil {
				return
			}
			statuses[i] = response.StatusCode
			if response.StatusCode == http.StatusAccepted {
				firstAccepted <- struct{}{}
			}
		})
	}
	select {
	case <-firstAccepted:
	case <-time.After(testTimeout):
		d.t.Error("no renewal was accepted")
	}
	d.kill()
	for _, connection := range connections { // some were not accepted yet, and stay open in the listener's queue
		connection.SetReadDeadline(time.Now().Add(responseReadTime))
	}
	group.Wait()
	for i, status := range statuses {
		if status == http.StatusAccepted {
			accepted = append(accepted, fmt.Sprintf("kill-%d-%d", round, i))
		}
	}
	return accepted
}

// Clients with little time left are answered with 202, and the process is killed in that
// moment. Each job that was accepted must be known after the restart.
func TestAcceptedRequestsSurviveKill(t *testing.T) {
	daemon := startHandedOverDaemon(t)
	daemon.worker.setRespond(respondUnprocessed)
	for round := range 3 {
		accepted := daemon.acceptedBeforeKill(round)
		daemon.log = childprocess.Output{}
		daemon.launch()
		daemon.waitForLog("durable jobs recovered")
		daemon.waitUntilHealthy()
		_, list := daemon.callAdmin("GET", "/control/jobs")
		for _, key := range accepted {
			if !strings.Contains(list, fmt.Sprintf("%q", "idem:"+key)) {
				t.Errorf("%s was accepted, and is unknown after the restart", key)
			}
		}
	}
}
