package discovery

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"hollyyoke.example/hollyyoke/decision"
)

// Export returns the address of discovery, and the list in its wire form, for a successor process.
func (r *Registry) Export() (addr string, list json.RawMessage, err error) {
	exported := endpointList{Version: r.watch.version, Snapshot: true, Endpoints: []endpoint{}}
	if follower := r.follower; follower != nil {
		exported.Version = int64(follower.inForce.version)
		if follower.inForce.resumable && follower.inForce.complete() {
			exported.Settings = follower.inForce.settingChanges()
		}
	}
	for _, worker := range r.workers {
		listed := worker.endpoint
		listed.Health = formatHealth(worker.State)
		exported.Endpoints = append(exported.Endpoints, listed)
	}
	slices.SortFunc(exported.Endpoints, func(a, b endpoint) int { return strings.Compare(a.Name, b.Name) })
	age := (r.dispatcher.Loop.Now() - r.freshness.tracker.ConfirmedAt()).Milliseconds()
	exported.AgeMs = &age
	list, err = json.Marshal(exported)
	return r.watch.address, list, err
}

// Import applies the list that a predecessor process has exported, unless this process has already received a list from
// the source. An invalid list is rejected as a whole with an error.
func (r *Registry) Import(raw json.RawMessage) error {
	if r.watch.established || r.follower != nil && r.follower.active != nil {
		return nil
	}
	var list endpointList
	if err := json.Unmarshal(raw, &list); err != nil {
		return err
	}
	if r.follower != nil {
		if err := r.follower.adoptHandover(&list); err != nil {
			return err
		}
		r.recordHandoverAge(&list)
		return nil
	}
	entries, err := r.parseAndAdopt(list.Endpoints)
	if err != nil {
		return err
	}
	r.watch.version = max(r.watch.version, list.Version)
	r.replaceAll(entries)
	r.recordHandoverAge(&list)
	return nil
}

// recordHandoverAge records how long ago the list of the predecessor was confirmed to it.
func (r *Registry) recordHandoverAge(list *endpointList) {
	if list.AgeMs != nil {
		r.freshness.tracker.HandedOver(r.dispatcher.Loop.Now(), time.Duration(*list.AgeMs)*time.Millisecond)
	}
	r.refreshAndSchedule()
}

// replaceAll replaces the known workers by a complete list, which has been adopted. If the initial list is still
// withheld, the complete list takes its place and stays withheld.
func (r *Registry) replaceAll(entries []decision.Endpoint) {
	r.removeUnlisted(entries)
	if r.initial.withheld() {
		r.initial.replace(entries)
		return
	}
	r.dispatcher.UpdateWorkers(r.client, decision.ListSnapshot, entries)
}
