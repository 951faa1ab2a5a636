package relay

import (
	"time"

	"hollyyoke.example/hollyyoke/internal/membership"
)

// snapshotReuseTime is how long a snapshot is still sent after newer versions have
// arrived. Its receivers are sent the changes since as deltas.
const snapshotReuseTime = 250 * time.Millisecond

// changeCache holds the encoded changes that subscribers lack, so that each is
// encoded once for all subscribers at the same version. The deltas lead to the
// store's version; the snapshot may be of a version shortly before.
type changeCache struct {
	store      *membership.Store
	counters   *counters
	deltas     map[membership.Version]*encodedChange // by the version that they continue from
	snapshot   *encodedChange                        // nil if there is none
	snapshotAt time.Duration                         // when it was made
}

func newChangeCache(store *membership.Store, counters *counters) *changeCache {
	return &changeCache{store: store, counters: counters, deltas: map[membership.Version]*encodedChange{}}
}

// since returns the change that a subscriber at version after lacks, or nil if
// after is newer than the state.
func (c *changeCache) since(now time.Duration, after membership.Version) *encodedChange {
	if c.store.NeedsSnapshot(after) && c.canReuseSnapshot(now, after) {
		return c.snapshot
	}
	cached := c.deltas[after]
	if cached != nil {
		return cached
	}
	change, ok := c.store.Since(after)
	if !ok {
		return nil
	}
	encoded := newEncodedChange(change, c.counters)
	if change.Snapshot {
		c.snapshot = encoded
		c.snapshotAt = now
		return encoded
	}
	c.deltas[after] = encoded
	return encoded
}

// canReuseSnapshot reports whether the last snapshot may be sent to a subscriber at
// version after.
func (c *changeCache) canReuseSnapshot(now time.Duration, after membership.Version) bool {
	if c.snapshot == nil || c.snapshot.version <= after && after != 0 {
		return false
	}
	return c.snapshot.version == c.store.Version() || now-c.snapshotAt < snapshotReuseTime
}

// dropDeltas drops the deltas. It is called when the store's version has changed.
func (c *changeCache) dropDeltas() { clear(c.deltas) }

// expire drops the snapshot if it may not be sent any more.
func (c *changeCache) expire(now time.Duration) {
	if c.snapshot != nil && c.snapshot.version != c.store.Version() && now-c.snapshotAt > snapshotReuseTime {
		c.snapshot = nil
	}
}
