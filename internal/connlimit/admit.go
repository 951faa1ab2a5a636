// Package admit decides who may connect, stay and be heard: caps by address
// and by prefix, a reserve for known clients, who goes first when room runs
// short, and whose turn it is. It does no I/O, starts no goroutine and reads no
// clock: every method is told the time. It must never refuse a known client
// what its reserve holds, let a flood of new addresses push out one that holds
// connections, choose a connection on which an answer is owed to be closed, nor
// grow with the number of addresses it sees.
package connlimit

import (
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// This file owns the decisions about connections. The tables are in table.go,
// the budget of descriptors in budget.go, turns in turns.go.

// Limits bound what one address, or all of one prefix, may have. 0: no bound.
type Limits struct {
	Open      int     // connections
	Opening   int     // of them, those on which not a byte has come yet
	PerSecond float64 // new connections
	Burst     int     // that may come at once, within PerSecond; 0: as many as a second's
	Half      int     // requests that are half read
	Bytes     int     // that their half-read requests hold
}

// Learn says whether addresses become known by their jobs.
type Learn struct {
	On       bool
	HalfLife time.Duration // of what is remembered of served jobs; default 10 min
	After    float64       // served jobs, so decayed, from which on an address is known; default 20
	Share    float64       // of the reserve, that learned ones may use; default 0.5
	Newcomer float64       // share of the room outside the reserve that they leave to newcomers; default 0.1
}

// Config is what an Admitter is told. The zero value caps nothing: then only
// room counts, and who has shown least goes first.
type Config struct {
	Capacity int     // connections at a time
	Reserve  int     // of them, that unknown ones cannot use
	Rate     float64 // new connections a second of unknown ones altogether; 0: no bound. Known ones are never counted.

	Address, Prefix Limits
	V4Bits, V6Bits  int // of a prefix; defaults 24 and 64
	Known           []netip.Prefix
	TrustedProxies  []netip.Prefix // whose PROXY header is believed
	Learn           Learn

	Addresses, Prefixes int    // that are remembered; defaults 16384 and 4096, never fewer than Room
	Seed                uint64 // of the places in the tables, which nobody outside should know
	Anonymous           bool   // connections are taken in by Adopt alone: nothing is remembered

	// Waits, by what a session has shown.
	Grace      time.Duration // one that has just come is not shed; default 1 s
	SilentTime time.Duration // a silent one goes after that where more than half are silent; default 2.5 s

	MinRate   float64       // bytes a second, of a request that is half read; 0: no bound
	RateGrace time.Duration // from its first byte on, before MinRate holds; default 500 ms
}

const (
	mostKnown  = 4096
	mostBars   = 1024
	againPart  = 20                     // of the room outside the reserve, one part is for those that come again
	againTime  = 10 * time.Second       // within which that is
	againAfter = 200 * time.Millisecond // after which at the earliest
	abuseTime  = time.Minute            // for which one that abused its place learns nothing
)

// Check fills in defaults; an error names the field.
func (c *Config) Check() error {
	def := func(v *time.Duration, d time.Duration) {
		if *v == 0 {
			*v = d
		}
	}
	def(&c.Grace, time.Second)
	def(&c.SilentTime, 2500*time.Millisecond)
	def(&c.RateGrace, 500*time.Millisecond)
	def(&c.Learn.HalfLife, 10*time.Minute)
	for _, x := range []struct {
		v   *int
		def int
	}{{&c.V4Bits, 24}, {&c.V6Bits, 64}, {&c.Addresses, 16384}, {&c.Prefixes, 4096}} {
		if *x.v == 0 {
			*x.v = x.def
		}
	}
	for _, x := range []struct {
		v   *float64
		def float64
	}{{&c.Learn.After, 20}, {&c.Learn.Share, 0.5}, {&c.Learn.Newcomer, 0.1}} {
		if *x.v == 0 {
			*x.v = x.def
		}
	}
	switch {
	case c.Capacity < 1:
		return errors.New("room: must be positive")
	case c.Reserve < 0 || c.Reserve >= c.Capacity:
		return fmt.Errorf("reserve: %d is not between 0 and the room of %d", c.Reserve, c.Capacity)
	case c.V4Bits < 1 || c.V4Bits > 32 || c.V6Bits < 1 || c.V6Bits > 128:
		return errors.New("prefix bits: not between 1 and 32, or 128")
	case c.Rate < 0 || c.MinRate < 0:
		return errors.New("rate: must not be negative")
	case c.Learn.Share < 0 || c.Learn.Share > 1 || c.Learn.Newcomer < 0 || c.Learn.Newcomer > 1:
		return errors.New("learned or newcomers' share: not between 0 and 1")
	case len(c.Known) > mostKnown || len(c.TrustedProxies) > mostKnown:
		return fmt.Errorf("known or trusted prefixes: more than %d", mostKnown)
	}
	for _, caps := range []Limits{c.Address, c.Prefix} {
		if caps.Open < 0 || caps.Opening < 0 || caps.PerSecond < 0 || caps.Burst < 0 || caps.Half < 0 || caps.Bytes < 0 {
			return errors.New("caps: must not be negative")
		}
	}
	c.Addresses, c.Prefixes = max(c.Addresses, c.Capacity+1), max(c.Prefixes, c.Capacity+1)
	if c.Anonymous {
		c.Addresses, c.Prefixes = 1, 1
	}
	return nil
}

// Reason is why something is refused.
type Reason uint8

// The reasons. Allowed: it is not.
const (
	Allowed Reason = iota
	Blocked
	AddressOpen
	AddressOpening
	AddressRate
	AddressHalf
	AddressBytes
	PrefixOpen
	PrefixOpening
	PrefixRate
	PrefixHalf
	PrefixBytes
	FairShare // more than its share, where room is short
	Full
	FullKnown // for one that the reserve is for: it may come again once room has been made
	TotalRate
	NoDescriptors // descriptors
	BadHeader
	Slow
	Stalled
	Greedy
	reasons
)

var reasonNames = [reasons]string{"fine", "barred", "address_open", "address_opening", "address_rate", "address_half", "address_bytes",
	"prefix_open", "prefix_opening", "prefix_rate", "prefix_half", "prefix_bytes", "fair_share", "full", "full_known", "total_rate", "descriptors",
	"bad_proxy_header", "too_slow", "answers_not_read", "too_greedy"}

func (r Reason) String() string { return reasonNames[r] }

// Trust is what an address is to us.
type Trust uint8

// The standings. TrustedProxy: a trusted front, whose clients are not told yet.
const (
	Unknown Trust = iota
	Learned
	Known
	TrustedProxy
)

func (s Trust) String() string { return [...]string{"unknown", "learned", "known", "front"}[s] }

// Stage is what a session has shown and does.
type Stage uint8

// The stages, in the order in which they go where room is needed; Busy, on which
// an answer is owed, never does.
const (
	Unserved Stage = iota // it has talked, and no job of it was served; it rests
	Silent                // not a byte has come
	Proven                // a job of it was served; it rests
	HalfRead              // it has sent part of a request
	Busy
	stages
)

var stageNames = [stages]string{"asking", "silent", "proven", "half_read", "busy"}

func (s Stage) String() string { return stageNames[s] }

// ID names a connection. 0 is none.
type ID uint64

// Limiter decides. Its methods may be called from several goroutines, each
// call under one lock; given the same calls and times it decides the same.
type Limiter struct {
	mu       sync.Mutex
	c        Config
	epoch    time.Duration // of ticks
	level    int           // of pressure: 0 to 3
	addrs    table
	prefixes table
	known    lookup
	fronts   lookup
	bars     []bar
	conns    []conn
	free     int32           // the first free place; -1: none
	lists    [2][stages]list // by standing (0: unknown) and stage; the longest unused first
	count    [4]int          // open, by standing
	silent   int
	total    gcra
	hits     [reasons]uint64
	admitted uint64
	again    int  // open ones of those that came again
	came     bool // the one that was judged last did
	active   int  // addresses of unknown ones that hold connections
}

type bar struct {
	prefix netip.Prefix
	until  time.Duration
}

// conn is a connection. Those of one list hang together.
type conn struct {
	token      uint64 // the owner's own name for it
	generation uint32
	addr       int32 // places in the tables; -1: none
	prefix     int32
	prev, next int32
	standing   Trust
	stage      Stage
	listed     bool
	open       bool
	proven     bool
	half       bool
	again      bool // it came in on the part for those that come again
	owned      bool // the caller has named it, so that it can be a victim
	bytes      int32
	opened     time.Duration
	since      time.Duration // when it came to its list
}

type list struct{ first, last int32 }

// New returns an Admitter; an error names the field of the configuration.
func New(c Config) (*Limiter, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	a := &Limiter{free: -1}
	for i := range a.lists {
		for j := range a.lists[i] {
			a.lists[i][j] = list{-1, -1}
		}
	}
	a.addrs.init(c.Addresses, c.Seed)
	a.prefixes.init(c.Prefixes, c.Seed)
	a.set(c)
	return a, nil
}

// Reconfigure changes the configuration. What is open stays, also above lowered bounds;
// the number of addresses that are remembered is that of the start.
func (a *Limiter) Reconfigure(c Config) error {
	if err := c.Check(); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.set(c)
	return nil
}

func (a *Limiter) set(c Config) {
	a.c = c
	a.known, a.fronts = newLookup(c.Known), newLookup(c.TrustedProxies)
}

// SetCapacity changes the room and the reserve alone, in step with what the process has.
func (a *Limiter) SetCapacity(room int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if room = max(room, 1); a.c.Reserve >= room {
		a.c.Reserve = room - 1
	}
	a.c.Capacity = room
}

// fits tells whether there is room for one more of a standing. Unknown ones
// leave what is unused of the reserve, and but for those that come again after
// they were turned away a twentieth of the rest. Learned ones may use their part of it,
// and leave the rest to known ones, and newcomers their share of the other room.
func (a *Limiter) fits(s Trust, again bool) bool {
	total := a.count[Unknown] + a.count[Learned] + a.count[Known] + a.count[TrustedProxy]
	known := a.count[Known] + a.count[TrustedProxy]
	part := int(a.c.Learn.Share * float64(a.c.Reserve))
	if (s == Unknown || s == Learned) && !again {
		total += max((a.c.Capacity-a.c.Reserve)/againPart-a.again, 0)
	}
	switch s {
	case Unknown:
		total += max(a.c.Reserve-known-min(a.count[Learned], part), 0)
	case Learned:
		keep := int(a.c.Learn.Newcomer * float64(a.c.Capacity-a.c.Reserve))
		total += max(a.c.Reserve-part-known, 0) + max(keep-a.count[Unknown], 0)
	}
	return total < a.c.Capacity
}

// tick is a time in the tables' units.
func (a *Limiter) tick(now time.Duration) tick {
	if a.epoch == 0 {
		a.epoch = max(now, 1)
	}
	return tick((now-a.epoch)/tickTime) + 1
}

// standing is what an address is now.
func (a *Limiter) standing(now time.Duration, addr netip.Addr, e *entry) Trust {
	if a.known.has(addr) {
		return Known
	}
	if e != nil && a.c.Learn.On && e.scoreAt(a.tick(now), a.c.Learn.HalfLife) >= a.c.Learn.After {
		return Learned
	}
	return Unknown
}

// Admit decides on a connection that has just been accepted. token is the
// caller's own name for it, which Victim gives back. Where the reason is not
// Fine, the caller closes it and says no more of it.
func (a *Limiter) Admit(now time.Duration, addr netip.Addr, token uint64) (ID, Reason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	addr = addr.Unmap()
	if a.fronts.has(addr) { // its caps are its clients'
		if !a.fits(TrustedProxy, false) {
			return 0, a.refuse(FullKnown)
		}
		return a.add(now, token, -1, -1, TrustedProxy), Allowed
	}
	at, pre, s, why := a.judge(now, addr)
	if why != Allowed {
		return 0, a.refuse(why)
	}
	return a.add(now, token, at, pre, s), Allowed
}

// Identify tells whose connection a trusted front's is. Where the reason is not
// Fine, the caller closes it and calls Closed.
func (a *Limiter) Identify(now time.Duration, id ID, addr netip.Addr) Reason {
	a.mu.Lock()
	defer a.mu.Unlock()
	k, c := a.get(id)
	if c == nil || c.standing != TrustedProxy {
		return Allowed
	}
	a.count[TrustedProxy]-- // it does not stand in its own way
	at, pre, s, why := a.judge(now, addr.Unmap())
	a.count[TrustedProxy]++
	if why != Allowed {
		return a.refuse(why)
	}
	if c.again = a.came; c.again {
		a.again++
	}
	a.came = false
	stage := c.stage
	a.unlist(k)
	a.count[TrustedProxy]--
	c.standing, c.addr, c.prefix = s, at, pre
	a.hold(c, 1)
	a.count[s]++
	if stage == Silent { // as silent it is counted already
		a.addrs.entries[at].opening++
		a.prefixes.entries[pre].opening++
	}
	a.enlist(k, stage, now)
	return Allowed
}

// Adopt takes a connection in without a decision, for fronts that bound them by
// other means; nothing is remembered of its address.
func (a *Limiter) Adopt(now time.Duration, token uint64) ID {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.add(now, token, -1, -1, Unknown)
}

// SetToken tells the caller's name for a connection that it had none for when it arrived.
func (a *Limiter) SetToken(id ID, token uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, c := a.get(id); c != nil {
		c.token, c.owned = token, true
	}
}

// judge decides on an address, and counts it as come if it may.
func (a *Limiter) judge(now time.Duration, addr netip.Addr) (at, pre int32, s Trust, why Reason) {
	for i := 0; i < len(a.bars); i++ {
		if a.bars[i].until <= now {
			a.bars[i] = a.bars[len(a.bars)-1]
			a.bars = a.bars[:len(a.bars)-1]
			i--
		} else if a.bars[i].prefix.Contains(addr) {
			return -1, -1, Unknown, Blocked
		}
	}
	bits := a.c.V6Bits
	if addr.Is4() {
		bits = a.c.V4Bits
	}
	wide, _ := addr.Prefix(bits) // the bits are within bounds
	// Both at once: what a decision takes is mostly the wait for the memory.
	at, ok := a.addrs.find(keyOf(addr))
	preAt, preOK := a.prefixes.find(keyOf(wide.Addr()))
	var e, p *entry
	if ok {
		e = &a.addrs.entries[at]
	}
	s = a.standing(now, addr, e)
	if preOK {
		p = &a.prefixes.entries[preAt]
	}
	// Known ones have no caps but the room: what they are is told by the operator.
	if s != Known {
		if why := over(&a.c.Address, e, now, AddressOpen); why != Allowed {
			return -1, -1, s, why
		}
		if why := over(&a.c.Prefix, p, now, PrefixOpen); why != Allowed {
			return -1, -1, s, why
		}
	}
	// Guards an address that keeps its caps against a flood of others: it comes
	// again, they mostly do not.
	again := false
	if e != nil && e.away != 0 && e.open == 0 {
		gone := a.tick(now).since(e.away)
		again = gone >= againAfter && gone < againTime
	}
	if !a.fits(s, again) {
		if s == Unknown {
			if !ok {
				at = a.addrs.insert(keyOf(addr))
			}
			if at >= 0 {
				e, t := &a.addrs.entries[at], a.tick(now)
				if e.lately = true; e.away == 0 || t.since(e.away) >= againTime {
					e.away = t
				}
			}
			return -1, -1, s, Full
		}
		return -1, -1, s, FullKnown
	}
	if s == Unknown {
		if a.level > 1 {
			return -1, -1, s, NoDescriptors
		}
		if a.level > 0 && e != nil && int(e.open) >= a.share() {
			return -1, -1, s, FairShare
		}
		if a.c.Rate > 0 && !a.total.take(now, a.c.Rate, max(int(a.c.Rate), 1)) {
			return -1, -1, s, TotalRate
		}
	}
	if !ok {
		if at = a.addrs.insert(keyOf(addr)); at < 0 {
			return -1, -1, s, Full
		}
	}
	if !preOK {
		if preAt = a.prefixes.insert(keyOf(wide.Addr())); preAt < 0 {
			return -1, -1, s, Full
		}
	}
	a.came = again && s == Unknown
	a.addrs.entries[at].away = 0
	a.addrs.entries[at].come(&a.c.Address, now)
	a.prefixes.entries[preAt].come(&a.c.Prefix, now)
	return at, preAt, s, Allowed
}

// share is how many connections an unknown address may have where room is short.
func (a *Limiter) share() int { return max((a.c.Capacity-a.c.Reserve)/(a.active+1), 1) }

// over tells which cap an arrival would break; first is the reason of the open ones.
func over(c *Limits, e *entry, now time.Duration, first Reason) Reason {
	open, opening, tat := 0, 0, time.Duration(0)
	if e != nil {
		open, opening, tat = int(e.open), int(e.opening), e.rate.tat
	}
	switch {
	case c.Open > 0 && open >= c.Open:
		return first
	case c.Opening > 0 && opening >= c.Opening:
		return first + 1
	case c.PerSecond > 0 && !(&gcra{tat}).may(now, c.PerSecond, c.Burst):
		return first + 2
	}
	return Allowed
}

func (a *Limiter) refuse(r Reason) Reason {
	a.hits[r]++
	return r
}

func (a *Limiter) add(now time.Duration, token uint64, at, pre int32, s Trust) ID {
	k := a.free
	if k < 0 {
		a.conns = append(a.conns, conn{generation: 1})
		k = int32(len(a.conns) - 1)
	} else {
		a.free = a.conns[k].next
	}
	c := &a.conns[k]
	*c = conn{token: token, generation: c.generation, addr: at, prefix: pre, standing: s, opened: now, open: true, owned: token != 0}
	if c.again = a.came; c.again {
		a.again++
	}
	a.came = false
	a.count[s]++
	a.admitted++
	a.hold(c, 1)
	a.opening(c, 1)
	a.enlist(k, Silent, now)
	return ID(uint64(c.generation)<<32 | uint64(k+1))
}

// hold counts a connection at its address and prefix.
func (a *Limiter) hold(c *conn, n int32) {
	if c.addr < 0 {
		return
	}
	e := &a.addrs.entries[c.addr]
	if c.standing == Unknown {
		e.unknown += n
		if n > 0 && e.unknown == 1 {
			a.active++
		} else if n < 0 && e.unknown == 0 {
			a.active--
		}
	}
	a.addrs.hold(c.addr, n)
	a.prefixes.hold(c.prefix, n)
}

func (a *Limiter) opening(c *conn, n int32) {
	a.silent += int(n)
	if c.addr >= 0 {
		a.addrs.entries[c.addr].opening += n
		a.prefixes.entries[c.prefix].opening += n
	}
}

func (a *Limiter) get(id ID) (int32, *conn) {
	k := int32(uint32(id)) - 1
	if k < 0 || int(k) >= len(a.conns) {
		return -1, nil
	}
	c := &a.conns[k]
	if !c.open || c.generation != uint32(id>>32) {
		return -1, nil
	}
	return k, c
}

// ---- Lists by what connections have shown.

func side(s Trust) int {
	if s == Unknown {
		return 0
	}
	return 1
}

func (a *Limiter) enlist(k int32, stage Stage, now time.Duration) {
	c := &a.conns[k]
	c.stage, c.since, c.listed = stage, now, true
	l := &a.lists[side(c.standing)][stage]
	c.prev, c.next = l.last, -1
	if l.last >= 0 {
		a.conns[l.last].next = k
	} else {
		l.first = k
	}
	l.last = k
}

func (a *Limiter) unlist(k int32) {
	c := &a.conns[k]
	if !c.listed {
		return
	}
	l := &a.lists[side(c.standing)][c.stage]
	if c.prev >= 0 {
		a.conns[c.prev].next = c.next
	} else {
		l.first = c.next
	}
	if c.next >= 0 {
		a.conns[c.next].prev = c.prev
	} else {
		l.last = c.prev
	}
	c.listed = false
}

func (a *Limiter) move(k int32, stage Stage, now time.Duration) {
	a.unlist(k)
	if a.conns[k].stage == Silent && stage != Silent {
		a.opening(&a.conns[k], -1)
	}
	a.enlist(k, stage, now)
}

// RequestStarted tells that the first byte of a request has come.
func (a *Limiter) RequestStarted(now time.Duration, id ID) Reason {
	a.mu.Lock()
	defer a.mu.Unlock()
	k, c := a.get(id)
	if c == nil || c.half {
		return Allowed
	}
	a.move(k, HalfRead, now)
	c.half = true
	if c.addr < 0 {
		return Allowed
	}
	e, p := &a.addrs.entries[c.addr], &a.prefixes.entries[c.prefix]
	e.half++
	p.half++
	if c.standing == Known {
		return Allowed
	}
	switch {
	case a.c.Address.Half > 0 && int(e.half) > a.c.Address.Half:
		return a.refuse(AddressHalf)
	case a.c.Prefix.Half > 0 && int(p.half) > a.c.Prefix.Half:
		return a.refuse(PrefixHalf)
	}
	return Allowed
}

// SetBuffered tells how many bytes of a half-read request are held.
func (a *Limiter) SetBuffered(id ID, n int) Reason {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, c := a.get(id)
	if c == nil || c.addr < 0 {
		return Allowed
	}
	e, p := &a.addrs.entries[c.addr], &a.prefixes.entries[c.prefix]
	more := int32(n) - c.bytes
	c.bytes = int32(n)
	e.bytes += more
	p.bytes += more
	if c.standing == Known || more <= 0 {
		return Allowed
	}
	switch {
	case a.c.Address.Bytes > 0 && int(e.bytes) > a.c.Address.Bytes:
		return a.refuse(AddressBytes)
	case a.c.Prefix.Bytes > 0 && int(p.bytes) > a.c.Prefix.Bytes:
		return a.refuse(PrefixBytes)
	}
	return Allowed
}

// whole gives back what a half-read request counted.
func (a *Limiter) whole(c *conn) {
	if c.addr >= 0 {
		e, p := &a.addrs.entries[c.addr], &a.prefixes.entries[c.prefix]
		if c.half {
			e.half--
			p.half--
		}
		e.bytes -= c.bytes
		p.bytes -= c.bytes
	}
	c.half, c.bytes = false, 0
}

// RequestComplete tells that a request is whole and an answer is owed.
func (a *Limiter) RequestComplete(now time.Duration, id ID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if k, c := a.get(id); c != nil {
		a.whole(c)
		a.move(k, Busy, now)
	}
}

// BecameIdle tells that nothing is owed on a connection, and none of its request is
// there. served: a job of it has just been served.
func (a *Limiter) BecameIdle(now time.Duration, id ID, served bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	k, c := a.get(id)
	if c == nil {
		return
	}
	a.whole(c)
	if served {
		c.proven = true
		a.learn(now, c)
	}
	stage := Unserved
	if c.proven {
		stage = Proven
	}
	a.move(k, stage, now)
}

func (a *Limiter) learn(now time.Duration, c *conn) {
	if !a.c.Learn.On || c.addr < 0 {
		return
	}
	e := &a.addrs.entries[c.addr]
	t := a.tick(now)
	if e.abused != 0 && t.since(e.abused) < abuseTime {
		return
	}
	e.abused = 0
	e.score = float32(min(e.scoreAt(t, a.c.Learn.HalfLife)+1, 1e6))
	e.scored = t
	a.addrs.keep(c.addr, float64(e.score) >= a.c.Learn.After)
}

// ReportAbuse tells that a connection's peer is slow, greedy or does not read: a
// learned standing is lost, and not earned again for a minute.
func (a *Limiter) ReportAbuse(now time.Duration, id ID, why Reason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hits[why]++
	k, c := a.get(id)
	if c == nil || c.addr < 0 {
		return
	}
	e := &a.addrs.entries[c.addr]
	t := a.tick(now)
	e.score, e.scored, e.abused = 0, t, t
	a.addrs.keep(c.addr, false)
	if c.standing == Learned {
		stage := c.stage
		a.unlist(k)
		a.count[Learned]--
		a.hold(c, -1)
		c.standing = Unknown
		a.hold(c, 1)
		a.count[Unknown]++
		a.enlist(k, stage, now)
	}
}

// Closed tells that a connection has gone.
func (a *Limiter) Closed(id ID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	k, c := a.get(id)
	if c == nil {
		return
	}
	a.whole(c)
	if c.stage == Silent {
		a.opening(c, -1)
	}
	a.unlist(k)
	a.hold(c, -1)
	a.count[c.standing]--
	if c.again {
		a.again--
	}
	c.open = false
	c.generation++
	c.next, a.free = a.free, k
}

// EvictionReason says what room is needed for.
type EvictionReason uint8

// The needs.
const (
	ForUnknown EvictionReason = iota // any client
	ForKnown                         // a known one: whoever is unknown goes first, and half-read ones of theirs too
	ForSilence                       // too many are silent
	ForMemory                        // buffers are short: half-read requests go
)

// EvictionCandidate names the connection that goes first, by the caller's token: unknown
// before known ones; of them those that have only talked, then those long
// silent, then proven ones that rest, then half-read requests; of several the
// longest unused. One that has just come is spared, for its request is on the
// way, and one on which an answer is owed always. spareProven: no proven one;
// spare, which may be nil, names others.
func (a *Limiter) EvictionCandidate(now time.Duration, need EvictionReason, spareProven bool, spare func(token uint64) bool) (token uint64, stage Stage, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	young := a.c.Grace
	order := [...]Stage{Unserved, Silent, Proven, HalfRead}
	if need == ForSilence {
		if a.silent <= a.c.Capacity/2 {
			return 0, 0, false
		}
		young = a.c.SilentTime
	}
	for side := range a.lists {
		if need == ForKnown && side == 1 {
			break
		}
		for _, stage := range order {
			switch {
			case need == ForSilence && stage != Silent, need == ForMemory && stage != HalfRead, spareProven && stage == Proven:
				continue
			}
			for k := a.lists[side][stage].first; k >= 0; k = a.conns[k].next {
				c := &a.conns[k]
				if (stage == Silent || stage == HalfRead) && need != ForMemory && now-c.since < young {
					break // those behind it are younger
				}
				if c.owned && (spare == nil || !spare(c.token)) {
					return c.token, stage, true
				}
			}
		}
	}
	return 0, 0, false
}

// TooManySilent tells whether too many are silent to be usual clients that opened early.
func (a *Limiter) TooManySilent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.silent > a.c.Capacity/2
}

