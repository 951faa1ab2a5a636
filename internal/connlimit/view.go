package connlimit

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// This file owns what operators and tests see of an Admitter.

// View is what operators see. Counts are since the start unless they say now.
type View struct {
	Open      map[string]int    `json:"open"`     // now, by stage
	Standing  map[string]int    `json:"standing"` // now
	Room      int               `json:"room"`
	Reserve   int               `json:"reserve"`
	InReserve int               `json:"reserve_used"` // of it, by known and learned ones, now
	Level     int               `json:"pressure"`
	Admitted  uint64            `json:"admitted"`
	Hits      map[string]uint64 `json:"refused"` // by the cap or cause
	Addresses int               `json:"addresses_remembered"`
	Learned   int               `json:"addresses_learned"`
	Prefixes  []PrefixView      `json:"top_prefixes"`
	Blocks    []BlockView       `json:"bars"`
}

// PrefixView is a prefix's use now.
type PrefixView struct {
	Prefix  string `json:"prefix"`
	Open    int    `json:"open"`
	Opening int    `json:"opening"`
	Half    int    `json:"half_read"`
	Bytes   int    `json:"bytes"`
}

// BlockView is a prefix that is kept out.
type BlockView struct {
	Prefix string  `json:"prefix"`
	ForS   float64 `json:"for_s"`
}

const topPrefixes = 10

// Snapshot tells what there is.
func (a *Limiter) Snapshot(now time.Duration) View {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := View{Open: map[string]int{}, Standing: map[string]int{}, Room: a.c.Capacity, Reserve: a.c.Reserve, Level: a.level, Admitted: a.admitted,
		Hits: map[string]uint64{}, Addresses: a.addrs.len, Learned: a.addrs.learned, Prefixes: []PrefixView{}, Blocks: []BlockView{}}
	for s := range stages {
		v.Open[s.String()] = 0
	}
	for k := range a.conns {
		if a.conns[k].open {
			v.Open[a.conns[k].stage.String()]++
		}
	}
	for s, n := range a.count {
		v.Standing[Trust(s).String()] = n
	}
	v.InReserve = min(a.c.Reserve, a.count[Known]+a.count[TrustedProxy]+min(a.count[Learned], int(a.c.Learn.Share*float64(a.c.Reserve))))
	for r, n := range a.hits {
		if n > 0 {
			v.Hits[Reason(r).String()] = n
		}
	}
	for i := range a.prefixes.entries {
		if e := &a.prefixes.entries[i]; e.used && e.open > 0 {
			addr := e.key.addr()
			bits := a.c.V6Bits
			if addr.Is4() {
				bits = a.c.V4Bits
			}
			p := netip.PrefixFrom(addr, bits)
			v.Prefixes = append(v.Prefixes, PrefixView{p.String(), int(e.open), int(e.opening), int(e.half), int(e.bytes)})
		}
	}
	slices.SortFunc(v.Prefixes, func(x, y PrefixView) int {
		return cmp.Or(y.Open-x.Open, cmp.Compare(x.Prefix, y.Prefix))
	})
	v.Prefixes = v.Prefixes[:min(len(v.Prefixes), topPrefixes)]
	for _, b := range a.bars {
		if b.until > now {
			v.Blocks = append(v.Blocks, BlockView{b.prefix.String(), (b.until - now).Seconds()})
		}
	}
	return v
}

// TrustOf is what a connection's address counts as; Unknown for none.
func (a *Limiter) TrustOf(id ID) Trust {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, c := a.get(id); c != nil {
		return c.standing
	}
	return Unknown
}

// CheckInvariants checks everything that must always hold, slowly: for tests and for
// operators who suspect a fault.
func (a *Limiter) CheckInvariants() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	type sums struct{ open, opening, half, bytes, unknown int32 }
	addrs, prefixes := map[int32]sums{}, map[int32]sums{}
	var count [4]int
	silent := 0
	for k := range a.conns {
		c := &a.conns[k]
		if !c.open {
			continue
		}
		count[c.standing]++
		if c.stage == Silent {
			silent++
		}
		if !c.listed {
			return fmt.Errorf("connection %d is in no list", k)
		}
		if c.addr < 0 {
			continue
		}
		for _, x := range []struct {
			of map[int32]sums
			at int32
		}{{addrs, c.addr}, {prefixes, c.prefix}} {
			s := x.of[x.at]
			s.open++
			if c.stage == Silent {
				s.opening++
			}
			if c.half {
				s.half++
			}
			if c.standing == Unknown {
				s.unknown++
			}
			s.bytes += c.bytes
			x.of[x.at] = s
		}
	}
	if count != a.count || silent != a.silent {
		return fmt.Errorf("counted %v and %d silent, there are %v and %d", a.count, a.silent, count, silent)
	}
	active := 0
	for i, t := range []*table{&a.addrs, &a.prefixes} {
		used := 0
		for at := range t.entries {
			e := &t.entries[at]
			want := []map[int32]sums{addrs, prefixes}[i][int32(at)]
			if !e.used {
				if want != (sums{}) {
					return fmt.Errorf("entry %d of table %d was given up while it holds connections", at, i)
				}
				continue
			}
			used++
			got := sums{e.open, e.opening, e.half, e.bytes, e.unknown}
			if i == 1 {
				want.unknown = 0
			}
			if got != want {
				return fmt.Errorf("entry %d of table %d counts %+v, there are %+v", at, i, got, want)
			}
			if i == 0 && e.unknown > 0 {
				active++
			}
			if found, ok := t.find(e.key); !ok || found != int32(at) {
				return fmt.Errorf("entry %d of table %d is not found", at, i)
			}
		}
		if used != t.len {
			return fmt.Errorf("table %d counts %d entries, there are %d", i, t.len, used)
		}
	}
	if active != a.active {
		return fmt.Errorf("%d active addresses counted, there are %d", a.active, active)
	}
	return nil
}
