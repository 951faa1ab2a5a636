package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

// health is the health of a listed worker in the discovery protocol.
type health string

const (
	healthReady    health = "ready"
	healthDraining health = "draining"
	healthGone     health = "gone" // no longer listed
)

// endpoint is an entry of an endpoint list in the discovery protocol.
type endpoint struct {
	Name       string  `json:"host"`
	Address    string  `json:"dial"`
	Zone       string  `json:"site"`
	Class      string  `json:"class"`
	Health     health  `json:"health"`
	Share      float64 `json:"share"`
	BornUnixMs int64   `json:"born_ms"`
}

// endpointList is a line of the discovery protocol. It contains a complete endpoint list or the changes since an
// earlier version of the list.
type endpointList struct {
	Endpoints []endpoint `json:"hosts"`
	Version   int64      `json:"seq"`
	Complete  bool       `json:"whole"` // if false, the list has only the endpoints that have changed
}

// healthChange is one change of a worker's health.
type healthChange struct {
	changedAt time.Time
	health    health
	sentOn    string // description of the connection on which a dispatcher was notified; empty in the service's own history
}

// discovery is the stand-in for the discovery service. It serves watches, which receive the changes since a version of
// the list, and injects faults. It is safe for concurrent use.
type discovery struct {
	mutex     sync.Mutex
	version   int64                     // current version of the list
	endpoints map[string]endpoint       // by worker
	changedIn map[string]int64          // by worker, the version of the list with its latest change
	history   map[string][]healthChange // by worker, in the order of their times
	faults    [faultKinds]int           // number of active faults, by kind
	outages   []interval                // times during which the service was down
	changed   chan struct{}             // closed and replaced at each change of the list or the faults

	listeners []net.Listener                       // one for each dispatcher
	notified  map[string]map[string][]healthChange // by dispatcher and worker, the changes that were sent to the dispatcher
}

// startDiscovery returns a service that lists no workers yet. It does not listen until listenFor is called.
func startDiscovery() (*discovery, error) {
	return &discovery{
		endpoints: map[string]endpoint{},
		changedIn: map[string]int64{},
		history:   map[string][]healthChange{},
		notified:  map[string]map[string][]healthChange{},
		changed:   make(chan struct{}),
	}, nil
}

func (d *discovery) close() {
	for _, listener := range d.listeners {
		listener.Close()
	}
}

// listenFor opens a listener for one dispatcher and returns its address. Each dispatcher has a listener of its own, so
// that the service knows to which dispatcher it sends a list.
func (d *discovery) listenFor(dispatcher string) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	d.listeners = append(d.listeners, listener)
	go serveConnections(listener, func(conn net.Conn) { d.serve(conn, dispatcher) })
	return listener.Addr().String(), nil
}

// recordNotification records that a list was sent to a dispatcher. A worker that a complete list does not contain
// counts as gone. A ready worker counts as notified when the write begins, since the dispatcher may use it from then
// on. Any other worker counts as notified when the write ends, since the dispatcher must stop using it only then.
func (d *discovery) recordNotification(dispatcher string, list endpointList, writing interval, sentOn string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	listed := map[string]health{}
	for _, endpoint := range list.Endpoints {
		listed[endpoint.Name] = endpoint.Health
	}
	for worker := range d.endpoints {
		health, isListed := listed[worker]
		if !isListed && !list.Complete {
			continue
		}
		if !isListed {
			health = healthGone
		}
		notifiedAt := writing.to
		if health == healthReady {
			notifiedAt = writing.from
		}
		d.addNotification(dispatcher, worker, healthChange{changedAt: notifiedAt, health: health, sentOn: sentOn})
	}
}

// resetNotifications records that a new process of a dispatcher starts, to which no list has been sent yet. It marks
// all workers as ready, so that earlier notifications do not count for the new process.
func (d *discovery) resetNotifications(dispatcher string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for worker := range d.notified[dispatcher] {
		d.addNotification(dispatcher, worker, healthChange{changedAt: time.Now(), health: healthReady})
	}
}

// addNotification adds a change to those that were sent to a dispatcher. The caller must hold the mutex.
func (d *discovery) addNotification(dispatcher, worker string, change healthChange) {
	if d.notified[dispatcher] == nil {
		d.notified[dispatcher] = map[string][]healthChange{}
	}
	d.notified[dispatcher][worker] = append(d.notified[dispatcher][worker], change)
}

// notifiedNotReadySince returns when a dispatcher was notified that a worker is not ready. notReady is false if, at the
// given time, the last notification about the worker was that it is ready, or there was none.
func (d *discovery) notifiedNotReadySince(dispatcher, worker string, at time.Time) (since time.Time, notReady bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return notReadyIn(d.notified[dispatcher][worker], at)
}