// TooSlow tells whether a request that began at since, and of which so many
// bytes are there, comes too slowly; if not, when to look again (0: never).
func (a *Limiter) TooSlow(now, since time.Duration, bytes int) (slow bool, again time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.c.MinRate <= 0 {
		return false, 0
	}
	// From the grace on, what is there must be worth the time that has passed.
	due := since + max(a.c.RateGrace, time.Duration(float64(bytes)/a.c.MinRate*float64(time.Second)))
	if now >= due {
		return true, 0
	}
	return false, due
}

// IsKnown tells whether an address is known, or learned.
func (a *Limiter) IsKnown(now time.Duration, addr netip.Addr) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	var e *entry
	if at, ok := a.addrs.find(keyOf(addr)); ok {
		e = &a.addrs.entries[at]
	}
	return a.fronts.has(addr) || a.standing(now, addr, e) != Unknown
}

// CountReason counts a cause that nothing is decided on.
func (a *Limiter) CountReason(why Reason) {
	a.mu.Lock()
	a.hits[why]++
	a.mu.Unlock()
}

// SetPressure sets the level of pressure: 0 none, 1 idle unknown ones go, 2 unknown
// arrivals end at once, 3 even idle connections to backends go.
func (a *Limiter) SetPressure(level int) {
	a.mu.Lock()
	a.level = level
	a.mu.Unlock()
}

