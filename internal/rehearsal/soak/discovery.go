package soak

import (
	"encoding/json"
	"net"
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

// endpointList is a line of the discovery protocol.
type endpointList struct {
	Endpoints []endpoint `json:"hosts"`
	Version   int64      `json:"seq"`
	Complete  bool       `json:"whole"` // otherwise only what has changed
}

// healthChange is one change of a worker's health.
type healthChange struct {
	changedAt time.Time
	health    health
}

// discovery is the stand-in for the discovery service, with watches by version and faults that can
// be switched on. It is safe for concurrent use.
type discovery struct {
	mutex     sync.Mutex
	version   int64                     // of the list
	endpoints map[string]endpoint       // by worker
	changedIn map[string]int64          // by worker, the version that changed it last
	history   map[string][]healthChange // by worker
	faults    [faultKinds]int           // number of faults in force, by kind
	outages   []interval                // in which the service was down
	changed   chan struct{}             // closed and replaced at each change of the list or the faults

	listeners []net.Listener                       // one for each dispatcher that asks
	told      map[string]map[string][]healthChange // by dispatcher and worker, what was written to the dispatcher
}

// startDiscovery returns a service that lists nothing. It listens for each dispatcher: see listenFor.
func startDiscovery() (*discovery, error) {
	return &discovery{
		endpoints: map[string]endpoint{},
		changedIn: map[string]int64{},
		history:   map[string][]healthChange{},
		told:      map[string]map[string][]healthChange{},
		changed:   make(chan struct{}),
	}, nil
}

func (d *discovery) close() {
	for _, listener := range d.listeners {
		listener.Close()
	}
}

// listenFor listens for the calls of one dispatcher, so that what it was told is known, and returns the address.
func (d *discovery) listenFor(dispatcher string) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	d.listeners = append(d.listeners, listener)
	go serveConnections(listener, func(conn net.Conn) { d.serve(conn, dispatcher) })
	return listener.Addr().String(), nil
}

// recordTold records that a list was written to a dispatcher. What a complete list leaves out is gone. The dispatcher may
// know of a ready worker as soon as the write begins, and has to know of any other once it has ended.
func (d *discovery) recordTold(dispatcher string, list endpointList, writing interval) {
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
		told := writing.to
		if health == healthReady {
			told = writing.from
		}
		d.addTold(dispatcher, worker, healthChange{changedAt: told, health: health})
	}
}

// forgetTold records that a new process of a dispatcher was told nothing so far.
func (d *discovery) forgetTold(dispatcher string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for worker := range d.told[dispatcher] {
		d.addTold(dispatcher, worker, healthChange{changedAt: time.Now(), health: healthReady})
	}
}

// addTold adds to what a dispatcher was told. The caller holds the lock.
func (d *discovery) addTold(dispatcher, worker string, change healthChange) {
	if d.told[dispatcher] == nil {
		d.told[dispatcher] = map[string][]healthChange{}
	}
	d.told[dispatcher][worker] = append(d.told[dispatcher][worker], change)
}

// toldUnlistedSince returns since when a dispatcher had been told, at the given time, that a worker is not ready.
func (d *discovery) toldUnlistedSince(dispatcher, worker string, moment time.Time) (since time.Time, unlisted bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return unlistedIn(d.told[dispatcher][worker], moment)
}

// set changes how a worker is listed.
func (d *discovery) set(worker, address string, newHealth health) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.version++
	d.endpoints[worker] = endpoint{Name: worker, Address: address, Zone: "here", Class: "m", Health: newHealth, Share: 1}
	d.changedIn[worker] = d.version
	d.history[worker] = append(d.history[worker], healthChange{changedAt: time.Now(), health: newHealth})
	d.wakeWatches()
}

// wakeWatches lets all watches look at the service again. The caller holds the lock.
func (d *discovery) wakeWatches() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// beginFault puts a fault of the service in force, besides those that are.
func (d *discovery) beginFault(kind faultKind) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.faults[kind]++
	if kind == faultDiscoveryDown && d.faults[kind] == 1 {
		d.outages = append(d.outages, interval{from: time.Now()})
	}
	d.wakeWatches()
}

// endFault ends one fault that beginFault has put in force.
func (d *discovery) endFault(kind faultKind) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.faults[kind]--
	if kind == faultDiscoveryDown && d.faults[kind] == 0 {
		d.outages[len(d.outages)-1].to = time.Now()
	}
	d.wakeWatches()
}

// initialList is the complete list as a dispatcher's configuration has it.
func (d *discovery) initialList() json.RawMessage {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.encodeSince(0)
}

// encodeSince encodes what listSince returns. The caller holds the lock.
func (d *discovery) encodeSince(version int64) []byte {
	text, _ := json.Marshal(d.listSince(version)) // strings and numbers always marshal
	return text
}

// listSince returns what has changed after a version; 0: the complete list. The caller holds the lock.
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

// unlistedSince returns since when a worker has not been listed as ready at the given time;
// unlisted is false if it was.
func (d *discovery) unlistedSince(worker string, moment time.Time) (since time.Time, unlisted bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return unlistedIn(d.history[worker], moment)
}

// unlistedIn returns since when a worker was not ready at a time, by the changes of its health.
func unlistedIn(changes []healthChange, moment time.Time) (since time.Time, unlisted bool) {
	for _, change := range changes {
		switch {
		case change.changedAt.After(moment):
			return since, unlisted
		case change.health == healthReady:
			unlisted = false
		case !unlisted:
			since = change.changedAt
			unlisted = true
		}
	}
	return since, unlisted
}

// notificationDeadline is when a dispatcher must know of a change: notificationTime after the
// change was made and the service was reachable. An outage that begins before that time is over
// starts it anew at the outage's end.
func (d *discovery) notificationDeadline(changedAt time.Time) time.Time {
	const never = time.Hour // from now, longer than a run
	d.mutex.Lock()
	defer d.mutex.Unlock()
	reachableSince := changedAt
	for _, outage := range d.outages {
		beginsBeforeDeadline := outage.from.After(reachableSince) && outage.from.Before(reachableSince.Add(notificationTime))
		if !outage.contains(reachableSince) && !beginsBeforeDeadline {
			continue
		}
		if !outage.hasEnded() {
			return time.Now().Add(never)
		}
		reachableSince = outage.to
	}
	return reachableSince.Add(notificationTime)
}
