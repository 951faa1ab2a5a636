package scale

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/standin"
)

// listing is a snapshot or a delta on the wire.
type listing struct {
	Version  int64          `json:"seq"`
	Complete bool           `json:"whole"`
	Hosts    []standin.Host `json:"hosts"`
}

func (l *listing) line() []byte {
	text, _ := json.Marshal(l) // strings and numbers always marshal
	return append(text, '\n')
}

// version is one change of the list.
type version struct {
	line  []byte
	hosts []standin.Host
}

// origin is a discovery service that lists tens of thousands of workers to thousands of watches. Each version is
// marshalled once for all of them. It is safe for concurrent use.
type origin struct {
	server      *http.Server
	maxVersions int // in the log

	mutex         sync.Mutex
	latestVersion int64
	hosts         []standin.Host // in the order of their first listing; removed ones stay
	indexByName   map[string]int
	log           []version     // the latest, up to seq
	snapshot      []byte        // marshalled; nil: outdated
	changed       chan struct{} // closed at the next change
}

// heartbeatInterval is the time between empty lines on an idle watch.
const heartbeatInterval = 2 * time.Second

func startOrigin(maxVersions int) (*origin, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	started := &origin{maxVersions: maxVersions, indexByName: map[string]int{}, changed: make(chan struct{})}
	started.server = &http.Server{Handler: started}
	go started.server.Serve(listener)
	return started, listener.Addr().String(), nil
}

func (o *origin) close() { o.server.Close() }

// change makes one version of changed workers and returns it.
func (o *origin) change(hosts []standin.Host) int64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.latestVersion++
	for _, host := range hosts {
		i, known := o.indexByName[host.Host]
		if !known {
			i = len(o.hosts)
			o.indexByName[host.Host] = i
			o.hosts = append(o.hosts, host)
		}
		o.hosts[i] = host
	}
	update := listing{Version: o.latestVersion, Hosts: hosts}
	o.log = append(o.log, version{line: update.line(), hosts: hosts})
	if excess := len(o.log) - o.maxVersions; excess > 0 {
		o.log = o.log[excess:]
	}
	o.snapshot = nil
	close(o.changed)
	o.changed = make(chan struct{})
	return o.latestVersion
}

// snapshotLine returns the line of the snapshot. The caller holds the mutex.
func (o *origin) snapshotLine() []byte {
	if o.snapshot != nil {
		return o.snapshot
	}
	snapshot := listing{Version: o.latestVersion, Complete: true, Hosts: []standin.Host{}}
	for _, host := range o.hosts {
		if host.Health != standin.HealthGone {
			snapshot.Hosts = append(snapshot.Hosts, host)
		}
	}
	o.snapshot = snapshot.line()
	return o.snapshot
}

// hasVersionsAfter reports whether the log has all versions after one. The caller holds the mutex.
func (o *origin) hasVersionsAfter(after int64) bool {
	return after > 0 && after >= o.latestVersion-int64(len(o.log)) && after <= o.latestVersion
}

// updatesAfter returns what a watch gets next that has a version, a line for each later version, and the channel that
// is closed at the next change.
func (o *origin) updatesAfter(after int64) (text []byte, latest int64, changed chan struct{}) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if !o.hasVersionsAfter(after) {
		return o.snapshotLine(), o.latestVersion, o.changed
	}
	for _, version := range o.log[len(o.log)-int(o.latestVersion-after):] {
		text = append(text, version.line...)
	}
	return text, o.latestVersion, o.changed
}

// mergedDelta returns the answer to a poll that has a version: each changed worker once.
func (o *origin) mergedDelta(after int64) []byte {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if !o.hasVersionsAfter(after) {
		return o.snapshotLine()
	}
	delta := listing{Version: o.latestVersion, Hosts: []standin.Host{}}
	seen := map[string]bool{}
	missed := o.log[len(o.log)-int(o.latestVersion-after):]
	for i := len(missed) - 1; i >= 0; i-- {
		for _, host := range missed[i].hosts {
			if !seen[host.Host] {
				seen[host.Host] = true
				delta.Hosts = append(delta.Hosts, host)
			}
		}
	}
	return delta.line()
}

// ServeHTTP answers polls and watches of the endpoint list.
func (o *origin) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path != "/v1/servers" || request.Method != http.MethodGet {
		http.NotFound(writer, request)
		return
	}
	query := request.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64) // 0 if absent: a snapshot
	writer.Header().Set("Content-Type", "application/json")
	switch {
	case query.Get("watch") == "1":
		o.watch(writer, request, after)
	case after > o.version():
		http.Error(writer, "behind", http.StatusServiceUnavailable)
	default:
		o.respond(writer, request, after)
	}
}

func (o *origin) version() int64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.latestVersion
}

// respond answers a poll, compressed if the client accepts that.
func (o *origin) respond(writer http.ResponseWriter, request *http.Request, after int64) {
	text := o.mergedDelta(after)
	if strings.Contains(request.Header.Get("Accept-Encoding"), "gzip") {
		var compressed bytes.Buffer
		compressor := gzip.NewWriter(&compressed)
		compressor.Write(text)
		compressor.Close()
		text = compressed.Bytes()
		writer.Header().Set("Content-Encoding", "gzip")
	}
	writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
	writer.Write(text)
}

// watch sends each version from after on until the client leaves.
func (o *origin) watch(writer http.ResponseWriter, request *http.Request, after int64) {
	flush := writer.(http.Flusher).Flush
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for first := true; ; first = false {
		text, latest, changed := o.updatesAfter(after)
		if first && len(text) == 0 {
			text = []byte("\n") // nothing has changed: the line shows that the watch is open
		}
		if len(text) > 0 {
			writer.Write(text)
			flush()
			after = latest
		}
		select {
		case <-changed:
		case <-heartbeat.C:
			writer.Write([]byte("\n"))
			flush()
		case <-request.Context().Done():
			return
		}
	}
}
