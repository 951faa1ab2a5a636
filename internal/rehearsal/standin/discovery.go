package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// This file owns the discovery service: the list, watches on its changes, and
// calls that are handled in turn. It must never tell an older list after a newer.

// Host is a listed worker, in discovery's form.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"` // ready, draining, gone
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
}

type listing struct {
	Version   int64  `json:"seq"`
	Complete bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// Discovery is a running one. Change its list by Set.
type Discovery struct {
	Addr string

	callTime   time.Duration // what a call costs
	maxCallWait   time.Duration // how long it waits for its turn
	callSlot   chan struct{}
	server *http.Server
	beforeChange func() // called before a change is told

	mu      sync.Mutex
	version     int64
	hosts   map[string]Host
	order   []string
	changes map[string]int64 // by host, the version that changed it last
	gone    map[string]Host
	changed    chan struct{} // closed at each change
	down    bool
}

const (
	heartbeatInterval = 2 * time.Second
	defaultCallTime   = 2 * time.Millisecond
	defaultMaxCallWait   = 2 * time.Second
)

// StartDiscovery starts an empty one on a loopback port that the kernel
// chooses. before, which may be nil, is called before each change is told.
func StartDiscovery(before func()) (*Discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: ln.Addr().String(), callTime: defaultCallTime, maxCallWait: defaultMaxCallWait, callSlot: make(chan struct{}, 1), beforeChange: before,
		hosts: map[string]Host{}, changes: map[string]int64{}, gone: map[string]Host{}, changed: make(chan struct{})}
	d.server = newServer(d)
	go d.server.Serve(ln)
	return d, nil
}

// Close ends it: watches end and new calls are refused.
func (d *Discovery) Close() error { return d.server.Close() }

// SetDown makes calls fail and ends watches, until it is up again.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	d.down = down
	close(d.changed)
	d.changed = make(chan struct{})
	d.mu.Unlock()
}

// Set lists a worker, or changes how it is listed; health "gone" takes it out.
func (d *Discovery) Set(hosts ...Host) {
	if d.beforeChange != nil {
		d.beforeChange()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for _, h := range hosts {
		if h.Share == 0 {
			h.Share = 1
		}
		if d.changes[h.Host] = d.version; h.Health == "gone" {
			delete(d.hosts, h.Host)
			d.gone[h.Host] = h
			continue
		}
		if _, ok := d.changes[h.Host]; ok && d.hosts[h.Host] == (Host{}) {
			d.order = append(d.order, h.Host)
		}
		delete(d.gone, h.Host)
		d.hosts[h.Host] = h
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// List is the list as it is told now.
func (d *Discovery) List() []Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.complete().Hosts
}

func (d *Discovery) complete() listing {
	l := listing{Version: d.version, Complete: true, Hosts: []Host{}}
	seen := map[string]bool{}
	for _, name := range d.order {
		if h, ok := d.hosts[name]; ok && !seen[name] {
			seen[name] = true
			l.Hosts = append(l.Hosts, h)
		}
	}
	return l
}

func (d *Discovery) since(after int64) listing {
	if after <= 0 {
		return d.complete()
	}
	l := listing{Version: d.version, Hosts: []Host{}}
	for name, seq := range d.changes {
		if seq <= after {
			continue
		}
		if h, ok := d.hosts[name]; ok {
			l.Hosts = append(l.Hosts, h)
		} else {
			l.Hosts = append(l.Hosts, d.gone[name])
		}
	}
	return l
}

func (d *Discovery) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	if in.URL.Path != "/v1/servers" || in.Method != http.MethodGet {
		http.NotFound(out, in)
		return
	}
	wait := time.NewTimer(d.maxCallWait)
	defer wait.Stop()
	select { // calls are handled in turn
	case d.callSlot <- struct{}{}:
	case <-wait.C:
		http.Error(out, "busy", http.StatusServiceUnavailable)
		return
	case <-in.Context().Done():
		return
	}
	time.Sleep(d.callTime)
	<-d.callSlot
	d.mu.Lock()
	down, all := d.down, d.complete()
	d.mu.Unlock()
	if down {
		http.Error(out, "down", http.StatusServiceUnavailable)
		return
	}
	out.Header().Set("Content-Type", "application/json")
	if in.URL.Query().Get("watch") != "1" {
		text, _ := json.Marshal(all) // strings and numbers always marshal
		out.Write(append(text, '\n'))
		return
	}
	after, _ := strconv.ParseInt(in.URL.Query().Get("after"), 10, 64) // none: all
	d.watch(out, in, after)
}

func (d *Discovery) watch(out http.ResponseWriter, in *http.Request, after int64) {
	flush := out.(http.Flusher).Flush
	life := time.NewTicker(heartbeatInterval)
	defer life.Stop()
	for first := true; ; first = false {
		d.mu.Lock()
		l, told, down := d.since(after), d.changed, d.down
		d.mu.Unlock()
		if down {
			return
		}
		if first || l.Version > after {
			text, _ := json.Marshal(l)
			out.Write(append(text, '\n'))
			flush()
			after = l.Version
		}
		select {
		case <-told:
		case <-life.C:
			out.Write([]byte("\n"))
			flush()
		case <-in.Context().Done():
			return
		}
	}
}
