package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// heartbeatInterval is the longest time for which a watch sends nothing while the service has no fault.
const heartbeatInterval = 2 * time.Second

// watchState is a snapshot of the service for a watch.
type watchState struct {
	list      endpointList // the changes since the version that the watch has sent
	line      string       // the same changes as a line of the protocol
	version   int64
	changed   <-chan struct{} // closed when the list or the faults change
	down      bool            // whether faultDiscoveryDown is in force
	silent    bool            // whether faultDiscoverySilent is in force
	truncates bool            // whether faultDiscoveryTruncates is in force
}

// stateSince returns the current state of the service with the changes after a version.
func (d *discovery) stateSince(version int64) watchState {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return watchState{
		list:      d.listSince(version),
		line:      string(d.encodeSince(version)) + "\n",
		version:   d.version,
		changed:   d.changed,
		down:      d.faults[faultDiscoveryDown] > 0,
		silent:    d.faults[faultDiscoverySilent] > 0,
		truncates: d.faults[faultDiscoveryTruncates] > 0,
	}
}

// serve answers one request of a dispatcher with the endpoint list and a watch of its changes.
func (d *discovery) serve(conn net.Conn, dispatcher string) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	after, _ := strconv.ParseInt(request.URL.Query().Get("after"), 10, 64) // if it is missing, 0 asks for the complete list
	state := d.stateSince(after)
	if state.down {
		io.WriteString(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		return
	}
	io.WriteString(conn, chunkedResponseHeader)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		io.Copy(io.Discard, conn)
	}()
	if state.truncates {
		writeTruncated(conn, state.line, closed)
		return
	}
	d.sendList(conn, dispatcher, state)
	d.watch(conn, dispatcher, state, closed)
}

// sendList sends changes to a dispatcher, and records the notification if they could be written.
func (d *discovery) sendList(conn net.Conn, dispatcher string, state watchState) {
	writing := interval{from: time.Now()}
	_, err := io.WriteString(conn, encodeChunk(state.line))
	writing.to = time.Now()
	if err == nil {
		d.recordNotification(dispatcher, state.list, writing, describeWatch(conn))
	}
}

// describeWatch describes a connection of a dispatcher, for violations.
func describeWatch(conn net.Conn) string {
	description := fmt.Sprintf("from %v", conn.RemoteAddr())
	if readTCPInfo(conn).peerClosed {
		description += ", which the dispatcher had closed"
	}
	return description
}

// watch sends changes as they are made, and blank lines as heartbeats, until the dispatcher closes
// the connection or a fault ends the watch.
func (d *discovery) watch(conn net.Conn, dispatcher string, state watchState, closed <-chan struct{}) {
	for {
		heartbeat := time.NewTimer(heartbeatInterval)
		heartbeatDue := false
		select {
		case <-closed:
			heartbeat.Stop()
			return
		case <-state.changed:
		case <-heartbeat.C:
			heartbeatDue = true
		}
		heartbeat.Stop()
		sentVersion := state.version
		state = d.stateSince(sentVersion)
		switch {
		case state.down:
			return
		case state.silent:
			writeTruncated(conn, state.line, closed)
			return
		case state.version > sentVersion:
			d.sendList(conn, dispatcher, state)
		case heartbeatDue:
			io.WriteString(conn, encodeChunk("\n"))
		}
	}
}

// writeTruncated writes half of a line, and then waits until the dispatcher closes the connection.
func writeTruncated(conn net.Conn, line string, closed <-chan struct{}) {
	io.WriteString(conn, encodeChunk(line)[:len(line)/2])
	<-closed
}
