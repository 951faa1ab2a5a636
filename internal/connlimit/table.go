package connlimit

import (
	"encoding/binary"
	"math"
	"math/bits"
	"net/netip"
	"time"
)

// key is the 16-byte form of an address, or of the first address of a prefix.
type key struct{ high, low uint64 }

func keyOf(addr netip.Addr) key {
	b := addr.As16()
	return key{binary.BigEndian.Uint64(b[:8]), binary.BigEndian.Uint64(b[8:])}
}

func (k key) addr() netip.Addr {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], k.high)
	binary.BigEndian.PutUint64(b[8:], k.low)
	return netip.AddrFrom16(b).Unmap()
}

// Multipliers of hash. They are odd, and their set bits are spread evenly.
const (
	hashMultiplier1 = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio
	hashMultiplier2 = 0xd6e8feb86659fd93
)

// hash returns a hash of the key with the table's seed, so that somebody who chooses
// addresses cannot choose their slots in the table.
func (k key) hash(seed uint64) uint32 {
	high, low := bits.Mul64(k.high^seed, hashMultiplier1)
	high, low = bits.Mul64(high^low^k.low^seed, hashMultiplier2)
	return uint32(high ^ low)
}

// ticks is a time in units of tickLength, counted from 1 at the first time that the
// Limiter has seen. 0 means never. The value wraps around after 497 days, so times are
// compared by their difference.
type ticks uint32

const tickLength = 10 * time.Millisecond

func (t ticks) since(earlier ticks) time.Duration { return time.Duration(t-earlier) * tickLength }

// tableEntry is the state of an address or a prefix. It fits in one cache line of 64
// bytes: if there are many entries, a decision mostly waits for entries to be loaded.
type tableEntry struct {
	key           key
	rate          gcra    // rate limiter for Limits.PerSecond
	score         float32 // decayed count of served requests
	scoredAt      ticks   // the time up to which score is decayed
	abusedAt      ticks   // when abuse was last reported
	firstRejected ticks   // time of the first rejection for lack of capacity since the last admission
	open          int32   // open connections
	opening       int32   // open connections that are silent
	halfRead      int32   // half-read requests
	bufferedBytes int32   // buffered bytes of half-read requests
	openUnknown   int32   // open connections that are counted as Unknown
	learned       bool
	used          bool // the entry contains a key
	recentlyUsed  bool // the entry was used since the clock hand last passed it
}

// scoreAt returns the score, decayed up to the time now.
func (e *tableEntry) scoreAt(now ticks, halfLife time.Duration) float64 {
	if e.score == 0 {
		return 0
	}
	return float64(e.score) * math.Exp2(-float64(now.since(e.scoredAt))/float64(halfLife))
}

// countArrival counts a new connection for the rate limit, if there is one.
func (e *tableEntry) countArrival(limits *Limits, now time.Duration) {
	if limits.PerSecond > 0 {
		e.rate.take(now, limits.PerSecond, limits.Burst)
	}
}

// slot refers to an entry. It contains the hash of the entry's key, so that most entries
// with other keys are skipped without loading them.
type slot struct {
	indexPlusOne int32 // the entry's index plus 1, or 0 if the slot is empty
	hash         uint32
}

// table contains a fixed number of entries, which are found by a hash table with linear
// probing. If all entries are used, the clock algorithm chooses the one to be replaced:
// never one with connections, and a learned one only if there is no other.
type table struct {
	entries    []tableEntry
	slots      []slot // the length is a power of two and at least twice the number of entries
	mask       uint32 // len(slots) - 1
	seed       uint64 // seed of the hash
	clockHand  int32  // position of the clock algorithm's hand
	nextUnused int32  // index of the first entry that was never used
	learned    int    // number of learned entries
	size       int    // number of used entries
}

func (t *table) init(capacity int, seed uint64) {
	slots := 1 << bits.Len(uint(capacity*2-1))
	t.entries = make([]tableEntry, capacity)
	t.slots = make([]slot, slots)
	t.mask = uint32(slots - 1)
	t.seed = seed
}

