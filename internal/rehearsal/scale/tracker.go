package scale

import (
	"math"
	"slices"
	"sort"
	"time"
)

// madeVersion is a version that the origin has made.
type madeVersion struct {
	version int64
	at      time.Duration
	phase   string
}

// appliedVersion is a version that a dispatcher had in force.
type appliedVersion struct {
	version int64
	at      time.Duration
}

// outage is a period in which a dispatcher cannot be reached.
type outage struct {
	from    time.Duration
	to      time.Duration // outageLasts while it lasts
	phase   string        // of the event that ended it
	version int64         // the newest when it ended
}

// never is later than any time of a run.
const never = time.Duration(math.MaxInt64)

// outageLasts is the end of an outage that has not ended.
const outageLasts = never

// tracker records when each version was made and when each dispatcher had it. It reads no clock; all times are Unix
// time.
type tracker struct {
	changes         []madeVersion
	appliedVersions map[string][]appliedVersion // by dispatcher, in order
	outages         map[string][]outage
	regressions     int // times at which a dispatcher went back to an older version
}

func newTracker() *tracker {
	return &tracker{appliedVersions: map[string][]appliedVersion{}, outages: map[string][]outage{}}
}

// recordMade records that the origin has made a version.
func (t *tracker) recordMade(version int64, at time.Duration, phase string) {
	t.changes = append(t.changes, madeVersion{version, at, phase})
}

// recordApplied records that a dispatcher has a version in force.
func (t *tracker) recordApplied(name string, version int64, at time.Duration) {
	if newest, _ := t.current(name); version < newest {
		t.regressions++
	}
	t.appliedVersions[name] = append(t.appliedVersions[name], appliedVersion{version, at})
}

// recordCut records that a dispatcher cannot be reached from now on.
func (t *tracker) recordCut(name string, at time.Duration) {
	t.outages[name] = append(t.outages[name], outage{from: at, to: outageLasts})
}

// recordHeal records that a dispatcher can be reached again, and the newest version.
func (t *tracker) recordHeal(name string, at time.Duration, phase string, version int64) {
	outages := t.outages[name]
	if len(outages) == 0 {
		return
	}
	latest := &outages[len(outages)-1]
	if latest.to != outageLasts {
		return
	}
	latest.to = at
	latest.phase = phase
	latest.version = version
}

// current returns a dispatcher's latest version, and whether it can be reached.
func (t *tracker) current(name string) (version int64, reachable bool) {
	if applied := t.appliedVersions[name]; len(applied) > 0 {
		version = applied[len(applied)-1].version
	}
	outages := t.outages[name]
	return version, len(outages) == 0 || outages[len(outages)-1].to < outageLasts
}

// firstApplied returns the first time from a given one at which a dispatcher had a version or a later one; false if it
// never had.
func (t *tracker) firstApplied(name string, version int64, from time.Duration) (time.Duration, bool) {
	applied := t.appliedVersions[name]
	i := sort.Search(len(applied), func(i int) bool { return applied[i].version >= version && applied[i].at >= from })
	if i == len(applied) {
		return 0, false
	}
	return applied[i].at, true
}

// reachableUntil reports whether a dispatcher could be reached from a change until it had it. One that was cut off
// meanwhile counts as catching up instead.
func (t *tracker) reachableUntil(name string, at, appliedAt time.Duration) bool {
	return !slices.ContainsFunc(t.outages[name], func(o outage) bool { return o.from <= appliedAt && at <= o.to })
}

// inForce returns for each change of a phase how long it took, in seconds, until the last reachable dispatcher had it.
// missing counts the changes that some reachable dispatcher never had.
func (t *tracker) inForce(phase string) (delays []float64, missing int) {
	for _, change := range t.changes {
		if change.phase != phase {
			continue
		}
		delay, _, everywhere := t.propagation(change)
		if !everywhere {
			missing++
			continue
		}
		delays = append(delays, delay.Seconds())
	}
	return delays, missing
}

// propagation returns how long a change took until the last reachable dispatcher had it, and which one that was.
// everywhere is false if one never had it.
func (t *tracker) propagation(change madeVersion) (delay time.Duration, slowest string, everywhere bool) {
	for name := range t.appliedVersions {
		appliedAt, found := t.firstApplied(name, change.version, change.at)
		if !found {
			appliedAt = never
		}
		switch {
		case !t.reachableUntil(name, change.at, appliedAt):
		case !found:
			return 0, name, false
		case appliedAt-change.at > delay:
			delay = appliedAt - change.at
			slowest = name
		}
	}
	return delay, slowest, true
}

// phases returns the phases that have changes, in the order of their first.
func (t *tracker) phases() (names []string) {
	for _, change := range t.changes {
		if !slices.Contains(names, change.phase) {
			names = append(names, change.phase)
		}
	}
	return names
}

// catchUp returns, by the event that ended outages, how long each dispatcher took from then until it had the version
// that was the newest at that time. missing counts those that never had it.
func (t *tracker) catchUp() (delays map[string][]float64, missing int) {
	delays = map[string][]float64{}
	for name, outages := range t.outages {
		for _, outage := range outages {
			if outage.to == outageLasts {
				continue
			}
			appliedAt, found := t.firstApplied(name, outage.version, outage.to)
			if !found {
				missing++
				continue
			}
			delays[outage.phase] = append(delays[outage.phase], (appliedAt - outage.to).Seconds())
		}
	}
	return delays, missing
}

// quantile returns a quantile of values, by the nearest rank; 0 if there are none.
func quantile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	rank := int(math.Ceil(share*float64(len(sorted)))) - 1
	return sorted[min(max(rank, 0), len(sorted)-1)]
}
