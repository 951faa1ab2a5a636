//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// host is a worker in the list of discovery.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
}

// setting is a changed setting in the list of an origin.
type setting struct {
	Key   string `json:"key"`
	Value any    `json:"value"`
}

// list is a list or a change, as discovery writes it.
type list struct {
	Seq      int64     `json:"seq"`
	Whole    bool      `json:"whole"`
	Hosts    []host    `json:"hosts"`
	Settings []setting `json:"settings,omitempty"`
}

// origin is a discovery service whose list also holds changed settings. A call without watch is answered with the whole
// list, or with what changed after a version.
type origin struct {
	run     *testCase
	address string

	mutex    sync.Mutex
	version  int64
	hosts    map[string]host
	settings map[string]any
	changed  map[string]int64 // by host or setting: the version in which it changed last
	wake     chan struct{}    // closed at each change
}

// startOrigin starts an origin with an empty list.
func (c *testCase) startOrigin() *origin {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.cannotRun("%v", err)
	}
	started := &origin{
		run: c, address: listener.Addr().String(), hosts: map[string]host{}, settings: map[string]any{},
		changed: map[string]int64{}, wake: make(chan struct{}),
	}
	server := &http.Server{Handler: started, ErrorLog: log.New(io.Discard, "", 0)}
	go server.Serve(listener)
	return started
}

// publish changes hosts and settings in one version.
func (o *origin) publish(hosts []host, settings ...setting) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.version++
	for _, changed := range hosts {
		o.hosts[changed.Host] = changed
		o.changed["host "+changed.Host] = o.version
		o.run.record("origin: version %d: %s is %s", o.version, changed.Host, changed.Health)
	}
	for _, changed := range settings {
		o.settings[changed.Key] = changed.Value
		o.changed["setting "+changed.Key] = o.version
		o.run.record("origin: version %d: setting %s is %v", o.version, changed.Key, changed.Value)
	}
	close(o.wake)
	o.wake = make(chan struct{})
}

// since returns what changed after a version, or the whole list if that is 0.
func (o *origin) since(version int64) list {
	result := list{Seq: o.version, Whole: version <= 0, Hosts: []host{}}
	for _, name := range slices.Sorted(maps.Keys(o.hosts)) {
		listed := o.hosts[name]
		isNew := o.changed["host "+name] > version
		if isNew && (!result.Whole || listed.Health != "gone") {
			result.Hosts = append(result.Hosts, listed)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(o.settings)) {
		if o.changed["setting "+key] > version {
			result.Settings = append(result.Settings, setting{key, o.settings[key]})
		}
	}
	return result
}

// ServeHTTP answers a call or a watch.
func (o *origin) ServeHTTP(out http.ResponseWriter, request *http.Request) {
	if request.URL.Path != "/v1/servers" {
		http.NotFound(out, request)
		return
	}
	after, _ := strconv.ParseInt(request.URL.Query().Get("after"), 10, 64)
	if request.URL.Query().Get("watch") == "1" {
		o.watch(out, request, after)
		return
	}
	o.mutex.Lock()
	answer, _ := json.Marshal(o.since(after))
	o.mutex.Unlock()
	out.Write(answer)
}

// watch writes each change as it is published, and an empty line every 2 s.
func (o *origin) watch(out http.ResponseWriter, request *http.Request, after int64) {
	heartbeat := time.NewTicker(2 * time.Second)
	defer heartbeat.Stop()
	for first := true; ; first = false {
		o.mutex.Lock()
		change := o.since(after)
		wake := o.wake
		o.mutex.Unlock()
		if first || change.Seq > after {
			text, _ := json.Marshal(change)
			fmt.Fprintf(out, "%s\n", text)
			after = change.Seq
			http.NewResponseController(out).Flush()
		}
		select {
		case <-wake:
		case <-heartbeat.C:
			io.WriteString(out, "\n")
			http.NewResponseController(out).Flush()
		case <-request.Context().Done():
			return
		}
	}
}
