package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Health of a listed worker in the discovery protocol.
const (
	ready    = "ready"
	draining = "draining"
	gone     = "gone"
)

// host is an entry of a list in the discovery protocol.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
}

// listing is a line of the discovery protocol.
type listing struct {
	Hosts    []host `json:"hosts"`
	Version  int64  `json:"seq"`
	Complete bool   `json:"whole"`
}

// change is one change of a worker's health.
type change struct {
	at      time.Time
	version int64
	health  string
}

// interval is a span of time; a zero end means that it has not ended.
type interval struct{ from, to time.Time }

// discovery is the stand-in for the discovery service, with watches by version and faults that can
// be switched on. It is safe for concurrent use.
type discovery struct {
	listener net.Listener

	mu               sync.Mutex
	version          int64
	hosts            map[string]host
	changedIn        map[string]int64    // by host, the version that changed it last
	history          map[string][]change // by host
	changed          chan struct{}       // closed at each change of the list or the faults
	downFaults       int                 // number of such faults in force
	silentFaults     int
	truncationFaults int
	outages          []interval
}

func startDiscovery() (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{
		listener:  listener,
		hosts:     map[string]host{},
		changedIn: map[string]int64{},
		history:   map[string][]change{},
		changed:   make(chan struct{}),
	}
	go serveAll(listener, d.serve)
	return d, nil
}

// serveAll serves each connection in a goroutine of its own until the listener is closed.
func serveAll(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

func (d *discovery) close() { d.listener.Close() }

func (d *discovery) addr() string { return d.listener.Addr().String() }

// set changes how a worker is listed.
func (d *discovery) set(name, addr, health string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.hosts[name] = host{Host: name, Dial: addr, Site: "here", Class: "m", Health: health, Share: 1}
	d.changedIn[name] = d.version
	d.history[name] = append(d.history[name], change{at: time.Now(), version: d.version, health: health})
	d.publish()
}

// publish wakes the watches. The caller holds the lock.
func (d *discovery) publish() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// setFault switches a fault of the service on or off.
func (d *discovery) setFault(kind faultKind, on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	step := -1
	if on {
		step = 1
	}
	switch kind {
	case faultDiscoveryDown:
		d.downFaults += step
		if d.downFaults == 1 && on {
			d.outages = append(d.outages, interval{from: time.Now()})
		} else if d.downFaults == 0 {
			d.outages[len(d.outages)-1].to = time.Now()
		}
	case faultDiscoverySilent:
		d.silentFaults += step
	case faultDiscoveryTruncates:
		d.truncationFaults += step
	}
	d.publish()
}

// initialList is the complete list as a dispatcher's configuration has it.
func (d *discovery) initialList() json.RawMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.encodeSince(0)
}

// encodeSince encodes what has changed after a version; 0: the complete list. The caller holds
// the lock.
func (d *discovery) encodeSince(version int64) []byte {
	list := listing{Hosts: []host{}, Version: d.version, Complete: version == 0}
	for name, changedIn := range d.changedIn {
		if changedIn > version && (version > 0 || d.hosts[name].Health != gone) {
			list.Hosts = append(list.Hosts, d.hosts[name])
		}
	}
	text, _ := json.Marshal(list) // strings and numbers always marshal
	return text
}

// watchState is what a watch sees of the service.
type watchState struct {
	line      string // the changes, as a line of the protocol
	version   int64
	changed   <-chan struct{}
	down      bool
	silent    bool
	truncates bool
}

// stateSince returns the state of the service with the changes after a version.
func (d *discovery) stateSince(version int64) watchState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return watchState{
		line:      string(d.encodeSince(version)) + "\n",
		version:   d.version,
		changed:   d.changed,
		down:      d.downFaults > 0,
		silent:    d.silentFaults > 0,
		truncates: d.truncationFaults > 0,
	}
}

const heartbeatInterval = 2 * time.Second

// serve answers one call with the list and a watch of its changes.
func (d *discovery) serve(conn net.Conn) {
	defer conn.Close()
	call, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	after, _ := strconv.ParseInt(call.URL.Query().Get("after"), 10, 64) // missing: 0, the complete list
	state := d.stateSince(after)
	if state.down {
		io.WriteString(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		return
	}
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		io.Copy(io.Discard, conn)
	}()
	if state.truncates {
		writeTruncated(conn, state.line, closed)
		return
	}
	io.WriteString(conn, chunk(state.line))
	d.watch(conn, state, closed)
}

// watch writes changes as they are published, and blank lines as heartbeats, until the connection
// is closed or a fault ends it.
func (d *discovery) watch(conn net.Conn, state watchState, closed <-chan struct{}) {
	for {
		heartbeat := time.NewTimer(heartbeatInterval)
		due := false
		select {
		case <-closed:
			heartbeat.Stop()
			return
		case <-state.changed:
		case <-heartbeat.C:
			due = true
		}
		heartbeat.Stop()
		after := state.version
		state = d.stateSince(after)
		switch {
		case state.down:
			return
		case state.silent:
			writeTruncated(conn, state.line, closed)
			return
		case state.version > after:
			io.WriteString(conn, chunk(state.line))
		case due:
			io.WriteString(conn, chunk("\n"))
		}
	}
}

// writeTruncated writes half a line and then nothing until the connection is closed.
func writeTruncated(conn net.Conn, line string, closed <-chan struct{}) {
	io.WriteString(conn, chunk(line)[:len(line)/2])
	<-closed
}

// chunk encodes a text as a chunk of HTTP's chunked transfer coding.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// unlistedSince returns since when a worker has not been listed as ready at the given time;
// unlisted is false if it was.
func (d *discovery) unlistedSince(name string, at time.Time) (since time.Time, unlisted bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.history[name] {
		switch {
		case c.at.After(at):
			return since, unlisted
		case c.health == ready:
			unlisted = false
		case !unlisted:
			since = c.at
			unlisted = true
		}
	}
	return since, unlisted
}

// notificationDeadline is when a dispatcher must know of a change: notificationTime after the
// service had it and was reachable, however its watches ended.
func (d *discovery) notificationDeadline(changed time.Time) time.Time {
	const never = time.Hour // from now, longer than a run
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, outage := range d.outages {
		during := !changed.Before(outage.from) && (outage.to.IsZero() || changed.Before(outage.to))
		soonAfter := outage.from.After(changed) && outage.from.Before(changed.Add(notificationTime))
		if !during && !soonAfter {
			continue
		}
		if outage.to.IsZero() {
			return time.Now().Add(never)
		}
		changed = outage.to
	}
	return changed.Add(notificationTime)
}
