package recording

import (
	"math/rand/v2"
	"slices"
)

// This file owns time: the order and the steps of one source's clock, whole
// seconds, and how far two sources' clocks lie apart. It must never move an
// entry without counting it.

// pending is an entry on its way through the import. Times are microseconds.
type pending struct {
	at       int64 // the stamp; once ordered, the arrival
	seq      uint64
	key      uint64 // of the token; 0: to be made up, or none
	sig      uint64 // what two sources would both tell of the request
	duration int64  // -1: not told
	service  int64
	step     int64
	class    int32
	status   int32
	body     int32
	repairs  Repair
	arrival  bool
	noKey    bool
	fold     int64
}

const (
	orderly   = 2_000_000            // by how much the ends of a log's lines may go back: workers write in turn
	unordered = 120_000_000          // where stamps mark arrivals and no duration is told
	leap      = 6 * 3600 * 1_000_000 // forward: a night without entries, or an odd stamp
	nearby    = 3600 * 1_000_000     // how far on from the last good stamp an old clock may be found again
	confirm   = 8                    // entries that must agree before a step is believed
	crowd     = 1 << 16              // entries of one second that are spread at once
)

// clock puts the stamps of one source into one line of time. It holds back a
// few entries while it is not sure whether a clock has stepped or one stamp is odd.
type clock struct {
	steady bool // the order of the source tells nothing (HAR)
	good   int64
	shift  int64 // added since the clock stepped back
	begun  bool
	held   []pending
	back   bool // the held ones stand before, not far behind
	next   func(pending)

	Steps   int   // how often the clock stepped back
	Stepped int64 // by how much altogether, µs
	Odd     int   // stamps that stood alone
}

// mark is the time by which lines are ordered: when they were written.
func (p *pending) mark() int64 {
	if p.arrival && p.duration > 0 {
		return p.at + p.duration
	}
	return p.at
}

// tolerance is by how much a mark may go back without a step.
func (p *pending) tolerance() int64 {
	if p.arrival && p.duration < 0 {
		return unordered
	}
	return orderly
}

func (c *clock) add(p pending) {
	if c.steady {
		c.next(p)
		return
	}
	m := p.mark() + c.shift
	if !c.begun {
		c.begun, c.good = true, m
	}
	if p.fold > 0 && m < c.good-p.tolerance() && m+p.fold >= c.good-p.tolerance() {
		p.at, m = p.at+p.fold, m+p.fold
		p.repairs |= SecondHour
	}
	p.fold = 0
	if len(c.held) > 0 {
		if m >= c.good-p.tolerance() && m <= c.good+nearby { // the old clock goes on: the held ones were odd
			c.release(true)
		} else if c.held = append(c.held, p); len(c.held) >= confirm {
			c.flush()
			return
		} else {
			return
		}
	}
	if back := m < c.good-p.tolerance(); back || m > c.good+leap {
		c.back = back
		c.held = append(c.held, p)
		return
	}
	c.pass(p)
}

func (c *clock) pass(p pending) {
	p.at += c.shift
	if c.shift != 0 {
		p.repairs |= SteppedClock
	}
	c.good = max(c.good, p.mark())
	c.next(p)
}

// release passes the held entries on; odd ones at the last good time.
func (c *clock) release(odd bool) {
	held := c.held
	c.held = nil
	for _, p := range held {
		if odd {
			c.Odd++
			p.repairs |= OddStamp
			p.at = c.good
			if p.arrival && p.duration > 0 {
				p.at -= p.duration
			}
			c.next(p)
		} else {
			c.pass(p)
		}
	}
	c.held = held[:0]
}

// flush believes the held entries: the clock has stepped, or time has passed.
func (c *clock) flush() {
	if len(c.held) == 0 {
		return
	}
	first := c.held[0].mark() + c.shift
	if c.back {
		c.Steps++
		c.Stepped += c.good - first
		c.shift += c.good - first
	} else {
		c.good = first
	}
	held := slices.Clone(c.held)
	c.held = c.held[:0]
	for _, p := range held { // a second step within them is seen as one
		c.add(p)
	}
}

