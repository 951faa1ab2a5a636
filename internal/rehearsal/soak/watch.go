package soak

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// heartbeatInterval is how long a watch is silent at most while the service has no fault.
const heartbeatInterval = 2 * time.Second

// watchState is what a watch sees of the service at one moment.
type watchState struct {
	list      endpointList // the changes
	line      string       // likewise, as a line of the protocol
	version   int64
	changed   <-chan struct{} // closed once the state may be another
	down      bool            // the faults in force
	silent    bool
	truncates bool
}

// stateSince returns the state of the service with the changes after a version.
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

// serve answers one request of a dispatcher with the list and a watch of its changes.
func (d *discovery) serve(conn net.Conn, dispatcher string) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	after, _ := strconv.ParseInt(request.URL.Query().Get("after"), 10, 64) // missing: 0, the complete list
	state := d.stateSince(after)
	if state.down {
		io.WriteString(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		return
	}
	io.WriteString(conn, chunkedResponseHead)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		io.Copy(io.Discard, conn)
	}()
	if state.truncates {
		writeTruncated(conn, state.line, closed)
		return
	}
	d.tell(conn, dispatcher, state)
	d.watch(conn, dispatcher, state, closed)
}

// tell writes changes to a dispatcher and records them as told, if they could be written.
func (d *discovery) tell(conn net.Conn, dispatcher string, state watchState) {
	writing := interval{from: time.Now()}
	_, err := io.WriteString(conn, encodeChunk(state.line))
	writing.to = time.Now()
	if err == nil {
		d.recordTold(dispatcher, state.list, writing)
	}
}

// watch writes changes as they are made, and blank lines as heartbeats, until the connection
// is closed or a fault ends it.
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
			d.tell(conn, dispatcher, state)
		case heartbeatDue:
			io.WriteString(conn, encodeChunk("\n"))
		}
	}
}

// writeTruncated writes half a line and then nothing until the connection is closed.
func writeTruncated(conn net.Conn, line string, closed <-chan struct{}) {
	io.WriteString(conn, encodeChunk(line)[:len(line)/2])
	<-closed
}
