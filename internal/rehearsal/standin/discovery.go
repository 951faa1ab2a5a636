package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Host is the entry of a worker in an endpoint list, in the JSON form of the discovery protocol.
type Host struct {
	Host   string  `json:"host"` // name of the worker
	Dial   string  `json:"dial"` // host:port
	Site   string  `json:"site"`
	Class  string  `json:"class"` // kind of machine
	Block  int     `json:"block"`
	Health string  `json:"health"` // HealthReady, HealthDraining or HealthGone
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"` // Unix time in milliseconds of the worker's start; 0 if it is unknown
}

// Values of Host.Health.
const (
	HealthReady    = "ready"
	HealthDraining = "draining"
	HealthGone     = "gone" // no longer listed
)

// listing is an answer of the discovery service. It has all workers, or those that have changed.
type listing struct {
	Version  int64  `json:"seq"`
	Complete bool   `json:"whole"`
	Hosts    []Host `json:"hosts"`
}

// Discovery is a running discovery service. It serves the endpoint list and watches of its changes.
// It handles calls one at a time, as the production service does. Set changes the list, and each
// change increases its version. A Discovery is safe for concurrent use.
type Discovery struct {
	Addr string

	callTime     time.Duration // how long a call is handled
	maxCallWait  time.Duration // how long a call waits until no other one is handled
	callSlot     chan struct{} // contains an element while a call is handled
	server       *http.Server
	beforeChange func() // called before a change is published; may be nil

	mutex   sync.Mutex
	version int64
	hosts   map[string]Host  // by name, the listed workers
	order   []string         // names in the order in which they were listed; may repeat
	changes map[string]int64 // by name, the version of the list in which the worker changed last
	gone    map[string]Host  // by name, the removed workers
	changed chan struct{}    // closed and replaced at each change
	down    bool
}

const (
	heartbeatInterval  = 2 * time.Second
	defaultCallTime    = 2 * time.Millisecond
	defaultMaxCallWait = 2 * time.Second
)

// StartDiscovery starts a service with an empty list on a loopback port that the kernel chooses.
// Set calls beforeChange, which may be nil, before it changes the list.
func StartDiscovery(beforeChange func()) (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	service := &Discovery{
		Addr:         listener.Addr().String(),
		callTime:     defaultCallTime,
		maxCallWait:  defaultMaxCallWait,
		callSlot:     make(chan struct{}, 1),
		beforeChange: beforeChange,
		hosts:        map[string]Host{},
		changes:      map[string]int64{},
		gone:         map[string]Host{},
		changed:      make(chan struct{}),
	}
	service.server = newServer(service)
	go service.server.Serve(listener)
	return service, nil
}

// Close stops the service: watches end and new connections fail.
func (d *Discovery) Close() error { return d.server.Close() }

// SetDown makes calls fail and ends all watches while down is true.
func (d *Discovery) SetDown(down bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.down = down
	d.publish()
}

// Set lists workers or changes their entries. An entry with the health HealthGone removes its worker.
func (d *Discovery) Set(hosts ...Host) {
	if d.beforeChange != nil {
		d.beforeChange()
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.version++
	for _, host := range hosts {
		if host.Share == 0 {
			host.Share = 1
		}
		d.changes[host.Host] = d.version
		if host.Health == HealthGone {
			delete(d.hosts, host.Host)
			d.gone[host.Host] = host
			continue
		}
		if _, listed := d.hosts[host.Host]; !listed {
			d.order = append(d.order, host.Host)
		}
		delete(d.gone, host.Host)
		d.hosts[host.Host] = host
	}
	d.publish()
}

// publish wakes all goroutines that wait for a change. The caller holds the lock.
func (d *Discovery) publish() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// nextChange returns a channel that is closed at the next change.
func (d *Discovery) nextChange() <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.changed
}

// List returns the workers that are listed now.
func (d *Discovery) List() []Host {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.complete().Hosts
}

// complete returns a listing of all workers. The caller holds the lock.
func (d *Discovery) complete() listing {
	list := listing{Version: d.version, Complete: true, Hosts: []Host{}}
	seen := map[string]bool{}
	for _, name := range d.order {
		host, listed := d.hosts[name]
		if listed && !seen[name] {
			seen[name] = true
			list.Hosts = append(list.Hosts, host)
		}
	}
	return list
}

// since returns a listing of the workers that changed after a version, or of all workers if the
// version is 0. The caller holds the lock.
func (d *Discovery) since(version int64) listing {
	if version <= 0 {
		return d.complete()
	}
	list := listing{Version: d.version, Hosts: []Host{}}
	for name, changedIn := range d.changes {
		if changedIn <= version {
			continue
		}
		host, listed := d.hosts[name]
		if !listed {
			host = d.gone[name]
		}
		list.Hosts = append(list.Hosts, host)
	}
	return list
}

// ServeHTTP serves the endpoint list and watches of its changes.
func (d *Discovery) ServeHTTP(out http.ResponseWriter, request *http.Request) {
	if request.URL.Path != "/v1/servers" || request.Method != http.MethodGet {
		http.NotFound(out, request)
		return
	}
	if !d.takeCallSlot(out, request) {
		return
	}
	time.Sleep(d.callTime)
	<-d.callSlot
	d.mutex.Lock()
	down := d.down
	list := d.complete()
	d.mutex.Unlock()
	if down {
		http.Error(out, "down", http.StatusServiceUnavailable)
		return
	}
	out.Header().Set("Content-Type", "application/json")
	if request.URL.Query().Get("watch") != "1" {
		writeListing(out, list)
		return
	}
	after, _ := strconv.ParseInt(request.URL.Query().Get("after"), 10, 64) // if it is missing, 0 asks for all workers
	d.watch(out, request, after)
}

// takeCallSlot waits until no other call is handled. It returns false if the caller has gone, or if
// the call has waited too long and was answered with 503.
func (d *Discovery) takeCallSlot(out http.ResponseWriter, request *http.Request) bool {
	timeout := time.NewTimer(d.maxCallWait)
	defer timeout.Stop()
	select {
	case d.callSlot <- struct{}{}:
		return true
	case <-timeout.C:
		http.Error(out, "busy", http.StatusServiceUnavailable)
	case <-request.Context().Done():
	}
	return false
}

// watch writes the changes after a version, then each later change as it is published, and blank
// lines as heartbeats.
func (d *Discovery) watch(out http.ResponseWriter, request *http.Request, after int64) {
	flush := out.(http.Flusher).Flush
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for first := true; ; first = false {
		d.mutex.Lock()
		list := d.since(after)
		changed := d.changed
		down := d.down
		d.mutex.Unlock()
		if down {
			return
		}
		if first || list.Version > after {
			writeListing(out, list)
			flush()
			after = list.Version
		}
		select {
		case <-changed:
		case <-heartbeat.C:
			out.Write([]byte("\n"))
			flush()
		case <-request.Context().Done():
			return
		}
	}
}

// writeListing writes a listing as a line of JSON.
func writeListing(out http.ResponseWriter, list listing) {
	text, _ := json.Marshal(list) // cannot fail for strings and numbers
	out.Write(append(text, '\n'))
}
