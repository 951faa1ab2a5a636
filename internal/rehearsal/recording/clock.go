package recording

import (
	"math/rand/v2"
	"slices"
)

// This file owns time: the order and the steps of one source's clock, whole
// seconds, and how far two sources' clocks lie apart. It must never move an
// entry without counting it.

// pendingEntry is an entry on its way through the import. Times are microseconds.
type pendingEntry struct {
	timestamp       int64 // the stamp; once ordered, the arrival
	sequence      uint64
	key      uint64 // of the token; 0: to be made up, or none
	signature      uint64 // what two sources would both tell of the request
	duration int64  // -1: not told
	serviceTime  int64
	resolution     int64
	class    int32
	status   int32
	bodyBytes     int32
	repairs  Repair
	stampsArrival  bool
	noKey    bool
	foldOffset     int64
}

const (
	maxCompletionDisorder   = 2_000_000            // by how much the ends of a log's lines may go back: workers write in turn
	maxArrivalDisorder = 120_000_000          // where stamps mark arrivals and no duration is told
	maxForwardJump      = 6 * 3600 * 1_000_000 // forward: a night without entries, or an odd stamp
	resumeWindow    = 3600 * 1_000_000     // how far on from the last good stamp an old clock may be found again
	stepConfirmations   = 8                    // entries that must agree before a step is believed
	maxSpreadGroup     = 1 << 16              // entries of one second that are spread at once
)

// clockCorrector puts the stamps of one source into one line of time. It holds back a
// few entries while it is not sure whether a clockCorrector has stepped or one stamp is odd.
type clockCorrector struct {
	unordered bool // the order of the source tells nothing (HAR)
	lastGood   int64
	correction  int64 // added since the clock stepped back
	started  bool
	suspects   []pendingEntry
	suspectsBehind   bool // the held ones stand before, not far behind
	emit   func(pendingEntry)

	StepsBack   int   // how often the clock stepped back
	SteppedMicroseconds int64 // by how much altogether, µs
	Outliers     int   // stamps that stood alone
}

// completion is the time by which lines are ordered: when they were written.
func (p *pendingEntry) completion() int64 {
	if p.stampsArrival && p.duration > 0 {
		return p.timestamp + p.duration
	}
	return p.timestamp
}

// tolerance is by how much a mark may go back without a step.
func (p *pendingEntry) tolerance() int64 {
	if p.stampsArrival && p.duration < 0 {
		return maxArrivalDisorder
	}
	return maxCompletionDisorder
}

func (c *clockCorrector) add(p pendingEntry) {
	if c.unordered {
		c.emit(p)
		return
	}
	completion := p.completion() + c.correction
	if !c.started {
		c.started, c.lastGood = true, completion
	}
	if p.foldOffset > 0 && completion < c.lastGood-p.tolerance() && completion+p.foldOffset >= c.lastGood-p.tolerance() {
		p.timestamp, completion = p.timestamp+p.foldOffset, completion+p.foldOffset
		p.repairs |= RepeatedHour
	}
	p.foldOffset = 0
	if len(c.suspects) > 0 {
		if completion >= c.lastGood-p.tolerance() && completion <= c.lastGood+resumeWindow { // the old clock goes on: the held ones were odd
			c.releaseSuspects(true)
		} else if c.suspects = append(c.suspects, p); len(c.suspects) >= stepConfirmations {
			c.acceptSuspects()
			return
		} else {
			return
		}
	}
	if back := completion < c.lastGood-p.tolerance(); back || completion > c.lastGood+maxForwardJump {
		c.suspectsBehind = back
		c.suspects = append(c.suspects, p)
		return
	}
	c.accept(p)
}

func (c *clockCorrector) accept(p pendingEntry) {
	p.timestamp += c.correction
	if c.correction != 0 {
		p.repairs |= ClockStepped
	}
	c.lastGood = max(c.lastGood, p.completion())
	c.emit(p)
}

// releaseSuspects passes the held entries on; odd ones at the last good time.
func (c *clockCorrector) releaseSuspects(odd bool) {
	held := c.suspects
	c.suspects = nil
	for _, p := range held {
		if odd {
			c.Outliers++
			p.repairs |= OutlierTimestamp
			p.timestamp = c.lastGood
			if p.stampsArrival && p.duration > 0 {
				p.timestamp -= p.duration
			}
			c.emit(p)
		} else {
			c.accept(p)
		}
	}
	c.suspects = held[:0]
}

