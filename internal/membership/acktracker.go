package membership

import (
	"cmp"
	"slices"
	"time"
)

// AckTracker holds the version that each subscriber acknowledged last, and
// removes subscribers that have been silent for longer than the expiry. A relay
// acknowledges on behalf of all subscribers below it, with the lowest of their
// versions.
//
// A subscriber that moves from one relay to another is still counted at the
// previous relay until it expires there. Until then it is counted twice.
//
// It is created by [NewAckTracker].
type AckTracker struct {
	expiry time.Duration
	byName map[string]*acknowledgement

	// The ends of a linked list of all acknowledgements, ordered by lastSeen.
	oldest, newest *acknowledgement
}

// acknowledgement is the last acknowledgement of one subscriber.
type acknowledgement struct {
	name     string
	version  Version
	count    int
	lastSeen time.Duration

	previous, next *acknowledgement // in the list ordered by lastSeen
}

// NewAckTracker returns a tracker that removes subscribers that have been silent
// for longer than expiry.
func NewAckTracker(expiry time.Duration) *AckTracker {
	return &AckTracker{expiry: expiry, byName: map[string]*acknowledgement{}}
}

// Acknowledge records that the named subscriber has applied version. count is 1
// for a single subscriber; for a relay it is the number of subscribers below it,
// each of which has at least version. The acknowledgement replaces the previous
// one, even if version is lower, as after a restart. A count of 0 removes the
// subscriber.
func (a *AckTracker) Acknowledge(now time.Duration, name string, version Version, count int) {
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
	ack.version = version
	ack.count = count
	ack.lastSeen = now
	a.link(ack)
}

// VersionCount is the number of subscribers that have acknowledged at least Version.
type VersionCount struct {
	Version Version
	Count   int
}

// Summary is a count of the subscribers that have not expired, by version. The
// zero value means that there are none.
type Summary struct {
	Subscribers    int
	Lowest, Newest Version
	Cumulative     []VersionCount // one element for each version that is some subscriber's last, oldest first
}

// Summary counts the subscribers that have not expired, by version.
func (a *AckTracker) Summary(now time.Duration) Summary {
	a.expire(now)
	counts := map[Version]int{}
	var summary Summary
	for ack := a.oldest; ack != nil; ack = ack.next {
		counts[ack.version] += ack.count
		summary.Subscribers += ack.count
	}
	if len(counts) == 0 {
		return summary
	}
	for version, count := range counts {
		summary.Cumulative = append(summary.Cumulative, VersionCount{version, count})
	}
	slices.SortFunc(summary.Cumulative, func(a, b VersionCount) int { return cmp.Compare(a.Version, b.Version) })
	summary.Lowest = summary.Cumulative[0].Version
	summary.Newest = summary.Cumulative[len(summary.Cumulative)-1].Version
	for i := len(summary.Cumulative) - 2; i >= 0; i-- {
		summary.Cumulative[i].Count += summary.Cumulative[i+1].Count
	}
	return summary
}

// CountAtLeast returns how many of the subscribers that have not expired
// acknowledged at least version, and how many there are in total.
func (a *AckTracker) CountAtLeast(now time.Duration, version Version) (count, total int) {
	a.expire(now)
	for ack := a.oldest; ack != nil; ack = ack.next {
		total += ack.count
		if ack.version >= version {
			count += ack.count
		}
	}
	return count, total
}

// expire removes the subscribers that have been silent for longer than the expiry.
func (a *AckTracker) expire(now time.Duration) {
	for a.oldest != nil && now-a.oldest.lastSeen > a.expiry {
		expired := a.oldest
		a.unlink(expired)
		delete(a.byName, expired.name)
	}
}

// link appends ack to the list as the newest element.
func (a *AckTracker) link(ack *acknowledgement) {
	ack.previous = a.newest
	ack.next = nil
	if a.newest != nil {
		a.newest.next = ack
	} else {
		a.oldest = ack
	}
	a.newest = ack
}

// unlink removes ack from the list.
func (a *AckTracker) unlink(ack *acknowledgement) {
	if ack.previous != nil {
		ack.previous.next = ack.next
	} else {
		a.oldest = ack.next
	}
	if ack.next != nil {
		ack.next.previous = ack.previous
	} else {
		a.newest = ack.previous
	}
	ack.previous = nil
	ack.next = nil
}
