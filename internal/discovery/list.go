package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"hollyyoke.example/hollyyoke/decision"
)

// This file owns the list of backends: how discovery words it, the list known at
// the start, and which backends it makes known. It must never take in a part of a
// list of which another part is wrong.

// HasRunning tells whether there is a backend that takes new work, by what is known so far.
func (s *Registry) HasRunning() bool {
	for _, b := range s.workers {
		if b.State == decision.Running {
			return true
		}
	}
	return false
}

// endpointList is a list of backends as discovery words it.
type endpointList struct {
	Version   int64      `json:"seq"`
	Snapshot bool       `json:"whole"`
	Endpoints []endpoint `json:"hosts"`

	// Settings are those that were changed up to that version. A list without them
	// may come from one who does not know of any.
	Settings []settingChange `json:"settings,omitzero"`

	// AgeMs is how long ago, in milliseconds, discovery was last heard whole by who
	// hands the list over. Discovery's own lists have none.
	AgeMs *int64 `json:"age_ms,omitempty"`
}

type endpoint struct {
	Name   string  `json:"host"`
	Address   string  `json:"dial"`
	Zone   string  `json:"site"`
	Kind  string  `json:"class"`
	Cell  int     `json:"block"`
	Health string  `json:"health"`
	Weight  float64 `json:"share"`
	StartedAtMs float64 `json:"born_ms"`
}

// LoadInitial takes in the list that the dispatcher had before its start. It may be
// old: nothing is sent by it until discovery has told what has changed, or has
// had its time. Reqs are taken meanwhile and wait for that list, since a client
// that is let in late has nobody else to go to. In a herd of dispatchers the word
// of discovery may be long in coming, and the list known serves at once.
func (s *Registry) LoadInitial(raw []byte) error {
	list := endpointList{Snapshot: true}
	if len(raw) > 0 {
		if err := json.Unmarshal(raw, &list); err != nil {
			return err
		}
	}
	s.watch.version, s.watch.lastContact = list.Version, s.dispatcher.Loop.Now()
	s.tracker.Start(s.dispatcher.Loop.Now())
	s.refreshAndSchedule()
	entries, err := s.parseAndAdopt(list.Endpoints)
	if err != nil {
		return err
	}
	s.initialEntries = map[string]decision.Endpoint{}
	for _, e := range entries {
		if e.State != decision.Removed {
			s.initialEntries[e.Name] = e
		}
	}
	if s.follower != nil {
		s.dispatcher.Loop.Set(&s.initialTimeout, s.dispatcher.Loop.Now()+initialListTimeout)
		s.follower.start(&list)
		return nil
	}
	if s.watch.address == "" || s.dispatcher.Settings.ListBySubscription && s.dispatcher.Settings.LargeFleet() { // the module says when to call
		s.publishInitial(nil)
		s.watch.scheduleReconnect(s.watch.lastContact)
		return nil
	}
	s.dispatcher.Loop.Set(&s.initialTimeout, s.dispatcher.Loop.Now()+initialListTimeout)
	s.watch.open()
	return nil
}

// publishInitial gives the module the list known at the start, with what has changed since.
func (s *Registry) publishInitial(changes []decision.Endpoint) {
	if s.initialEntries == nil {
		return
	}
	for _, e := range changes {
		if s.initialEntries[e.Name] = e; e.State == decision.Removed {
			delete(s.initialEntries, e.Name)
		}
	}
	entries := slices.SortedFunc(maps.Values(s.initialEntries), func(a, b decision.Endpoint) int {
		return strings.Compare(a.Name, b.Name) // a map's order would make runs differ
	})
	s.initialEntries = nil
	s.dispatcher.Loop.Clear(&s.initialTimeout)
	s.dispatcher.UpdateWorkers(s.client, decision.ListCached, entries)
	s.refreshAndSchedule()
}

// Export tells where discovery is, and the list in its words, for a successor.
func (s *Registry) Export() (addr string, list json.RawMessage, err error) {
	words := map[decision.WorkerState]string{decision.Running: "ready", decision.Draining: "draining"}
	l := endpointList{Version: s.watch.version, Snapshot: true, Endpoints: []endpoint{}}
	if f := s.follower; f != nil {
		if l.Version = int64(f.version); f.resumable && f.completeThrough == f.version {
			l.Settings = f.appliedSettings()
		}
	}
	for _, b := range s.workers {
		h := b.endpoint
		h.Health = words[b.State]
		l.Endpoints = append(l.Endpoints, h)
	}
	slices.SortFunc(l.Endpoints, func(a, b endpoint) int { return strings.Compare(a.Name, b.Name) })
	age := (s.dispatcher.Loop.Now() - s.tracker.ConfirmedAt()).Milliseconds()
	l.AgeMs = &age
	list, err = json.Marshal(l)
	return s.watch.address, list, err
}

