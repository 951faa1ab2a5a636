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

// Health of a listed worker, in discovery's words.
const (
	ready    = "ready"
	draining = "draining"
	gone     = "gone"
)

// host is an entry of a list.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
}

// change is one change of the list.
type change struct {
	at     time.Time
	seq    int64
	health string
}

// discovery is the stand-in for discovery: watches by version, and its faults.
type discovery struct {
	ln net.Listener

	mu      sync.Mutex
	seq     int64
	hosts   map[string]host
	touched map[string]int64    // by host, the version that changed it last
	history map[string][]change // by host
	woken   chan struct{}       // closed at each change of anything
	down    int                 // faults that are on
	silent  int
	breaks  int
	outages []span
}

// span is a time in which something held; a zero end: it still does.
type span struct{ from, to time.Time }

func startDiscovery() (*discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{ln: ln, hosts: map[string]host{}, touched: map[string]int64{}, history: map[string][]change{}, woken: make(chan struct{})}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go d.serve(conn)
		}
	}()
	return d, nil
}

func (d *discovery) close() { d.ln.Close() }

func (d *discovery) addr() string { return d.ln.Addr().String() }

// set changes how a worker is listed.
func (d *discovery) set(name, addr, health string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	d.hosts[name] = host{Host: name, Dial: addr, Site: "here", Class: "m", Health: health, Share: 1}
	d.touched[name] = d.seq
	d.history[name] = append(d.history[name], change{time.Now(), d.seq, health})
	d.wake()
}

func (d *discovery) wake() {
	close(d.woken)
	d.woken = make(chan struct{})
}

// fault switches a fault of discovery on or off.
func (d *discovery) fault(kind faultKind, on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	step := map[bool]int{true: 1, false: -1}[on]
	switch kind {
	case discoveryDown:
		if d.down += step; d.down == 1 && on {
			d.outages = append(d.outages, span{from: time.Now()})
		} else if d.down == 0 {
			d.outages[len(d.outages)-1].to = time.Now()
		}
	case discoverySilent:
		d.silent += step
	case discoveryBreaks:
		d.breaks += step
	}
	d.wake()
}

// known is the whole list in discovery's words.
func (d *discovery) known() json.RawMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	list, _ := json.Marshal(map[string]any{"seq": d.seq, "whole": true, "hosts": d.since(0)}) // strings and numbers always marshal
	return list
}

// since lists what has changed after a version.
func (d *discovery) since(after int64) []host {
	list := []host{}
	for name, seq := range d.touched {
		if seq > after && (after > 0 || d.hosts[name].Health != gone) {
			list = append(list, d.hosts[name])
		}
	}
	return list
}

// state is what a watch looks at.
func (d *discovery) state(after int64) (line string, seq int64, woken chan struct{}, down, silent, breaks bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	text, _ := json.Marshal(map[string]any{"seq": d.seq, "whole": after == 0, "hosts": d.since(after)})
	return string(text) + "\n", d.seq, d.woken, d.down > 0, d.silent > 0, d.breaks > 0
}

const heartbeat = 2 * time.Second

func (d *discovery) serve(conn net.Conn) {
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	after, _ := strconv.ParseInt(req.URL.Query().Get("after"), 10, 64)
	line, seq, woken, down, _, breaks := d.state(after)
	if down {
		io.WriteString(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		return
	}
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	closed := make(chan struct{})
	go func() { io.Copy(io.Discard, conn); close(closed) }()
	if breaks {
		io.WriteString(conn, chunk(line)[:len(line)/2])
		<-closed
		return
	}
	io.WriteString(conn, chunk(line))
	for {
		pulse := time.NewTimer(heartbeat)
		beat := false
		select {
		case <-closed:
			return
		case <-woken:
		case <-pulse.C:
			beat = true
		}
		pulse.Stop()
		var down, silent bool
		after := seq
		line, seq, woken, down, silent, _ = d.state(after)
		switch {
		case down:
			return
		case silent:
			io.WriteString(conn, chunk(line)[:len(line)/2])
			<-closed
			return
		case seq > after:
			io.WriteString(conn, chunk(line))
		case beat:
			io.WriteString(conn, chunk("\n"))
		}
	}
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// leftAt finds since when, at a time, a worker has not been listed as ready; false: it was.
func (d *discovery) leftAt(name string, at time.Time) (since time.Time, left bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.history[name] {
		switch {
		case c.at.After(at):
			return since, left
		case c.health == ready:
			left = false
		case !left:
			since, left = c.at, true
		}
	}
	return since, left
}

// notified is when a change counts as notified, however calls ended: a fixed time
// after discovery had it and could be reached.
func (d *discovery) notified(changed time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, o := range d.outages {
		if !changed.Before(o.from) && (o.to.IsZero() || changed.Before(o.to)) || o.from.After(changed) && o.from.Before(changed.Add(notifiedWithin)) {
			if o.to.IsZero() {
				return time.Now().Add(time.Hour)
			}
			changed = o.to
		}
	}
	return changed.Add(notifiedWithin)
}