// acceptSuspects believes the held entries: the clock has stepped, or time has passed.
func (c *clockCorrector) acceptSuspects() {
	if len(c.suspects) == 0 {
		return
	}
	first := c.suspects[0].completion() + c.correction
	if c.suspectsBehind {
		c.StepsBack++
		c.SteppedMicroseconds += c.lastGood - first
		c.correction += c.lastGood - first
	} else {
		c.lastGood = first
	}
	held := slices.Clone(c.suspects)
	c.suspects = c.suspects[:0]
	for _, p := range held { // a second step within them is seen as one
		c.add(p)
	}
}

// secondSpreader parts the entries of one whole second, in their order. A second of
// which more come than it can hold takes its entries in ever smaller parts.
type secondSpreader struct {
	random    *rand.Rand
	group  []pendingEntry
	second int64
	usedFraction   float64 // how much of the second is taken already
	fractions     []float64
	emit   func(pendingEntry)

	CrowdedSeconds int // seconds that were too full for one part
	Spread  int // entries
}

func (s *secondSpreader) add(p pendingEntry) {
	if p.resolution < 1_000_000 {
		s.flush()
		s.emit(p)
		return
	}
	if len(s.group) > 0 && p.timestamp != s.second {
		s.flush()
	}
	s.second = p.timestamp
	if s.group = append(s.group, p); len(s.group) == maxSpreadGroup {
		s.CrowdedSeconds++
		s.spreadGroup(s.usedFraction + (1-s.usedFraction)/2)
	}
}

// flush ends a second.
func (s *secondSpreader) flush() {
	if len(s.group) > 0 {
		s.spreadGroup(1)
	}
	s.usedFraction = 0
}

func (s *secondSpreader) spreadGroup(to float64) {
	s.fractions = s.fractions[:0]
	for range s.group {
		s.fractions = append(s.fractions, s.usedFraction+s.random.Float64()*(to-s.usedFraction))
	}
	slices.Sort(s.fractions)
	s.Spread += len(s.group)
	for i, p := range s.group {
		p.timestamp += min(int64(s.fractions[i]*1e6), 999_999)
		s.emit(p)
	}
	s.group, s.usedFraction = s.group[:0], to
}

// signatureSample remembers requests of one source by what another would tell of
// them, the same part of them in every source, so that many or few can be compared.
type signatureSample struct {
	seen map[uint64]sighting
	maxSignature uint64 // those above are not remembered
}

type sighting struct {
	timestamp    int64
	count int32
}

const maxSightings = 1 << 15

func newSignatureSample() *signatureSample {
	return &signatureSample{seen: map[uint64]sighting{}, maxSignature: ^uint64(0)}
}

func (s *signatureSample) add(signature uint64, at int64) {
	if signature > s.maxSignature {
		return
	}
	previous := s.seen[signature]
	s.seen[signature] = sighting{at, previous.count + 1}
	for len(s.seen) > maxSightings {
		s.maxSignature /= 2
		for sig := range s.seen {
			if sig > s.maxSignature {
				delete(s.seen, sig)
			}
		}
	}
}

// ClockOffset is how far a source's clock lies from the first source's.
type ClockOffset struct {
	Microseconds int64 // to be added to its stamps
	Estimated    bool
	Pairs        int   // requests that both saw
	Spread       int64 // half of the pairs lie within this, µs
}

const (
	minOffsetPairs = 5
	offsetPairWindow  = 2_000_000 // two whole seconds: what two stamps may lie apart by their roundness
)

// estimateOffset finds the offset of one source against another from the requests
// that each saw once; ok: there were enough that agree.
func estimateOffset(ref, other *signatureSample) (o ClockOffset, ok bool) {
	var apart []int64
	for sig, a := range ref.seen {
		if b, found := other.seen[sig]; found && a.count == 1 && b.count == 1 {
			apart = append(apart, a.timestamp-b.timestamp)
		}
	}
	slices.Sort(apart)
	best, from := 0, 0
	for i, j := 0, 0; j < len(apart); j++ {
		for apart[j]-apart[i] > offsetPairWindow {
			i++
		}
		if j-i+1 > best {
			best, from = j-i+1, i
		}
	}
	if best < minOffsetPairs {
		return o, false
	}
	// As many might agree by chance: pairs of different requests lie anywhere.
	if width := apart[len(apart)-1] - apart[0]; width > offsetPairWindow {
		if chance := float64(len(apart)) * offsetPairWindow / float64(width); float64(best) < 4*chance+2 && best*2 < len(apart) {
			return o, false
		}
	}
	near := apart[from : from+best]
	mid := near[best/2]
	return ClockOffset{Microseconds: mid, Estimated: true, Pairs: best, Spread: (near[best*3/4] - near[best/4] + 1) / 2}, true
}
