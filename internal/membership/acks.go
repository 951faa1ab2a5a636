package membership

import (
	"cmp"
	"slices"
	"time"
)

// This file owns the acknowledged versions: who has said to have which version
// in force. It must never count one that has been silent for longer than the
// expiry, nor a version that was not acknowledged.

// Acks keeps what subscribers acknowledged last. A relay acknowledges for the
// fleet below it, by the lowest version of that fleet.
//
// A subscriber that moves to another relay stays in the former one's count until
// it expires there, and so is counted twice for up to that time.
type Acks struct {
	expiry time.Duration
	byName map[string]*acknowledgement

	longestSilent, lastHeard *acknowledgement // the ends of the list, by time heard
}

type acknowledgement struct {
	name    string
	version Version
	count   int
	heard   time.Duration

	before, after *acknowledgement // neighbours by time heard
}

// NewAcks gives one that forgets who has been silent for longer than expiry.
func NewAcks(expiry time.Duration) *Acks {
	return &Acks{expiry: expiry, byName: map[string]*acknowledgement{}}
}

// Heard takes in that the subscriber has v in force: itself (count 1), or count
// subscribers below it, each at least v. What it said before no longer counts,
// also where v is older: it has restarted. With a count of 0 it is forgotten, as
// it speaks for nobody.
func (a *Acks) Heard(now time.Duration, name string, v Version, count int) {
	a.expire(now)
	ack := a.byName[name]
	if ack != nil {
		a.unlink(ack)
	}
	if count <= 0 {
		delete(a.byName, name)
		return
	}
	if ack == nil {
		ack = &acknowledgement{name: name}
		a.byName[name] = ack
	}
	ack.version, ack.count, ack.heard = v, count, now
	a.link(ack)
}

// VersionCount is how many subscribers have at least a version in force.
type VersionCount struct {
	Version Version
	Count   int
}

// Summary is what the live subscribers have in force. The zero value: there are none.
type Summary struct {
	Subscribers    int
	Lowest, Newest Version
	AtLeast        []VersionCount // for each version acknowledged last by some, oldest first
}

// Summary counts the live subscribers by version.
func (a *Acks) Summary(now time.Duration) Summary {
	a.expire(now)
	counts := map[Version]int{}
	var summary Summary
	for ack := a.longestSilent; ack != nil; ack = ack.after {
		counts[ack.version] += ack.count
		summary.Subscribers += ack.count
	}
	if len(counts) == 0 {
		return summary
	}
	for version, count := range counts {
		summary.AtLeast = append(summary.AtLeast, VersionCount{version, count})
	}
	slices.SortFunc(summary.AtLeast, func(a, b VersionCount) int { return cmp.Compare(a.Version, b.Version) })
	summary.Lowest = summary.AtLeast[0].Version
	summary.Newest = summary.AtLeast[len(summary.AtLeast)-1].Version
	for i := len(summary.AtLeast) - 2; i >= 0; i-- {
		summary.AtLeast[i].Count += summary.AtLeast[i+1].Count
	}
	return summary
}

// InForce is how many of the live subscribers have at least v in force.
func (a *Acks) InForce(now time.Duration, v Version) (have, of int) {
	a.expire(now)
	for ack := a.longestSilent; ack != nil; ack = ack.after {
		of += ack.count
		if ack.version >= v {
			have += ack.count
		}
	}
	return have, of
}

// expire forgets who has been silent for too long.
func (a *Acks) expire(now time.Duration) {
	for ack := a.longestSilent; ack != nil && now-ack.heard > a.expiry; ack = a.longestSilent {
		a.unlink(ack)
		delete(a.byName, ack.name)
	}
}

// link puts one at the end of the list of those heard last.
func (a *Acks) link(ack *acknowledgement) {
	ack.before, ack.after = a.lastHeard, nil
	if a.lastHeard != nil {
		a.lastHeard.after = ack
	} else {
		a.longestSilent = ack
	}
	a.lastHeard = ack
}

func (a *Acks) unlink(ack *acknowledgement) {
	if ack.before != nil {
		ack.before.after = ack.after
	} else {
		a.longestSilent = ack.after
	}
	if ack.after != nil {
		ack.after.before = ack.before
	} else {
		a.lastHeard = ack.before
	}
	ack.before, ack.after = nil, nil
}
