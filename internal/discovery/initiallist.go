package discovery

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/eventloop"
)

// initialListTimeout is how long the initial endpoint list is withheld while the first update of the source is awaited.
const initialListTimeout = time.Second

// initialEndpoints is the endpoint list that was given at the start. It is withheld from the dispatcher until the source
// answers or the timeout expires. If the first response is a delta, it is merged into the list, and both are published
// together.
type initialEndpoints struct {
	entries map[string]decision.Endpoint // by worker name; nil if no list is withheld
	timeout eventloop.Deadline
}

// withheld reports whether the list is withheld, which ends when a list is published.
func (l *initialEndpoints) withheld() bool { return l.entries != nil }

// withhold keeps the entries of a list that are not removed.
func (l *initialEndpoints) withhold(entries []decision.Endpoint) {
	l.entries = map[string]decision.Endpoint{}
	for _, entry := range entries {
		if entry.State != decision.Removed {
			l.entries[entry.Name] = entry
		}
	}
}

// replace replaces the withheld list by another one.
func (l *initialEndpoints) replace(entries []decision.Endpoint) {
	clear(l.entries)
	for _, entry := range entries {
		l.entries[entry.Name] = entry
	}
}

// merge applies changes to the list.
func (l *initialEndpoints) merge(changes []decision.Endpoint) {
	for _, entry := range changes {
		if entry.State == decision.Removed {
			delete(l.entries, entry.Name)
		} else {
			l.entries[entry.Name] = entry
		}
	}
}

// sorted returns the entries sorted by name, since map order would make runs differ.
func (l *initialEndpoints) sorted() []decision.Endpoint {
	return slices.SortedFunc(maps.Values(l.entries), func(a, b decision.Endpoint) int {
		return strings.Compare(a.Name, b.Name)
	})
}

// LoadInitial applies the endpoint list that is given at the start, in its wire form, and begins to follow the source.
// No worker is taken from an invalid list, for which an error is returned.
//
// The list may be old. Requests are accepted at once, since clients have no other dispatcher to use, but they wait until
// the source has sent what has changed, or until initialListTimeout has passed. If there are many dispatchers, they
// subscribe in turn and the first update may take long, so the initial list is used at once.
func (r *Registry) LoadInitial(raw []byte) error {
	list := endpointList{Snapshot: true}
	if len(raw) > 0 {
		if err := json.Unmarshal(raw, &list); err != nil {
			return err
		}
	}
	now := r.dispatcher.Loop.Now()
	r.watch.version = list.Version
	r.watch.lastContact = now
	r.freshness.tracker.Start(now)
	r.refreshAndSchedule()
	entries, err := r.parseAndAdopt(list.Endpoints)
	if err != nil {
		return err
	}
	r.initial.withhold(entries)
	r.followSource(&list)
	return nil
}

// followSource begins to follow the source from the initial list.
func (r *Registry) followSource(list *endpointList) {
	loop := r.dispatcher.Loop
	if r.follower != nil {
		loop.Set(&r.initial.timeout, loop.Now()+initialListTimeout)
		r.follower.start(list)
		return
	}
	settings := &r.dispatcher.Settings
	subscribesLater := settings.ListBySubscription && settings.ManyDispatchers() // the dispatcher calls Subscribe
	if r.watch.address == "" || subscribesLater {
		r.publishInitial(nil)
		r.watch.scheduleReconnect(r.watch.lastContact)
		return
	}
	loop.Set(&r.initial.timeout, loop.Now()+initialListTimeout)
	r.watch.open()
}

// publishInitial reports the initial list, merged with changes, to the dispatcher, unless a list has been published
// already.
func (r *Registry) publishInitial(changes []decision.Endpoint) {
	if !r.initial.withheld() {
		return
	}
	r.initial.merge(changes)
	entries := r.initial.sorted()
	r.endInitial()
	r.dispatcher.UpdateWorkers(r.client, decision.ListCached, entries)
	r.refreshAndSchedule()
	r.suspendNewlyListed()
}

// endInitial drops the initial list once it has been published or replaced.
func (r *Registry) endInitial() {
	r.initial.entries = nil
	r.dispatcher.Loop.Clear(&r.initial.timeout)
}