// spreader parts the entries of one whole second, in their order. A second of
// which more come than it can hold takes its entries in ever smaller parts.
type spreader struct {
	rng    *rand.Rand
	group  []pending
	second int64
	from   float64 // how much of the second is taken already
	at     []float64
	next   func(pending)

	Crowded int // seconds that were too full for one part
	Spread  int // entries
}

func (s *spreader) add(p pending) {
	if p.step < 1_000_000 {
		s.flush()
		s.next(p)
		return
	}
	if len(s.group) > 0 && p.at != s.second {
		s.flush()
	}
	s.second = p.at
	if s.group = append(s.group, p); len(s.group) == crowd {
		s.Crowded++
		s.part(s.from + (1-s.from)/2)
	}
}

// flush ends a second.
func (s *spreader) flush() {
	if len(s.group) > 0 {
		s.part(1)
	}
	s.from = 0
}

func (s *spreader) part(to float64) {
	s.at = s.at[:0]
	for range s.group {
		s.at = append(s.at, s.from+s.rng.Float64()*(to-s.from))
	}
	slices.Sort(s.at)
	s.Spread += len(s.group)
	for i, p := range s.group {
		p.at += min(int64(s.at[i]*1e6), 999_999)
		s.next(p)
	}
	s.group, s.from = s.group[:0], to
}

// sightings remembers requests of one source by what another would tell of
// them, the same part of them in every source, so that many or few can be compared.
type sightings struct {
	seen map[uint64]sighting
	most uint64 // those above are not remembered
}

type sighting struct {
	at    int64
	times int32
}

const rememberedSightings = 1 << 15

func newSightings() *sightings {
	return &sightings{seen: map[uint64]sighting{}, most: ^uint64(0)}
}

func (s *sightings) add(sig uint64, at int64) {
	if sig > s.most {
		return
	}
	v := s.seen[sig]
	s.seen[sig] = sighting{at, v.times + 1}
	for len(s.seen) > rememberedSightings {
		s.most /= 2
		for sig := range s.seen {
			if sig > s.most {
				delete(s.seen, sig)
			}
		}
	}
}

// Offset is how far a source's clock lies from the first source's.
type Offset struct {
	Microseconds int64 // to be added to its stamps
	Estimated    bool
	Pairs        int   // requests that both saw
	Spread       int64 // half of the pairs lie within this, µs
}

const (
	fewestPairs = 5
	pairWindow  = 2_000_000 // two whole seconds: what two stamps may lie apart by their roundness
)

// estimate finds the offset of one source against another from the requests
// that each saw once; ok: there were enough that agree.
func estimate(ref, other *sightings) (o Offset, ok bool) {
	var apart []int64
	for sig, a := range ref.seen {
		if b, found := other.seen[sig]; found && a.times == 1 && b.times == 1 {
			apart = append(apart, a.at-b.at)
		}
	}
	slices.Sort(apart)
	best, from := 0, 0
	for i, j := 0, 0; j < len(apart); j++ {
		for apart[j]-apart[i] > pairWindow {
			i++
		}
		if j-i+1 > best {
			best, from = j-i+1, i
		}
	}
	if best < fewestPairs {
		return o, false
	}
	// As many might agree by chance: pairs of different requests lie anywhere.
	if width := apart[len(apart)-1] - apart[0]; width > pairWindow {
		if chance := float64(len(apart)) * pairWindow / float64(width); float64(best) < 4*chance+2 && best*2 < len(apart) {
			return o, false
		}
	}
	near := apart[from : from+best]
	mid := near[best/2]
	return Offset{Microseconds: mid, Estimated: true, Pairs: best, Spread: (near[best*3/4] - near[best/4] + 1) / 2}, true
}