// Block keeps a prefix out until a time; those that are open stay, and rest no more
// than any other. An error tells what is wrong.
func (a *Limiter) Block(now time.Duration, prefix netip.Prefix, until time.Duration) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !prefix.IsValid() || until <= now {
		return errors.New("a prefix and a time to come are needed")
	}
	prefix = prefix.Masked()
	for i := range a.bars {
		if a.bars[i].prefix == prefix {
			a.bars[i].until = until
			return nil
		}
	}
	if len(a.bars) >= mostBars {
		return fmt.Errorf("%d prefixes are barred already", mostBars)
	}
	a.bars = append(a.bars, bar{prefix, until})
	return nil
}

// Unblock lets a prefix in again; false: it was not barred.
func (a *Limiter) Unblock(prefix netip.Prefix) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	prefix = prefix.Masked()
	for i := range a.bars {
		if a.bars[i].prefix == prefix {
			a.bars = append(a.bars[:i], a.bars[i+1:]...)
			return true
		}
	}
	return false
}

// Tokens of the open connections within a prefix on which nothing is owed, for a bar that ends them.
func (a *Limiter) IdleWithin(prefix netip.Prefix) (tokens []uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for k := range a.conns {
		c := &a.conns[k]
		if c.open && c.owned && c.stage != Busy && c.addr >= 0 && prefix.Contains(a.addrs.entries[c.addr].key.addr()) {
			tokens = append(tokens, c.token)
		}
	}
	return tokens
}
