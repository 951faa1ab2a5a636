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
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// Discovery is a running one. Change its list by Set.
type Discovery struct {
	Addr string

	call   time.Duration // what a call costs
	most   time.Duration // how long it waits for its turn
	turn   chan struct{}
	server *http.Server
	before func() // called before a change is told

	mu      sync.Mutex
	seq     int64
	hosts   map[string]Host
	order   []string
	changes map[string]int64 // by host, the version that changed it last
	gone    map[string]Host
	told    chan struct{} // closed at each change
	down    bool
}

const (
	signOfLife = 2 * time.Second
	callTime   = 2 * time.Millisecond
	callWait   = 2 * time.Second
)

// StartDiscovery starts an empty one on a loopback port that the kernel
// chooses. before, which may be nil, is called before each change is told.
func StartDiscovery(before func()) (*Discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: ln.Addr().String(), call: callTime, most: callWait, turn: make(chan struct{}, 1), before: before,
		hosts: map[string]Host{}, changes: map[string]int64{}, gone: map[string]Host{}, told: make(chan struct{})}
	d.server = quiet(d)
	go d.server.Serve(ln)
	return d, nil
}

// Close ends it: watches end and new calls are refused.
func (d *Discovery) Close() error { return d.server.Close() }

// Down makes calls fail and ends watches, until it is up again.
func (d *Discovery) Down(down bool) {
	d.mu.Lock()
	d.down = down
	close(d.told)
	d.told = make(chan struct{})
	d.mu.Unlock()
}

// Set lists a worker, or changes how it is listed; health "gone" takes it out.
func (d *Discovery) Set(hosts ...Host) {
	if d.before != nil {
		d.before()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	for _, h := range hosts {
		if h.Share == 0 {
			h.Share = 1
		}
		if d.changes[h.Host] = d.seq; h.Health == "gone" {
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
	close(d.told)
	d.told = make(chan struct{})
}

// List is the list as it is told now.
func (d *Discovery) List() []Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.whole().Hosts
}

func (d *Discovery) whole() listing {
	l := listing{Seq: d.seq, Whole: true, Hosts: []Host{}}
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
		return d.whole()
	}
	l := listing{Seq: d.seq, Hosts: []Host{}}
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
	wait := time.NewTimer(d.most)
	defer wait.Stop()
	select { // calls are handled in turn
	case d.turn <- struct{}{}:
	case <-wait.C:
		http.Error(out, "busy", http.StatusServiceUnavailable)
		return
	case <-in.Context().Done():
		return
	}
	time.Sleep(d.call)
	<-d.turn
	d.mu.Lock()
	down, all := d.down, d.whole()
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
	life := time.NewTicker(signOfLife)
	defer life.Stop()
	for first := true; ; first = false {
		d.mu.Lock()
		l, told, down := d.since(after), d.told, d.down
		d.mu.Unlock()
		if down {
			return
		}
		if first || l.Seq > after {
			text, _ := json.Marshal(l)
			out.Write(append(text, '\n'))
			flush()
			after = l.Seq
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
