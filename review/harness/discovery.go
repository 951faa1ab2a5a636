//go:build review

package harness

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Host is an entry of discovery's list.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
}

// Discovery is a stand-in for discovery: the whole list, and a watch.
type Discovery struct {
	Address string

	run     *Run
	mu      sync.Mutex
	seq     int
	hosts   []Host         // each host once, with its newest entry; those that are gone included
	changed map[string]int // the version of each host's newest entry
	update  chan struct{}  // closed at the next change
}

// StartDiscovery starts discovery with a list.
func (r *Run) StartDiscovery(hosts ...Host) *Discovery {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	r.Must(err)
	d := &Discovery{run: r, Address: listener.Addr().String(), seq: 41, hosts: hosts, changed: map[string]int{},
		update: make(chan struct{})}
	for _, host := range hosts {
		d.changed[host.Host] = 41
	}
	go http.Serve(listener, http.HandlerFunc(d.serve))
	return d
}

// Set changes or adds an entry.
func (d *Discovery) Set(host Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	found := false
	for i := range d.hosts {
		if d.hosts[i].Host == host.Host {
			d.hosts[i] = host
			found = true
		}
	}
	if !found {
		d.hosts = append(d.hosts, host)
	}
	d.changed[host.Host] = d.seq
	d.run.Log("discovery: version %d: %s is %s", d.seq, host.Host, host.Health)
	close(d.update)
	d.update = make(chan struct{})
}

// list returns the line of what changed after a version, or of the whole list after version 0.
func (d *Discovery) list(after int) (line []byte, seq int, update chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	hosts := []Host{}
	for _, host := range d.hosts {
		if d.changed[host.Host] > after && (after > 0 || host.Health != "gone") {
			hosts = append(hosts, host)
		}
	}
	line, _ = json.Marshal(map[string]any{"seq": d.seq, "whole": after == 0, "hosts": hosts})
	return append(line, '\n'), d.seq, d.update
}

func (d *Discovery) serve(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path != "/v1/servers" {
		http.NotFound(w, request)
		return
	}
	if request.URL.Query().Get("watch") == "" {
		line, _, _ := d.list(0)
		w.Write(line)
		return
	}
	after := 0
	fmt.Sscan(request.URL.Query().Get("after"), &after)
	if after > d.seq {
		after = 0
	}
	line, seq, update := d.list(after)
	w.Write(line)
	w.(http.Flusher).Flush()
	for {
		select {
		case <-request.Context().Done():
			return
		case <-time.After(2 * time.Second):
			w.Write([]byte("\n"))
		case <-update:
			line, seq, update = d.list(seq)
			w.Write(line)
		}
		w.(http.Flusher).Flush()
	}
}
