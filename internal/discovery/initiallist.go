package discovery

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"hollyyoke.example/hollyyoke/decision"
)

// initialListTimeout is how long the initial endpoint list is withheld for the first update of the source.
const initialListTimeout = time.Second

// LoadInitial applies the list that the dispatcher had before its start, in its wire form, and begins to follow the
// source. No worker is taken from a list that is wrong, for which an error is returned.
//
// The list may be old. Requests are accepted at once, since a client has no other dispatcher to turn to, but they wait
// until the source has sent what has changed, or initialListTimeout has passed. In a large fleet of dispatchers that
// subscribe in turn the first update may take long, and the initial list is used at once.
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
	r.tracker.Start(now)
	r.refreshAndSchedule()
	entries, err := r.parseAndAdopt(list.Endpoints)
	if err != nil {
		return err
	}
	r.withhold(entries)
	r.followSource(&list)
	return nil
}

// withhold keeps the entries of the initial list until publishInitial.
func (r *Registry) withhold(entries []decision.Endpoint) {
	r.initialEntries = map[string]decision.Endpoint{}
	for _, entry := range entries {
		if entry.State != decision.Removed {
			r.initialEntries[entry.Name] = entry
		}
	}
}

// followSource begins to follow the source from the initial list.
func (r *Registry) followSource(list *endpointList) {
	loop := r.dispatcher.Loop
	if r.follower != nil {
		loop.Set(&r.initialTimeout, loop.Now()+initialListTimeout)
		r.follower.start(list)
		return
	}
	settings := &r.dispatcher.Settings
	subscribesLater := settings.ListBySubscription && settings.LargeFleet() // the dispatcher calls Subscribe
	if r.watch.address == "" || subscribesLater {
		r.publishInitial(nil)
		r.watch.scheduleReconnect(r.watch.lastContact)
		return
	}
	loop.Set(&r.initialTimeout, loop.Now()+initialListTimeout)
	r.watch.open()
}

// publishInitial reports the initial list to the dispatcher, with the changes that have come since, unless a list has
// been published.
func (r *Registry) publishInitial(changes []decision.Endpoint) {
	if r.initialEntries == nil {
		return
	}
	for _, entry := range changes {
		if entry.State == decision.Removed {
			delete(r.initialEntries, entry.Name)
		} else {
			r.initialEntries[entry.Name] = entry
		}
	}
	entries := slices.SortedFunc(maps.Values(r.initialEntries), func(a, b decision.Endpoint) int {
		return strings.Compare(a.Name, b.Name) // map order would make runs differ
	})
	r.initialEntries = nil
	r.dispatcher.Loop.Clear(&r.initialTimeout)
	r.dispatcher.UpdateWorkers(r.client, decision.ListCached, entries)
	r.refreshAndSchedule()
}
