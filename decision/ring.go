package decision

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Requests with the same key go to the key's owners, which are likely to have the data that the key
// identifies in their cache. The owners are a few workers that follow the key on a ring of hashes
// (consistent hashing). The ring is the same at every dispatcher.
const (
	minOwners = 2 // owners considered first if CacheMissCost is set
	maxOwners = 8 // owners considered at most; without CacheMissCost all of them are considered at once
	// ringRebuildDivisor is the inverse of the fraction of the ring that may change before it is rebuilt.
	ringRebuildDivisor = 16
)

// Constants of hashName's final mixing step: the golden ratio in 64 bits, as in Fibonacci hashing, and
// shifts that mix the high bits into the low ones. They must be the same at all dispatchers of a fleet.
const (
	hashMultiplier  = 0x9e3779b97f4a7c15
	hashFirstShift  = 32
	hashSecondShift = 29
)

// hashName is the FNV-1a hash of a name, never 0, with an additional mixing step, since names often differ
// only in their last characters.
func hashName(name string) uint64 {
	f := fnv.New64a()
	f.Write([]byte(name))
	h := f.Sum64()
	h = (h ^ h>>hashFirstShift) * hashMultiplier
	return h ^ h>>hashSecondShift | 1
}

// ownerHash records the key of a request, and returns the hash by which the key's owners are found; 0 if any
// worker will do.
//
// Without CacheMissCost only rare keys have owners: a frequent key would overload its owners, and is cached
// everywhere anyway. While a worker is ejected or many outcomes are bad, no key has owners without
// CacheMissCost, since the state of the workers then matters more than their caches.
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

// record adds the key of a request, and returns its hash, 0 for an empty key, and whether the key was among
// the latest ones already. At most limit keys are kept. The limit is chosen such that a key that occurs
// twice among them makes up about as much of all work as its owners can carry.
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

// initialOwners is the number of a key's owners that are considered first.
func (s *Settings) initialOwners() int {
	if s.CacheMissCost > 0 {
		return minOwners
	}
	return maxOwners
}

// hashRing holds the fleet in the order of the hashes of the workers' names. It is updated when it is used.
type hashRing struct {
	sorted  []*worker // in the order of compareByHash, without changes; empty if it must be rebuilt
	changes []*worker // workers added or removed since the last use
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

// noteChange records that a worker was added or removed. After many changes the ring is rebuilt at its next
// use.
func (r *hashRing) noteChange(worker *worker) {
	r.changes = append(r.changes, worker)
	if len(r.changes) > len(r.sorted)/ringRebuildDivisor {
		r.sorted = nil
		r.changes = nil
	}
}

// update applies the workers that were added or removed since the last use, and rebuilds the ring if it is
// empty.
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
