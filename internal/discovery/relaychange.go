package discovery

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/membership"
	"hollyyoke.example/hollyyoke/internal/settings"
)

// This file owns versioned changes: how they are read, checked and put in force.
// It must never put a part of a change in force of which another part is wrong,
// nor an older version in place of a newer one.

// settingChange is a changed settingChange as it stands on the wire.
type settingChange struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// change is one object of a server: a snapshot or a delta.
type change struct {
	version  membership.Version
	snapshot    bool
	base     membership.Version // that a delta continues from: asked for, or told before it; not on the wire
	exact    bool               // as of membership.Change: it fits the state at base alone
	missingFrom  membership.Version // likewise: the first version of which the sender misses something; 0: none
	endpoints    []endpoint
	settings []settingChange
	typeError    error // the first field whose value has the wrong type
}

// maxElements bounds the arrays of a change: an element that takes three bytes
// of its text takes a hundred times as many here.
const maxElements = 200_000

var errTooManyElements = fmt.Errorf("an array has over %d elements", maxElements)

// decodeChange reads one object. It decodes host by host as the bytes come:
// guards the memory, where the text of a whole snapshot has megabytes.
func decodeChange(r io.Reader) (change, error) {
	var c change
	d := json.NewDecoder(r)
	if err := expect(d, json.Delim('{')); err != nil {
		return c, err
	}
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return c, err
		}
		if err := c.field(d, key); err != nil {
			return c, err
		}
	}
	if err := expect(d, json.Delim('}')); err != nil {
		return c, err
	}
	if _, err := d.Token(); err != io.EOF {
		return c, errors.New("there is more behind the object")
	}
	return c, nil
}

// field reads the value of one key. Keys that are not known are passed over.
func (c *change) field(d *json.Decoder, key json.Token) error {
	switch key {
	case "seq":
		return named("seq", d.Decode(&c.version))
	case "whole":
		return named("whole", d.Decode(&c.snapshot))
	case "exact":
		return named("exact", d.Decode(&c.exact))
	case "missing":
		return named("missing", d.Decode(&c.missingFrom))
	case "hosts":
		return array(d, "hosts", &c.endpoints, &c.typeError)
	case "settings":
		return array(d, "settings", &c.settings, &c.typeError)
	}
	var skipped json.RawMessage
	return d.Decode(&skipped)
}

// array reads an array, or null for none, element by element. One with a value of
// the wrong type is named in wrong, unless another one is, and the rest is read.
func array[T any](d *json.Decoder, name string, out *[]T, wrong *error) error {
	switch token, err := d.Token(); {
	case err != nil:
		return err
	case token == nil:
		return nil
	case token != json.Delim('['):
		return fmt.Errorf("%s is not an array", name)
	}
	for d.More() {
		var element T
		err := d.Decode(&element)
		if _, ok := errors.AsType[*json.UnmarshalTypeError](err); ok && *wrong == nil {
			*wrong = named(fmt.Sprintf("%s[%d]", name, len(*out)), err)
		} else if err != nil && !ok {
			return err
		}
		if *out = append(*out, element); len(*out) > maxElements {
			return errTooManyElements
		}
	}
	return expect(d, json.Delim(']'))
}

func expect(d *json.Decoder, want json.Token) error {
	token, err := d.Token()
	if err != nil {
		return err
	}
	if token != want {
		return fmt.Errorf("%v stands where %v should", token, want)
	}
	return nil
}

// named says in which field a value of the wrong type stands.
func named(field string, err error) error {
	wrong, ok := errors.AsType[*json.UnmarshalTypeError](err)
	if !ok {
		return err
	}
	if wrong.Field != "" {
		field += "." + wrong.Field
	}
	return fmt.Errorf("%s: a %s cannot stand here", field, wrong.Value)
}

// changeOutcome is what a change has led to.
type changeOutcome uint8

const (
	changeApplied   changeOutcome = iota // it is in force
	changeStale                    // it tells nothing newer
	changeRejected                  // some of it is wrong: none of it is in force
	changeMismatched                // it is newer, but does not fit the state in force
)

// apply puts a change in force as a whole, unless it is not newer, wrong, or made
// for another state.
func (f *follower) apply(c change) changeOutcome {
	if c.version < f.version || c.version == f.version && !f.repairs(c) {
		f.registry.publishInitial(nil) // what is known is confirmed
		return changeStale
	}
	if !c.snapshot && c.base < f.version && (c.exact || c.missingFrom > 0) {
		if c.exact && f.repairs(c) {
			f.completeThrough = max(min(f.completeThrough, c.base-1), 0) // asked for from there, it is a snapshot
		}
		return changeMismatched
	}
	entries, err := f.validate(c)
	if err != nil {
		f.reject(c.version, err)
		return changeRejected
	}
	f.completeThrough = f.completeThroughWith(c)
	f.version, f.resumable = c.version, true
	f.rememberSettings(c.settings)
	f.registry.adopt(c.endpoints, entries)
	f.registry.publishChange(c.snapshot, entries)
	f.recordApplied(c.snapshot)
	return changeApplied
}