// notificationsAround describes the last notifications of a dispatcher about a worker before the given time, and the first
// ones after it, in the order in which they were recorded.
func (d *discovery) notificationsAround(dispatcher, worker string, at time.Time) (lines string) {
	const before, after = 4, 2 // numbers of notifications
	d.mutex.Lock()
	defer d.mutex.Unlock()
	changes := d.notified[dispatcher][worker]
	first := slices.IndexFunc(changes, func(change healthChange) bool { return change.changedAt.After(at) })
	if first < 0 {
		first = len(changes)
	}
	for _, change := range changes[max(first-before, 0):min(first+after, len(changes))] {
		lines += fmt.Sprintf("\n    told %s at %s %s", change.health, change.changedAt.UTC().Format("15:04:05.000000"), change.sentOn)
	}
	return lines
}

// set sets the address and health with which a worker is listed, and notifies the watches.
func (d *discovery) set(worker, address string, newHealth health) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.version++
	d.endpoints[worker] = endpoint{Name: worker, Address: address, Zone: "here", Class: "m", Health: newHealth, Share: 1}
	d.changedIn[worker] = d.version
	d.history[worker] = append(d.history[worker], healthChange{changedAt: time.Now(), health: newHealth})
	d.wakeWatches()
}

// wakeWatches makes all watches check the state of the service again. The caller must hold the mutex.
func (d *discovery) wakeWatches() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// beginFault begins a fault of the service. Several faults, also of the same kind, can be active at the same time.
func (d *discovery) beginFault(kind faultKind) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.faults[kind]++
	if kind == faultDiscoveryDown && d.faults[kind] == 1 {
		d.outages = append(d.outages, interval{from: time.Now()})
	}
	d.wakeWatches()
}

// endFault ends one fault of the given kind, which beginFault has begun.
func (d *discovery) endFault(kind faultKind) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.faults[kind]--
	if kind == faultDiscoveryDown && d.faults[kind] == 0 {
		d.outages[len(d.outages)-1].to = time.Now()
	}
	d.wakeWatches()
}

// initialList returns the complete list in the form in which a dispatcher's configuration contains it.
func (d *discovery) initialList() json.RawMessage {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.encodeSince(0)
}

// encodeSince returns the result of listSince as JSON. The caller must hold the mutex.
func (d *discovery) encodeSince(version int64) []byte {
	text, _ := json.Marshal(d.listSince(version)) // cannot fail, because the list has only strings, numbers and booleans
	return text
}

// listSince returns the changes after a version, or the complete list if the version is 0. The caller must hold the
// mutex.
func (d *discovery) listSince(version int64) endpointList {
	list := endpointList{Endpoints: []endpoint{}, Version: d.version, Complete: version == 0}
	for worker, changedIn := range d.changedIn {
		isListed := d.endpoints[worker].Health != healthGone
		if changedIn > version && (isListed || !list.Complete) {
			list.Endpoints = append(list.Endpoints, d.endpoints[worker])
		}
	}
	return list
}

// notReadySince returns since when a worker has not been listed as ready, as of the given time.
// notReady is false if the worker was listed as ready then.
func (d *discovery) notReadySince(worker string, at time.Time) (since time.Time, notReady bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return notReadyIn(d.history[worker], at)
}

// notReadyIn returns since when a worker has not been ready as of the given time, according to the changes of its
// health. notReady is false if the worker was ready then.
func notReadyIn(changes []healthChange, at time.Time) (since time.Time, notReady bool) {
	for _, change := range changes {
		switch {
		case change.changedAt.After(at):
			return since, notReady
		case change.health == healthReady:
			notReady = false
		case !notReady:
			since = change.changedAt
			notReady = true
		}
	}
	return since, notReady
}

// notificationDeadline returns when a dispatcher must know of a change that was made at changedAt.
// That is maxNotificationTime after the change, or after the end of an outage of the service in which
// the change falls. If another outage begins before the deadline, maxNotificationTime counts from the
// end of that outage.
func (d *discovery) notificationDeadline(changedAt time.Time) time.Time {
	const never = time.Hour // longer than any run
	d.mutex.Lock()
	defer d.mutex.Unlock()
	reachableSince := changedAt
	for _, outage := range d.outages {
		beginsBeforeDeadline := outage.from.After(reachableSince) && outage.from.Before(reachableSince.Add(maxNotificationTime))
		if !outage.contains(reachableSince) && !beginsBeforeDeadline {
			continue
		}
		if !outage.hasEnded() {
			return time.Now().Add(never)
		}
		reachableSince = outage.to
	}
	return reachableSince.Add(maxNotificationTime)
}
