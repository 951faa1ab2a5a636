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

// listUpdate is a snapshot or a delta of the endpoint list as clients receive it.
type listUpdate struct {
	Version  int64          `json:"seq"`
	Complete bool           `json:"whole"`
	Hosts    []standin.Host `json:"hosts"`
}

// line returns the update as a line of JSON.
func (l *listUpdate) line() []byte {
	text, _ := json.Marshal(l) // strings and numbers always marshal
	return append(text, '\n')
}

// loggedVersion is one version in the origin's log. It holds the changed workers, and the line of JSON with these that is
// sent to clients.
type loggedVersion struct {
	line  []byte
	hosts []standin.Host
}

// origin is a discovery service that serves tens of thousands of workers to thousands of watches. Each version is
// marshalled once for all watches. It is safe for concurrent use.
type origin struct {
	server      *http.Server
	maxVersions int // number of versions that the log keeps

	mutex         sync.Mutex
	latestVersion int64
	hosts         []standin.Host  // in the order in which they were first listed; removed workers stay
	indexByName   map[string]int  // indices into hosts
	log           []loggedVersion // the latest versions, up to latestVersion
	snapshot      []byte          // the marshalled snapshot; nil if it is out of date
	changed       chan struct{}   // closed and replaced at the next change
}

// heartbeatInterval is the interval at which empty lines are sent on a watch.
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

// change publishes the changed workers as one new version, and returns its number.
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
	update := listUpdate{Version: o.latestVersion, Hosts: hosts}
	o.log = append(o.log, loggedVersion{line: update.line(), hosts: hosts})
	if excess := len(o.log) - o.maxVersions; excess > 0 {
		o.log = o.log[excess:]
	}
	o.snapshot = nil
	close(o.changed)
	o.changed = make(chan struct{})
	return o.latestVersion
}

// snapshotLine returns the snapshot as a line, which it marshals if it is out of date. The caller holds the mutex.
func (o *origin) snapshotLine() []byte {
	if o.snapshot != nil {
		return o.snapshot
	}
	snapshot := listUpdate{Version: o.latestVersion, Complete: true, Hosts: []standin.Host{}}
	for _, host := range o.hosts {
		if host.Health != standin.HealthGone {
			snapshot.Hosts = append(snapshot.Hosts, host)
		}
	}
	o.snapshot = snapshot.line()
	return o.snapshot
}

// hasVersionsAfter reports whether the log has all versions after the given one, which the origin must have published. The
// caller holds the mutex.
func (o *origin) hasVersionsAfter(after int64) bool {
	return after > 0 && after >= o.latestVersion-int64(len(o.log)) && after <= o.latestVersion
}

// updatesAfter returns the lines to send next on a watch whose client has the given version: one for each later version, or
// the snapshot if the log does not have all of them. It also returns the latest version and the channel that is closed at
// the next change.
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

// mergedDelta returns the response to a poll whose client has the given version: one delta in which each worker that has
// changed since appears once, or the snapshot if the log does not have all later versions.
func (o *origin) mergedDelta(after int64) []byte {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if !o.hasVersionsAfter(after) {
		return o.snapshotLine()
	}
	delta := listUpdate{Version: o.latestVersion, Hosts: []standin.Host{}}
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
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64) // 0 if the client has no version: it gets a snapshot
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

// respond answers a poll. The response is compressed by gzip if the client accepts that.
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

// watch sends each version later than after, those in the log at once and the others when they are published, until the
// client disconnects.
func (o *origin) watch(writer http.ResponseWriter, request *http.Request, after int64) {
	flush := writer.(http.Flusher).Flush
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for first := true; ; first = false {
		text, latest, changed := o.updatesAfter(after)
		if first && len(text) == 0 {
			text = []byte("\n") // the client has the latest version: an empty line tells it that the watch is open
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
