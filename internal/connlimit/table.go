package connlimit

import (
	"encoding/binary"
	"math"
	"math/bits"
	"net/netip"
	"time"
)

// This file owns what is remembered of addresses and prefixes: a fixed number
// of entries, found by open addressing. One that holds connections is never
// given up; of the others those not used lately go, the learned ones last. An
// entry is one cache line, since with many of them that is what a decision costs.

// key is an address, or the first of a prefix.
type key struct{ hi, lo uint64 }

func keyOf(a netip.Addr) key {
	b := a.As16()
	return key{binary.BigEndian.Uint64(b[:8]), binary.BigEndian.Uint64(b[8:])}
}

func (k key) addr() netip.Addr {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], k.hi)
	binary.BigEndian.PutUint64(b[8:], k.lo)
	return netip.AddrFrom16(b).Unmap()
}

// hash mixes a key with a number of the table's own: who chooses addresses must
// not be able to choose places.
func (k key) hash(seed uint64) uint32 {
	hi, lo := bits.Mul64(k.hi^seed, 0x9e3779b97f4a7c15)
	hi, lo = bits.Mul64(hi^lo^k.lo^seed, 0xd6e8feb86659fd93)
	return uint32(hi ^ lo)
}

// tick is a time in hundredths of a second since the Admitter's first one, from
// 1 on; 0: never. It wraps after 497 days, and is compared by difference.
type tick uint32

const tickTime = 10 * time.Millisecond

func (t tick) since(earlier tick) time.Duration { return time.Duration(t-earlier) * tickTime }

type entry struct { // 64 bytes
	key     key
	rate    gcra
	score   float32 // served jobs, decayed
	scored  tick    // as of then
	abused  tick    // when it last abused its place
	away    tick    // when it was first turned away for want of room since it came in last
	open    int32
	opening int32
	half    int32
	bytes   int32
	unknown int32 // of the open ones, counted as unknown
	learned bool
	used    bool
	lately  bool // used since the last look for one to give up
}

// scoreAt is the score, decayed to a time.
func (e *entry) scoreAt(now tick, halfLife time.Duration) float64 {
	if e.score == 0 {
		return 0
	}
	return float64(e.score) * math.Exp2(-float64(now.since(e.scored))/float64(halfLife))
}

// come counts an arrival.
func (e *entry) come(c *Limits, now time.Duration) {
	if c.PerSecond > 0 {
		e.rate.take(now, c.PerSecond, c.Burst)
	}
}

// gcra is a rate with a burst, as the time at which the next would be in step.
type gcra struct{ tat time.Duration }

func (g *gcra) may(now time.Duration, rate float64, burst int) bool {
	if burst == 0 {
		burst = max(int(rate), 1)
	}
	step := time.Duration(float64(time.Second) / rate)
	return g.tat <= now+step*time.Duration(burst-1)
}

func (g *gcra) take(now time.Duration, rate float64, burst int) bool {
	if !g.may(now, rate, burst) {
		return false
	}
	g.tat = max(g.tat, now) + time.Duration(float64(time.Second)/rate)
	return true
}

// place names an entry and its key's hash, so that others are not looked at.
type place struct {
	entry int32 // and one more; 0: none
	hash  uint32
}

// table finds entries by key.
type table struct {
	entries []entry
	places  []place // by hash; neighbours take what finds its own taken
	mask    uint32
	seed    uint64
	hand    int32 // where the next look for one to give up begins
	fresh   int32 // entries that were never used
	learned int
	len     int
}

func (t *table) init(n int, seed uint64) {
	size := 1 << bits.Len(uint(n*2-1))
	t.entries, t.places, t.mask, t.seed = make([]entry, n), make([]place, size), uint32(size-1), seed
}

func (t *table) find(k key) (int32, bool) {
	h := k.hash(t.seed)
	for i := h & t.mask; ; i = (i + 1) & t.mask {
		p := t.places[i]
		if p.entry == 0 {
			return -1, false
		}
		if p.hash == h && t.entries[p.entry-1].key == k {
			return p.entry - 1, true
		}
	}
}

// insert makes an entry for a key that has none; -1: all hold connections.
func (t *table) insert(k key) int32 {
	at := t.fresh
	if int(at) < len(t.entries) {
		t.fresh++
	} else if at = t.oldest(); at >= 0 {
		t.remove(at)
	} else {
		return -1
	}
	t.entries[at] = entry{key: k, used: true, lately: true}
	h := k.hash(t.seed)
	i := h & t.mask
	for t.places[i].entry != 0 {
		i = (i + 1) & t.mask
	}
	t.places[i] = place{at + 1, h}
	t.len++
	return at
}

// oldest finds an entry to give up: without connections, and not used since the
// hand came by last; a learned one only where there is no other.
func (t *table) oldest() int32 {
	n := int32(len(t.entries))
	spare := int32(-1)
	for range 2*n + 1 {
		at := t.hand
		if t.hand++; t.hand == n {
			t.hand = 0
		}
		switch e := &t.entries[at]; {
		case e.open > 0:
		case e.lately:
			e.lately = false
		case e.learned:
			if spare < 0 {
				spare = at
			}
		default:
			return at
		}
	}
	return spare
}

// remove takes an entry out and moves up what was pushed on by it.
func (t *table) remove(at int32) {
	e := &t.entries[at]
	if e.learned {
		t.learned--
	}
	i := e.key.hash(t.seed) & t.mask
	for t.places[i].entry != at+1 {
		i = (i + 1) & t.mask
	}
	for {
		t.places[i] = place{}
		j := i
		for {
			j = (j + 1) & t.mask
			if t.places[j].entry == 0 {
				e.used = false
				t.len--
				return
			}
			home := t.places[j].hash & t.mask
			if (j-home)&t.mask >= (j-i)&t.mask { // it may stand at i
				break
			}
		}
		t.places[i] = t.places[j]
		i = j
	}
}

// hold counts connections.
func (t *table) hold(at, n int32) {
	e := &t.entries[at]
	e.open += n
	e.lately = true
}

// keep marks an entry as learned, as long as those are no more than half of all.
func (t *table) keep(at int32, learned bool) {
	e := &t.entries[at]
	if learned == e.learned || learned && t.learned >= len(t.entries)/2 {
		return
	}
	if e.learned = learned; learned {
		t.learned++
	} else {
		t.learned--
	}
}

// lookup finds whether one of some prefixes holds an address: a search for each
// length that there is.
type lookup struct {
	bits []int // the lengths, for IPv4 plus 1000
	set  map[netip.Prefix]struct{}
}

func newLookup(prefixes []netip.Prefix) lookup {
	l := lookup{set: map[netip.Prefix]struct{}{}}
	seen := map[int]bool{}
	for _, p := range prefixes {
		p = netip.PrefixFrom(p.Addr().Unmap(), p.Bits()).Masked()
		l.set[p] = struct{}{}
		n := p.Bits()
		if p.Addr().Is4() {
			n += 1000
		}
		if !seen[n] {
			seen[n] = true
			l.bits = append(l.bits, n)
		}
	}
	return l
}

func (l *lookup) has(a netip.Addr) bool {
	for _, n := range l.bits {
		if a.Is4() != (n >= 1000) {
			continue
		}
		if p, err := a.Prefix(n % 1000); err == nil {
			if _, ok := l.set[p]; ok {
				return true
			}
		}
	}
	return false
}
