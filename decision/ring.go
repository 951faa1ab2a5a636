package decision

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Requests with one key go to its owners, so that what the key names is cached there. The owners are a few
// workers that follow the key on a ring of hashes (consistent hashing). The ring is the same at every
// dispatcher.
const (
	minOwners = 2 // owners looked at first, where a cache miss has a price
	maxOwners = 8 // and at most; at once where it has none
	// ringRebuildFraction is the inverse of the part of the ring whose change makes it built anew.
	ringRebuildFraction = 16
)

// Constants of hashName's last step: the golden ratio in 64 bits, as in Fibonacci hashing, and shifts that
// mix the high bits into the low ones. All dispatchers of a fleet must agree on them.
const (
	hashMultiplier  = 0x9e3779b97f4a7c15
	hashFirstShift  = 32
	hashSecondShift = 29
)

// hashName is the FNV-1a hash of a name, never 0, with its bits mixed once more since names often differ
// only at their end.
func hashName(name string) uint64 {
	f := fnv.New64a()
	f.Write([]byte(name))
	h := f.Sum64()
	h = (h ^ h>>hashFirstShift) * hashMultiplier
	return h ^ h>>hashSecondShift | 1
}

// ownerHash records the key of a request, and returns the hash by which the request goes to the key's
// owners; 0 if it goes anywhere.
//
// Where a cache miss has no price, only rare keys have owners: a frequent one would overload them, and is
// cached everywhere. While there is a fault no key has, since what is known of workers then counts for more
// than their caches.
func (m *Machine) ownerHash(key string) uint64 {
	hash, recent := m.recentKeys.record(key, max(len(m.fleet)/maxOwners, 1))
	healthy := m.counts.ejected == 0 && m.ceilings.badRatio < overloadBadRatio
	if m.settings.CacheMissCost > 0 || !recent && healthy {
		return hash
	}
	return 0
}

// recentKeys holds the hashes of the latest requests' keys, the oldest first.
type recentKeys []uint64

// record notes the key of a request, and returns its hash, 0 for none, and whether it is among the latest
// ones. Those are at most limit: so many that a key seen twice makes up about as much of all work as its
// owners can carry.
func (k *recentKeys) record(key string, limit int) (hash uint64, recent bool) {
	if key == "" {
		return 0, false
	}
	hash = hashName(key)
	recent = slices.Contains(*k, hash)
	*k = append(*k, hash)
	excess := len(*k) - limit
	if excess > 0 {
		*k = slices.Delete(*k, 0, excess)
	}
	return hash, recent
}

// initialOwners is the number of a key's owners that are looked at first.
func (s *Settings) initialOwners() int {
	if s.CacheMissCost > 0 {
		return minOwners
	}
	return maxOwners
}

// hashRing holds the fleet in the order of the hashes of the workers' names. It is brought up to date when
// it is used.
type hashRing struct {
	sorted  []*worker // by compareByHash, but for changes; empty: to be built anew
	changes []*worker // that came or went since the last use
	owners  []*worker // the latest result of ownersOf
}

// ownersOf returns the n workers of the fleet that follow a key, in a buffer that the next call overwrites.
func (r *hashRing) ownersOf(key uint64, n int, fleet []*worker) []*worker {
	r.update(fleet)
	compareToKey := func(worker *worker, key uint64) int { return cmp.Compare(worker.nameHash, key) }
	first, _ := slices.BinarySearchFunc(r.sorted, key, compareToKey)
	r.owners = r.owners[:0]
	for i := range min(n, len(r.sorted)) {
		r.owners = append(r.owners, r.sorted[(first+i)%len(r.sorted)])
	}
	return r.owners
}

// compareByHash orders the ring.
func compareByHash(a, b *worker) int {
	return cmp.Or(cmp.Compare(a.nameHash, b.nameHash), cmp.Compare(a.Name, b.Name))
}

// noteChange notes that a worker has come or gone. After many of them the ring is built anew at its next
// use.
func (r *hashRing) noteChange(worker *worker) {
	r.changes = append(r.changes, worker)
	if len(r.changes) > len(r.sorted)/ringRebuildFraction {
		r.sorted = nil
		r.changes = nil
	}
}

// update brings the ring up to date with the workers that came or went since its last use.
func (r *hashRing) update(fleet []*worker) {
	if len(r.sorted) == 0 {
		r.sorted = slices.SortedFunc(slices.Values(fleet), compareByHash)
	}
	for _, worker := range r.changes {
		position, found := slices.BinarySearchFunc(r.sorted, worker, compareByHash)
		switch {
		case worker.State != Removed && !found:
			r.sorted = slices.Insert(r.sorted, position, worker)
		case worker.State != Removed:
			r.sorted[position] = worker
		case found && r.sorted[position] == worker:
			r.sorted = slices.Delete(r.sorted, position, position+1)
		}
	}
	r.changes = r.changes[:0]
}
