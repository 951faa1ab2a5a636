package decision

import (
	"math"
	"slices"
	"time"
)

const (
	maxRequestGroups = 48   // groups of the mix; computing prices takes time proportional to their cube
	minGroupCount    = 0.01 // a group is dropped when its decayed number of requests falls below this
)

// requestMix is the recent demand: sums over groups of similar requests. The sums decay over a span of time
// that the caller passes, which must be the same in all calls.
type requestMix struct {
	groups []requestGroup
}

// requestGroup is a group of similar requests of the recent mix. Its values are sums over its requests.
type requestGroup struct {
	key      requestGroupKey
	count    decayingValue
	value    decayingValue
	cost     decayingValue
	holdTime decayingValue
}

// requestGroupKey identifies a group: requests with the same key count as similar.
type requestGroupKey struct {
	class     int
	overQuota bool
	slots     int // logarithm to base 2, rounded
	work      int // logarithm to base 4, rounded
}

// bid is the total value, cost and hold time of a group of similar requests.
type bid struct {
	value    float64
	cost     float64 // slot-seconds of work
	holdTime float64 // seconds
}

// add adds a first try to the mix. If the mix already has the maximum number of groups, the request joins
// the group of its class that is nearest in size.
func (x *requestMix) add(now, span time.Duration, request *request, key requestGroupKey) {
	nearest, distance := x.nearestGroup(key)
	if nearest < 0 || distance > 0 && len(x.groups) < maxRequestGroups {
		nearest = len(x.groups)
		x.groups = append(x.groups, requestGroup{key: key})
	}
	group := &x.groups[nearest]
	group.count.add(now, span, 1)
	group.value.add(now, span, request.value)
	group.cost.add(now, span, request.cost)
	group.holdTime.add(now, span, request.holdTime)
}

// nearestGroup returns the index of the group of the same class that is nearest in size, -1 if there is
// none, and its distance.
func (x *requestMix) nearestGroup(key requestGroupKey) (nearest, distance int) {
	nearest = -1
	distance = math.MaxInt
	for i := range x.groups {
		other := x.groups[i].key
		difference := abs(other.slots-key.slots) + abs(other.work-key.work)
		if other.class == key.class && other.overQuota == key.overQuota && difference < distance {
			nearest = i
			distance = difference
		}
	}
	return nearest, distance
}

func abs(x int) int { return max(x, -x) }

// bids returns the mix as bids, and how many requests are in it. It drops groups below minGroupCount.
func (x *requestMix) bids(now, span time.Duration) (bids []bid, count float64) {
	x.groups = slices.DeleteFunc(x.groups, func(group requestGroup) bool {
		return group.count.get(now, span) < minGroupCount
	})
	for i := range x.groups {
		group := &x.groups[i]
		count += group.count.get(now, span)
		bids = append(bids, bid{
			value:    group.value.get(now, span),
			cost:     group.cost.get(now, span),
			holdTime: group.holdTime.get(now, span),
		})
	}
	return bids, count
}