// find returns the index of a key's entry, or noIndex if there is none.
func (t *table) find(k key) int32 {
	hash := k.hash(t.seed)
	for i := hash & t.mask; ; i = (i + 1) & t.mask {
		s := t.slots[i]
		if s.indexPlusOne == 0 {
			return noIndex
		}
		if s.hash == hash && t.entries[s.indexPlusOne-1].key == k {
			return s.indexPlusOne - 1
		}
	}
}

// entryAt returns the entry with an index, or nil for noIndex.
func (t *table) entryAt(index int32) *tableEntry {
	if index == noIndex {
		return nil
	}
	return &t.entries[index]
}

// insert creates an entry for a key that has none, and returns its index. It returns
// noIndex if all entries have connections.
func (t *table) insert(k key) int32 {
	index := t.freeEntry()
	if index == noIndex {
		return noIndex
	}
	t.entries[index] = tableEntry{key: k, used: true, recentlyUsed: true}
	hash := k.hash(t.seed)
	i := hash & t.mask
	for t.slots[i].indexPlusOne != 0 {
		i = (i + 1) & t.mask
	}
	t.slots[i] = slot{index + 1, hash}
	t.size++
	return index
}

// freeEntry returns the index of an entry without a key, which it frees if necessary.
// It returns noIndex if all entries have connections.
func (t *table) freeEntry() int32 {
	if int(t.nextUnused) < len(t.entries) {
		t.nextUnused++
		return t.nextUnused - 1
	}
	index := t.entryToReplace()
	if index != noIndex {
		t.remove(index)
	}
	return index
}

// entryToReplace returns the index of the entry to be replaced: one that has no
// connections and was not used since the clock hand last passed it. A learned entry is
// returned only if there is no other. It returns noIndex if all entries have connections.
func (t *table) entryToReplace() int32 {
	total := int32(len(t.entries))
	learned := noIndex
	for range 2*total + 1 { // the first round may do nothing but clear recentlyUsed
		index := t.clockHand
		t.clockHand++
		if t.clockHand == total {
			t.clockHand = 0
		}
		entry := &t.entries[index]
		switch {
		case entry.open > 0:
		case entry.recentlyUsed:
			entry.recentlyUsed = false
		case entry.learned:
			if learned == noIndex {
				learned = index
			}
		default:
			return index
		}
	}
	return learned
}

// remove removes an entry's key from the table.
func (t *table) remove(index int32) {
	entry := &t.entries[index]
	if entry.learned {
		t.learned--
	}
	i := entry.key.hash(t.seed) & t.mask
	for t.slots[i].indexPlusOne != index+1 {
		i = (i + 1) & t.mask
	}
	t.emptySlot(i)
	entry.used = false
	t.size--
}

// emptySlot empties a slot, and moves following slots back into the gap, so that find,
// which stops at an empty slot, still reaches them.
func (t *table) emptySlot(empty uint32) {
	t.slots[empty] = slot{}
	for i := (empty + 1) & t.mask; t.slots[i].indexPlusOne != 0; i = (i + 1) & t.mask {
		home := t.slots[i].hash & t.mask
		probes := (i - home) & t.mask
		distance := (i - empty) & t.mask
		if probes >= distance { // a search for slot i passes the empty slot
			t.slots[empty] = t.slots[i]
			t.slots[i] = slot{}
			empty = i
		}
	}
}

// countOpen adds delta to an entry's count of open connections.
func (t *table) countOpen(index, delta int32) {
	entry := &t.entries[index]
	entry.open += delta
	entry.recentlyUsed = true
}

// setLearned marks an entry as learned or not. At most half of the entries can be
// learned; a call that would exceed that has no effect.
func (t *table) setLearned(index int32, learned bool) {
	entry := &t.entries[index]
	if learned == entry.learned {
		return
	}
	if !learned {
		entry.learned = false
		t.learned--
		return
	}
	if t.learned >= len(t.entries)/2 {
		return
	}
	entry.learned = true
	t.learned++
}
