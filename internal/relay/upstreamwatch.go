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
	acknowledgeInterval = time.Second     // between acknowledgements, where something has changed
	repairInterval      = 5 * time.Second // between calls for what a rejected change left out
	maxRelayHops        = 8               // between the origin and this relay

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
	if !f.snapshotOnly[server] { // otherwise its version is known from its first line
		f.reportWorking(server, path)
	}
	var acknowledging sync.WaitGroup
	defer acknowledging.Wait()
	defer cancel()
	acknowledging.Go(func() { f.acknowledge(ctx, server) })
	return f.readWatch(server, path, start, watched)
}

// readWatch applies the objects of a watch. A delta that is rejected is skipped;
// a snapshot that is rejected, or an object that cannot be read, ends the watch.
func (f *follower) readWatch(server string, path []string, start position, source *watchdog) error {
	objects := json.NewDecoder(source)
	base := start.version
	isFirst := true
	for {
		var object json.RawMessage
		source.budget = maxObjectBytes
		if err := objects.Decode(&object); err != nil {
			return f.reportUnreadable(server, err)
		}
		change, err := membership.Parse(object)
		if err != nil {
			f.state.send(rejectedMessage{version: change.Version, isSnapshot: change.Snapshot, upstream: server, reason: err})
			if change.Snapshot || change.Version == 0 {
				return errSnapshotRejected
			}
			base = max(base, change.Version)
			isFirst = false
			continue
		}
		if isFirst && change.Version < start.version {
			return errBehind
		}
		if !change.Snapshot {
			change.Base = base
		}
		applied, err := f.apply(server, change)
		if err != nil {
			return err
		}
		if applied.stateVersion < change.Version {
			return errDeltaDoesNotFit
		}
		if isFirst {
			f.reportWorking(server, path)
		}
		base = max(base, change.Version)
		isFirst = false
	}
}

// reportUnreadable lists the rejection of text that is no JSON object, and returns
// err. A connection that broke is no rejection.
func (f *follower) reportUnreadable(server string, err error) error {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		f.state.send(rejectedMessage{upstream: server, reason: err})
	}
	return err
}

// acknowledge sends the versions of this relay and its subscribers to the
// upstream, by single calls while the watch is open, and applies the responses.
// Now and then it asks for what a rejected change left out.
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

// tryCatchUp catches up beside an open watch, and logs an error.
func (f *follower) tryCatchUp(ctx context.Context, server string, current position, after membership.Version) (isSnapshot, ok bool) {
	isSnapshot, err := f.catchUp(ctx, server, current, after)
	if err != nil {
		f.log.Debug("call beside the watch failed", "upstream", server, "reason", err)
	}
	return isSnapshot, err == nil
}
