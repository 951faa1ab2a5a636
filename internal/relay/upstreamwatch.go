package relay

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"hollyyoke.example/hollyyoke/internal/membership"
)

const (
	acknowledgeInterval = time.Second     // between acknowledgements, while something changes
	repairInterval      = 5 * time.Second // between calls for the content of a rejected change
	maxRelayHops        = 8               // relays between the origin and this relay

	// refreshesPerExpiry is how often an unchanged acknowledgement is repeated
	// within the expiry.
	refreshesPerExpiry = 3
)

// watch applies an upstream's changes from the state's version on, until the
// watch fails.
func (f *follower) watch(parent context.Context, server string) error {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	start, ok := f.position()
	if !ok {
		return net.ErrClosed
	}
	query := url.Values{
		"watch": {"1"},
		"name":  {f.name},
		"after": {formatVersion(start.version)},
		"fleet": {strconv.Itoa(start.subscribersBelow)},
	}
	response, err := f.get(ctx, server, query, "identity")
	if err != nil {
		return err
	}
	defer response.Body.Close()
	path := parseVia(response.Header.Values("Via"))
	if slices.Contains(path, f.name) || len(path) > maxRelayHops {
		return errLoop
	}
	watched := newWatchdog(response.Body, cancel)
	defer watched.stop()
	if !f.snapshotOnly[server] { // otherwise its version is known only from the first line
		f.reportWorking(server, path)
	}
	var acknowledging sync.WaitGroup
	defer acknowledging.Wait()
	defer cancel()
	acknowledging.Go(func() { f.acknowledge(ctx, server) })
	opened := &openedWatch{
		follower: f,
		server:   server,
		path:     path,
		start:    start.version,
		base:     start.version,
		isFirst:  true,
	}
	return opened.read(watched)
}

// openedWatch is a watch of an upstream that is being read.
type openedWatch struct {
	follower *follower
	server   string
	path     []string           // the relays that its changes pass through
	start    membership.Version // version of the state when the watch was opened
	base     membership.Version // newest version received on the watch, from which its next delta continues
	isFirst  bool               // no object has been received yet
}

// read applies the objects of the watch. A delta that is rejected is skipped; a
// snapshot that is rejected, or an object that cannot be read, ends the watch.
func (w *openedWatch) read(source *watchdog) error {
	objects := json.NewDecoder(source)
	for {
		var object json.RawMessage
		source.budget = maxObjectBytes
		if err := objects.Decode(&object); err != nil {
			return w.follower.reportUnreadable(w.server, err)
		}
		version, err := w.applyObject(object)
		if err != nil {
			return err
		}
		w.base = max(w.base, version)
		w.isFirst = false
	}
}

// applyObject applies one object and returns its version. An error ends the watch.
func (w *openedWatch) applyObject(object json.RawMessage) (membership.Version, error) {
	change, err := membership.Parse(object)
	if err != nil {
		return change.Version, w.reject(change, err)
	}
	if w.isFirst && change.Version < w.start {
		return 0, errBehind
	}
	if !change.Snapshot {
		change.Base = w.base
	}
	applied, err := w.follower.apply(w.server, change)
	if err != nil {
		return 0, err
	}
	if applied.stateVersion < change.Version {
		return 0, errDeltaDoesNotFit
	}
	if w.isFirst {
		w.follower.reportWorking(w.server, w.path)
	}
	return change.Version, nil
}

// reject records the rejection of a change that contains an invalid field. Only a
// delta whose version is known can be skipped; otherwise reject returns an error.
func (w *openedWatch) reject(change membership.Change, reason error) error {
	w.follower.state.send(rejectedMessage{
		version:    change.Version,
		isSnapshot: change.Snapshot,
		upstream:   w.server,
		reason:     reason,
	})
	if change.Snapshot || change.Version == 0 {
		return errSnapshotRejected
	}
	return nil
}

// reportUnreadable returns err and, if that is a JSON syntax error, also records a
// rejection. A broken connection does not count as a rejection.
func (f *follower) reportUnreadable(server string, err error) error {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		f.state.send(rejectedMessage{upstream: server, reason: err})
	}
	return err
}

// acknowledge sends the versions of this relay and its subscribers to the upstream,
// in single calls while the watch is open, and applies the responses. While the
// content of a rejected change is missing, it also requests that every
// repairInterval.
func (f *follower) acknowledge(ctx context.Context, server string) {
	refreshInterval := f.state.config.ackExpiry() / refreshesPerExpiry
	ticker := time.NewTicker(acknowledgeInterval)
	defer ticker.Stop()
	var acknowledged position
	var acknowledgedAt, repairedAt time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		current, ok := f.position()
		now := f.state.now()
		if !ok {
			return
		}
		if current.resumeVersion < current.version && now-repairedAt >= repairInterval {
			f.tryCatchUp(ctx, server, current, current.resumeVersion)
			repairedAt = now
		}
		isFresh := current == acknowledged && now-acknowledgedAt < refreshInterval
		if f.snapshotOnly[server] || isFresh {
			continue
		}
		isSnapshot, ok := f.tryCatchUp(ctx, server, current, current.version)
		if ok {
			acknowledged = current
			acknowledgedAt = now
		}
		f.snapshotOnly[server] = isSnapshot && current.version > 0
	}
}

// tryCatchUp calls catchUp while the watch is open, and logs an error.
func (f *follower) tryCatchUp(ctx context.Context, server string, current position, after membership.Version) (isSnapshot, ok bool) {
	isSnapshot, err := f.catchUp(ctx, server, current, after)
	if err != nil {
		f.log.Debug("single call during the watch failed", "upstream", server, "reason", err)
	}
	return isSnapshot, err == nil
}
