package decision

import (
	"math"
	"slices"
)

const (
	maxRequestGroups  = 48   // groups of the mix; solving for prices takes the cube of their number
	fadedRequestCount = 0.01 // requests left of a group below which it is dropped
)

// requestGroup is a group of like requests of the recent mix. All four are sums over its requests.
type requestGroup struct {
	key      requestGroupKey
	count    decayingValue
	value    decayingValue
	cost     decayingValue
	holdTime decayingValue
}

// requestGroupKey identifies the requests that are alike.
type requestGroupKey struct {
	class     int
	overQuota bool
	slots     int // logarithm to base 2, rounded
	work      int // logarithm to base 4, rounded
}

// bid is the total value, cost and hold time of a group of like requests.
type bid struct {
	value    float64
	cost     float64 // slot-seconds of work
	holdTime float64 // seconds
}

// addToMix counts a first try into the recent mix. Where the mix has its largest number of groups, a
// request joins the one of its class that is nearest in size.
func (m *Machine) addToMix(request *request, key requestGroupKey) {
	nearest := -1
	distance := math.MaxInt
	for i := range m.mix {
		k := m.mix[i].key
		difference := abs(k.slots-key.slots) + abs(k.work-key.work)
		if k.class == key.class && k.overQuota == key.overQuota && difference < distance {
			nearest = i
			distance = difference
		}
	}
	if nearest < 0 || distance > 0 && len(m.mix) < maxRequestGroups {
		nearest = len(m.mix)
		m.mix = append(m.mix, requestGroup{key: key})
	}
	group := &m.mix[nearest]
	group.count.add(m.now, m.planningHorizon, 1)
	group.value.add(m.now, m.planningHorizon, request.value)
	group.cost.add(m.now, m.planningHorizon, request.cost)
	group.holdTime.add(m.now, m.planningHorizon, request.holdTime)
}

func abs(x int) int { return max(x, -x) }

// recentMix returns the recent mix as bids, and how many requests are in it. It drops what has faded away.
func (m *Machine) recentMix() (bids []bid, count float64) {
	m.mix = slices.DeleteFunc(m.mix, func(group requestGroup) bool {
		return group.count.get(m.now, m.planningHorizon) < fadedRequestCount
	})
	for i := range m.mix {
		group := &m.mix[i]
		count += group.count.get(m.now, m.planningHorizon)
		bids = append(bids, bid{
			value:    group.value.get(m.now, m.planningHorizon),
			cost:     group.cost.get(m.now, m.planningHorizon),
			holdTime: group.holdTime.get(m.now, m.planningHorizon),
		})
	}
	return bids, count
}