// covers tells whether a change goes back to where something may be missing.
func (f *follower) covers(c change) bool { return c.snapshot || c.base <= f.completeThrough }

// repairs tells whether a change brings what is missing.
func (f *follower) repairs(c change) bool {
	return f.completeThrough < f.version && c.missingFrom == 0 && f.covers(c)
}

// completeThroughWith is the version up to which nothing is missing with a change, as in
// membership.Store.
func (f *follower) completeThroughWith(c change) membership.Version {
	sender := c.version
	if c.missingFrom > 0 {
		sender = c.missingFrom - 1
	}
	switch {
	case c.snapshot || c.exact && f.completeThrough == f.version && c.base == f.version:
		return sender
	case c.exact:
		return min(f.completeThrough, sender)
	case f.covers(c):
		return max(f.completeThrough, sender)
	}
	return f.completeThrough
}

// validate checks a whole change. Its settings are in force from here on, unless
// there is an error: they come last, since what takes them checks them itself.
func (f *follower) validate(c change) ([]decision.Endpoint, error) {
	if c.typeError != nil {
		return nil, c.typeError
	}
	entries, err := f.registry.parse(c.endpoints)
	if err != nil {
		return nil, err
	}
	return entries, f.reconfigure(c.settings)
}

// reconfigure hands changed settings on; all are taken or none.
func (f *follower) reconfigure(changes []settingChange) error {
	if len(changes) == 0 {
		return nil
	}
	return f.registry.applySettings(changes)
}

// reconfigureDispatcher hands changed settings to the core. The list that goes with them
// follows in the same turn of the loop.
func (s *Registry) reconfigureDispatcher(changes []settingChange) error {
	list := make([]settings.Change, 0, len(changes))
	for _, c := range changes {
		list = append(list, settings.Change(c))
	}
	if err := s.dispatcher.Reconfigure(list); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// reject logs a change that is wrong, once.
func (f *follower) reject(v membership.Version, err error) {
	if v <= f.rejectedVersion {
		return
	}
	f.rejectedVersion = v
	f.registry.stats.Refused++
	f.registry.dispatcher.Log(fmt.Sprintf("membership: version %d is refused whole: %v; version %d stays in force", v, err, f.version))
}

// rememberSettings remembers the settings in force, for a successor.
func (f *follower) rememberSettings(changes []settingChange) {
	for _, c := range changes {
		f.settings[c.Key] = c.Value
	}
}

// appliedSettings are the settings that were changed since the start, by key.
func (f *follower) appliedSettings() []settingChange {
	out := []settingChange{}
	for _, key := range slices.SortedFunc(maps.Keys(f.settings), cmp.Compare[string]) {
		out = append(out, settingChange{key, f.settings[key]})
	}
	return out
}

func (f *follower) recordApplied(whole bool) {
	control := &f.registry.stats
	control.Applied++
	if whole {
		control.Snapshots++
	} else {
		control.Deltas++
	}
	if f.registry.OnVersionApplied != nil {
		f.registry.OnVersionApplied(f.version)
	}
	if f.registry.OnUpdate != nil {
		f.registry.OnUpdate()
	}
	f.scheduleAcknowledgement()
}

// publishChange tells the module of a change that has been taken in. The first one goes
// with the publishChange known at the start, as a change of it or in its place.
func (s *Registry) publishChange(whole bool, entries []decision.Endpoint) {
	switch {
	case whole:
		s.removeUnlisted(entries)
		s.initialEntries = nil
		s.dispatcher.Loop.Clear(&s.initialTimeout)
		s.dispatcher.UpdateWorkers(s.client, decision.ListSnapshot, entries)
	case s.initialEntries != nil:
		s.publishInitial(entries)
	case len(entries) > 0:
		s.dispatcher.UpdateWorkers(s.client, decision.ListDelta, entries)
	}
}

// adoptHandover takes in the state that the predecessor has in force.
func (f *follower) adoptHandover(list *endpointList) error {
	c := change{version: membership.Version(list.Version), snapshot: true, endpoints: list.Endpoints, settings: list.Settings}
	if c.version <= f.version {
		return nil
	}
	entries, err := f.validate(c)
	if err != nil {
		return err
	}
	f.version, f.completeThrough = c.version, 0
	if list.Settings != nil {
		f.completeThrough, f.resumable = c.version, true
	}
	f.rememberSettings(c.settings)
	f.registry.adopt(c.endpoints, entries)
	f.registry.replaceAll(entries)
	return nil
}
