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
	madeAt  time.Duration
	phase   string
}

// appliedVersion is a version that a dispatcher had in force.
type appliedVersion struct {
	version   int64
	appliedAt time.Duration
}

// outage is a period in which a dispatcher cannot be reached.
type outage struct {
	from    time.Duration
	until   time.Duration // outageLasts while it lasts
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
	t.changes = append(t.changes, madeVersion{version: version, madeAt: at, phase: phase})
}

// recordApplied records that a dispatcher has a version in force.
func (t *tracker) recordApplied(name string, version int64, at time.Duration) {
	if newest, _ := t.current(name); version < newest {
		t.regressions++
	}
	t.appliedVersions[name] = append(t.appliedVersions[name], appliedVersion{version: version, appliedAt: at})
}

// recordCut records that a dispatcher cannot be reached from now on.
func (t *tracker) recordCut(name string, at time.Duration) {
	t.outages[name] = append(t.outages[name], outage{from: at, until: outageLasts})
}

// recordHeal records that a dispatcher can be reached again, and the newest version.
func (t *tracker) recordHeal(name string, healedAt time.Duration, phase string, version int64) {
	outages := t.outages[name]
	if len(outages) == 0 {
		return
	}
	latest := &outages[len(outages)-1]
	if latest.until != outageLasts {
		return
	}
	latest.until = healedAt
	latest.phase = phase
	latest.version = version
}

// current returns a dispatcher's latest version, and whether it can be reached.
func (t *tracker) current(name string) (version int64, reachable bool) {
	if applied := t.appliedVersions[name]; len(applied) > 0 {
		version = applied[len(applied)-1].version
	}
	outages := t.outages[name]
	return version, len(outages) == 0 || outages[len(outages)-1].until < outageLasts
}

// firstApplied returns the first time from a given one at which a dispatcher had a version or a later one; false if it
// never had.
func (t *tracker) firstApplied(name string, version int64, from time.Duration) (time.Duration, bool) {
	applied := t.appliedVersions[name]
	i := sort.Search(len(applied), func(i int) bool { return applied[i].version >= version && applied[i].appliedAt >= from })
	if i == len(applied) {
		return 0, false
	}
	return applied[i].appliedAt, true
}

// reachableUntil reports whether a dispatcher could be reached from a change until it had it. One that was cut off
// meanwhile counts as catching up instead.
func (t *tracker) reachableUntil(name string, changedAt, appliedAt time.Duration) bool {
	return !slices.ContainsFunc(t.outages[name], func(o outage) bool { return o.from <= appliedAt && changedAt <= o.until })
}

// inForce returns for each change of a phase how long it took, in seconds, until the last reachable dispatcher had it.
// missing counts the changes that some reachable dispatcher never had.
func (t *tracker) inForce(phase string) (delays []float64, missing int) {
	for _, change := range t.changes {
		if change.phase != phase {
			continue
		}
		reached := t.propagationOf(change)
		if !reached.everywhere {
			missing++
			continue
		}
		delays = append(delays, reached.delay.Seconds())
	}
	return delays, missing
}

// propagation is how a change reached the dispatchers.
type propagation struct {
	everywhere bool          // every reachable dispatcher had it
	delay      time.Duration // until the last of them had it
	slowest    string        // that dispatcher; otherwise one that never had it
}

// propagationOf follows a change to the dispatchers that could be reached until they had it.
func (t *tracker) propagationOf(change madeVersion) propagation {
	reached := propagation{everywhere: true}
	for name := range t.appliedVersions {
		appliedAt, found := t.firstApplied(name, change.version, change.madeAt)
		if !found {
			appliedAt = never
		}
		switch {
		case !t.reachableUntil(name, change.madeAt, appliedAt):
		case !found:
			return propagation{slowest: name}
		case appliedAt-change.madeAt > reached.delay:
			reached.delay = appliedAt - change.madeAt
			reached.slowest = name
		}
	}
	return reached
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
			if outage.until == outageLasts {
				continue
			}
			appliedAt, found := t.firstApplied(name, outage.version, outage.until)
			if !found {
				missing++
				continue
			}
			delays[outage.phase] = append(delays[outage.phase], (appliedAt - outage.until).Seconds())
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
