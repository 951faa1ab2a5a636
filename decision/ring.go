package decision

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Requests with one key go to its owners, a few workers that follow it on a ring of hashes which is the
// same at every dispatcher, so that what a key names is cached there.
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
// owners; 0 if it goes anywhere. Where a cache miss has no price, only rare keys do: a frequent one would
// overrun its owners and is cached everywhere. Then, too, what is known of workers counts for more while
// there is a fault.
func (m *Machine) ownerHash(key string) uint64 {
	hash, recent := m.recordKey(key)
	healthy := m.ejectedCount == 0 && m.ceilings.badRatio < overloadBadRatio
	if m.settings.CacheMissCost > 0 || !recent && healthy {
		return hash
	}
	return 0
}

// recordKey notes the key of a request, and returns its hash, 0 for none, and whether it is among the
// latest ones. Those are so many that a key seen twice makes up about as much of all work as its owners can
// carry.
func (m *Machine) recordKey(key string) (hash uint64, recent bool) {
	if key == "" {
		return 0, false
	}
	hash = hashName(key)
	recent = slices.Contains(m.recentKeys, hash)
	m.recentKeys = append(m.recentKeys, hash)
	excess := len(m.recentKeys) - max(len(m.fleet)/maxOwners, 1)
	if excess > 0 {
		m.recentKeys = slices.Delete(m.recentKeys, 0, excess)
	}
	return hash, recent
}

// ownersOf returns the n workers that follow a key on the ring, in a buffer that the next call overwrites.
func (m *Machine) ownersOf(key uint64, n int) []*worker {
	m.updateRing()
	compareToKey := func(worker *worker, key uint64) int { return cmp.Compare(worker.nameHash, key) }
	first, _ := slices.BinarySearchFunc(m.ring, key, compareToKey)
	m.owners = m.owners[:0]
	for i := range min(n, len(m.ring)) {
		m.owners = append(m.owners, m.ring[(first+i)%len(m.ring)])
	}
	return m.owners
}

// compareByHash orders the ring.
func compareByHash(a, b *worker) int {
	return cmp.Or(cmp.Compare(a.nameHash, b.nameHash), cmp.Compare(a.Name, b.Name))
}

// ringChanged notes that a worker has come or gone. After many of them the ring is built anew at its next
// use.
func (m *Machine) ringChanged(worker *worker) {
	m.ringChanges = append(m.ringChanges, worker)
	if len(m.ringChanges) > len(m.ring)/ringRebuildFraction {
		m.ring = nil
		m.ringChanges = nil
	}
}

// updateRing brings the ring up to date with the workers that came or went since its last use.
func (m *Machine) updateRing() {
	if len(m.ring) == 0 {
		m.ring = slices.SortedFunc(slices.Values(m.fleet), compareByHash)
	}
	for _, worker := range m.ringChanges {
		position, found := slices.BinarySearchFunc(m.ring, worker, compareByHash)
		switch {
		case worker.State != Removed && !found:
			m.ring = slices.Insert(m.ring, position, worker)
		case worker.State != Removed:
			m.ring[position] = worker
		case found && m.ring[position] == worker:
			m.ring = slices.Delete(m.ring, position, position+1)
		}
	}
	m.ringChanges = m.ringChanges[:0]
}