// Import takes in the list that the predecessor has heard, as long as discovery
// is silent here. Its word comes first once it speaks.
func (s *Registry) Import(raw json.RawMessage) error {
	var list endpointList
	if s.watch.established || s.follower != nil && s.follower.active != nil {
		return nil
	}
	if err := json.Unmarshal(raw, &list); err != nil {
		return err
	}
	if s.follower != nil {
		return s.follower.adoptHandover(&list)
	}
	entries, err := s.parseAndAdopt(list.Endpoints)
	if err != nil {
		return err
	}
	s.watch.version = max(s.watch.version, list.Version)
	s.replaceAll(entries)
	if list.AgeMs != nil {
		s.tracker.HandedOver(s.dispatcher.Loop.Now(), time.Duration(*list.AgeMs)*time.Millisecond)
	}
	s.refreshAndSchedule()
	return nil
}

// replaceAll puts a complete list in the place of what is known.
func (s *Registry) replaceAll(entries []decision.Endpoint) {
	s.removeUnlisted(entries)
	if s.initialEntries == nil {
		s.dispatcher.UpdateWorkers(s.client, decision.ListSnapshot, entries)
		return
	}
	clear(s.initialEntries)
	for _, e := range entries {
		s.initialEntries[e.Name] = e
	}
}

// CheckList tells what is wrong with a list of backends, and takes in none of it.
func (s *Registry) CheckList(raw []byte) error {
	var list endpointList
	if len(raw) == 0 {
		return nil
	}
	err := json.Unmarshal(raw, &list)
	if err == nil {
		_, err = s.parse(list.Endpoints)
	}
	if err != nil {
		err = fmt.Errorf("config: known: %w", err)
	}
	return err
}

// removeUnlisted marks all backends as gone that a complete list lacks.
func (s *Registry) removeUnlisted(entries []decision.Endpoint) {
	listed := map[string]bool{}
	for _, e := range entries {
		listed[e.Name] = true
	}
	for name, b := range s.workers {
		if !listed[name] {
			s.remove(b)
		}
	}
}

func (s *Registry) remove(b *Worker) {
	if b.State != decision.Removed {
		b.State, b.Since = decision.Removed, s.dispatcher.Loop.Now()
		s.client.WorkerLeaving(b)
	}
	s.client.CloseIdleTo(b)
	delete(s.workers, b.Name)
}

// parse checks a whole list and takes in none of it.
func (s *Registry) parse(list []endpoint) ([]decision.Endpoint, error) {
	entries := make([]decision.Endpoint, 0, len(list))
	for i, h := range list {
		at := "hosts[" + strconv.Itoa(i) + "]"
		e := decision.Endpoint{
			Name: h.Name, Cell: h.Cell, Weight: h.Weight,
			Zone: index(s.dispatcher.Settings.ZoneNames, h.Zone), Kind: index(s.dispatcher.Settings.KindNames, h.Kind),
		}
		if h.StartedAtMs > 0 && h.StartedAtMs < 1e13 {
			e.StartedAt = time.Duration(h.StartedAtMs * float64(time.Millisecond))
		}
		switch h.Health {
		case "ready":
			e.State = decision.Running
		case "draining":
			e.State = decision.Draining
		case "gone":
			e.State = decision.Removed
		default:
			return nil, errors.New(at + ".health: unknown value " + strconv.Quote(h.Health))
		}
		if h.Name == "" {
			return nil, errors.New(at + ".host is empty")
		}
		if _, _, err := net.SplitHostPort(h.Address); err != nil && e.State != decision.Removed {
			return nil, errors.New(at + ".dial: " + err.Error())
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// parseAndAdopt takes in a list, unless some of it is wrong.
func (s *Registry) parseAndAdopt(list []endpoint) ([]decision.Endpoint, error) {
	entries, err := s.parse(list)
	if err == nil {
		s.adopt(list, entries)
	}
	return entries, err
}

// adopt takes in a list that has been parsed.
func (s *Registry) adopt(list []endpoint, entries []decision.Endpoint) {
	now := s.dispatcher.Loop.Now()
	for i, e := range entries {
		b := s.workers[e.Name]
		if e.State == decision.Removed {
			if b != nil {
				s.remove(b)
			}
			continue
		}
		if b == nil {
			b = &Worker{Name: e.Name, Address: list[i].Address, State: e.State, Since: now}
			s.workers[e.Name] = b
		}
		if b.Address != list[i].Address {
			s.client.CloseIdleTo(b)
			b.Address = list[i].Address
		}
		if b.endpoint = list[i]; b.State != e.State {
			b.State, b.Since = e.State, now
			if e.State == decision.Draining {
				s.client.WorkerLeaving(b)
			}
		}
	}
}

// index finds a name; -1 is a number that no setting names.
func index(names []string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return -1
}
