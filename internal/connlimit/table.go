package connlimit

import (
	"encoding/binary"
	"math"
	"math/bits"
	"net/netip"
	"time"
)

// key is an address, or the first address of a prefix, as its 16-byte form.
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

// Multipliers of hash: odd, with bits set evenly.
const (
	hashMultiplier1 = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio
	hashMultiplier2 = 0xd6e8feb86659fd93
)

// hash mixes the key with the table's seed: whoever chooses addresses must not be
// able to choose slots.
func (k key) hash(seed uint64) uint32 {
	high, low := bits.Mul64(k.high^seed, hashMultiplier1)
	high, low = bits.Mul64(high^low^k.low^seed, hashMultiplier2)
	return uint32(high ^ low)
}

// ticks is a time in units of tickLength since the Limiter's first one, from 1 on;
// 0 is never. It wraps after 497 days, and is compared by difference.
type ticks uint32

const tickLength = 10 * time.Millisecond

func (t ticks) since(earlier ticks) time.Duration { return time.Duration(t-earlier) * tickLength }

// tableEntry is what is remembered of an address or a prefix. It is one cache line of 64
// bytes: with many entries, loading them is most of what a decision costs.
type tableEntry struct {
	key           key
	rate          gcra    // of Limits.PerSecond
	score         float32 // served requests, decayed
	scoredAt      ticks   // the time that score is decayed to
	abusedAt      ticks   // when it was last abused
	firstRejected ticks   // when it was first rejected for lack of capacity since it was last admitted
	open          int32   // connections
	opening       int32   // of them, silent ones
	halfRead      int32   // requests
	bufferedBytes int32   // of half-read requests
	openUnknown   int32   // of open, those counted as Unknown
	learned       bool
	used          bool // it holds a key
	recentlyUsed  bool // since the clock hand last passed
}

// scoreAt returns the score decayed to a time.
func (e *tableEntry) scoreAt(now ticks, halfLife time.Duration) float64 {
	if e.score == 0 {
		return 0
	}
	return float64(e.score) * math.Exp2(-float64(now.since(e.scoredAt))/float64(halfLife))
}

// countArrival counts a new connection for the rate.
func (e *tableEntry) countArrival(limits *Limits, now time.Duration) {
	if limits.PerSecond > 0 {
		e.rate.take(now, limits.PerSecond, limits.Burst)
	}
}

// slot refers to an entry, with its key's hash so that few entries are loaded.
type slot struct {
	number int32 // the entry's index and one more; 0: the slot is empty
	hash   uint32
}

// table is a fixed number of entries, found by a hash table with linear probing.
// When all are used, the clock algorithm chooses one that is forgotten: never one
// with connections, and a learned one only where there is no other.
type table struct {
	entries []tableEntry
	slots   []slot // a power of two of them, at least twice the entries
	mask    uint32
	seed    uint64
	hand    int32 // of the clock algorithm
	unused  int32 // index of the first entry that was never used
	learned int   // entries
	size    int   // used entries
}

func (t *table) init(capacity int, seed uint64) {
	slots := 1 << bits.Len(uint(capacity*2-1))
	t.entries = make([]tableEntry, capacity)
	t.slots = make([]slot, slots)
	t.mask = uint32(slots - 1)
	t.seed = seed
}

// find returns the index of a key's entry; noIndex: there is none.
func (t *table) find(k key) int32 {
	hash := k.hash(t.seed)
	for i := hash & t.mask; ; i = (i + 1) & t.mask {
		s := t.slots[i]
		if s.number == 0 {
			return noIndex
		}
		if s.hash == hash && t.entries[s.number-1].key == k {
			return s.number - 1
		}
	}
}

// entryAt returns the entry with an index; nil for noIndex.
func (t *table) entryAt(index int32) *tableEntry {
	if index == noIndex {
		return nil
	}
	return &t.entries[index]
}

// insert makes an entry for a key that has none, and returns its index; noIndex:
// all entries have connections.
func (t *table) insert(k key) int32 {
	index := t.freeEntry()
	if index == noIndex {
		return noIndex
	}
	t.entries[index] = tableEntry{key: k, used: true, recentlyUsed: true}
	hash := k.hash(t.seed)
	i := hash & t.mask
	for t.slots[i].number != 0 {
		i = (i + 1) & t.mask
	}
	t.slots[i] = slot{index + 1, hash}
	t.size++
	return index
}

// freeEntry returns an entry without a key; noIndex: all entries have connections.
func (t *table) freeEntry() int32 {
	if int(t.unused) < len(t.entries) {
		t.unused++
		return t.unused - 1
	}
	index := t.nextForgotten()
	if index != noIndex {
		t.remove(index)
	}
	return index
}

// nextForgotten returns the entry to be forgotten: without connections, and not
// used since the clock hand last passed; a learned one only where there is no
// other. noIndex: all entries have connections.
func (t *table) nextForgotten() int32 {
	total := int32(len(t.entries))
	learned := noIndex
	for range 2*total + 1 { // the first round may only clear recentlyUsed
		index := t.hand
		t.hand++
		if t.hand == total {
			t.hand = 0
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

// remove takes an entry's key out of the table.
func (t *table) remove(index int32) {
	entry := &t.entries[index]
	if entry.learned {
		t.learned--
	}
	i := entry.key.hash(t.seed) & t.mask
	for t.slots[i].number != index+1 {
		i = (i + 1) & t.mask
	}
	t.emptySlot(i)
	entry.used = false
	t.size--
}

// emptySlot empties a slot, and moves those that follow back so that find, which
// stops at an empty slot, still reaches them.
func (t *table) emptySlot(empty uint32) {
	t.slots[empty] = slot{}
	for i := (empty + 1) & t.mask; t.slots[i].number != 0; i = (i + 1) & t.mask {
		home := t.slots[i].hash & t.mask
		probes := (i - home) & t.mask
		distance := (i - empty) & t.mask
		if probes >= distance { // its probing passes the empty slot
			t.slots[empty] = t.slots[i]
			t.slots[i] = slot{}
			empty = i
		}
	}
}

// countOpen adds delta to an entry's connections.
func (t *table) countOpen(index, delta int32) {
	entry := &t.entries[index]
	entry.open += delta
	entry.recentlyUsed = true
}

// setLearned marks an entry as learned or not. At most half of the entries are
// learned; beyond that it has no effect.
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
