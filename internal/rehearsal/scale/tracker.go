package scale

import (
	"math"
	"slices"
	"sort"
	"time"
)

// publishedVersion is a version that the origin has published. Its phase is that of the step that published it.
type publishedVersion struct {
	version     int64
	publishedAt time.Duration
	phase       string
}

// appliedVersion is a version that a dispatcher has applied.
type appliedVersion struct {
	version   int64
	appliedAt time.Duration
}

// outage is a period in which a dispatcher is unreachable.
type outage struct {
	from          time.Duration
	until         time.Duration // outageOngoing while the outage lasts
	phase         string        // kind of the event that ended it
	newestVersion int64         // the newest published version when it ended
}

// never is later than any time of a run.
const never = time.Duration(math.MaxInt64)

// outageOngoing is the value of outage.until for an outage that has not ended.
const outageOngoing = never

// tracker records when each version was published and when each dispatcher applied it. It reads no clock: callers pass all
// times, as Unix time.
type tracker struct {
	publishedVersions []publishedVersion
	appliedVersions   map[string][]appliedVersion // by dispatcher, in the order of the reports
	outages           map[string][]outage         // by dispatcher, in order
	regressions       int                         // how many times a dispatcher went back to an older version
}

func newTracker() *tracker {
	return &tracker{appliedVersions: map[string][]appliedVersion{}, outages: map[string][]outage{}}
}

// recordPublished records that the origin has published a version.
func (t *tracker) recordPublished(version int64, at time.Duration, phase string) {
	t.publishedVersions = append(t.publishedVersions, publishedVersion{version: version, publishedAt: at, phase: phase})
}

// recordApplied records that a dispatcher has applied a version.
func (t *tracker) recordApplied(name string, version int64, at time.Duration) {
	if newest, _ := t.current(name); version < newest {
		t.regressions++
	}
	t.appliedVersions[name] = append(t.appliedVersions[name], appliedVersion{version: version, appliedAt: at})
}

// recordUnreachable records that a dispatcher has become unreachable.
func (t *tracker) recordUnreachable(name string, at time.Duration) {
	t.outages[name] = append(t.outages[name], outage{from: at, until: outageOngoing})
}

// recordReachable records that a dispatcher has become reachable again by an event, and the newest published version at
// that time. It does nothing if the dispatcher was not unreachable.
func (t *tracker) recordReachable(name string, healedAt time.Duration, phase string, version int64) {
	outages := t.outages[name]
	if len(outages) == 0 {
		return
	}
	latest := &outages[len(outages)-1]
	if latest.until != outageOngoing {
		return
	}
	latest.until = healedAt
	latest.phase = phase
	latest.newestVersion = version
}

// current returns the version that a dispatcher applied last, and whether it is reachable.
func (t *tracker) current(name string) (version int64, reachable bool) {
	if applied := t.appliedVersions[name]; len(applied) > 0 {
		version = applied[len(applied)-1].version
	}
	outages := t.outages[name]
	return version, len(outages) == 0 || outages[len(outages)-1].until < outageOngoing
}

// firstApplied returns the time at which a dispatcher first applied the given version or a later one, not counting what
// it applied before the time from. It returns false if there is no such time.
func (t *tracker) firstApplied(name string, version int64, from time.Duration) (time.Duration, bool) {
	applied := t.appliedVersions[name]
	i := sort.Search(len(applied), func(i int) bool { return applied[i].version >= version && applied[i].appliedAt >= from })
	if i == len(applied) {
		return 0, false
	}
	return applied[i].appliedAt, true
}

// reachableUntil reports whether a dispatcher was reachable all the time from the publication of a version until it applied
// that version. A dispatcher that was unreachable in between is counted by catchUpDelays instead.
func (t *tracker) reachableUntil(name string, changedAt, appliedAt time.Duration) bool {
	return !slices.ContainsFunc(t.outages[name], func(o outage) bool { return o.from <= appliedAt && changedAt <= o.until })
}

// propagationDelays returns, for each version of a phase, the time in seconds until the last reachable dispatcher had
// applied it. missing is the number of versions that some reachable dispatcher never applied.
func (t *tracker) propagationDelays(phase string) (delays []float64, missing int) {
	for _, published := range t.publishedVersions {
		if published.phase != phase {
			continue
		}
		reached := t.propagationOf(published)
		if !reached.everywhere {
			missing++
			continue
		}
		delays = append(delays, reached.delay.Seconds())
	}
	return delays, missing
}

// propagation describes how a version reached the reachable dispatchers.
type propagation struct {
	everywhere     bool          // every reachable dispatcher applied it
	delay          time.Duration // from publication until the last of them applied it
	lastDispatcher string        // the dispatcher that applied it last or, if not everywhere, one that never did
}

// propagationOf returns how a version reached the dispatchers. It leaves out those that were unreachable at any time before
// they applied the version.
func (t *tracker) propagationOf(published publishedVersion) propagation {
	reached := propagation{everywhere: true}
	for name := range t.appliedVersions {
		appliedAt, found := t.firstApplied(name, published.version, published.publishedAt)
		if !found {
			appliedAt = never
		}
		switch {
		case !t.reachableUntil(name, published.publishedAt, appliedAt):
		case !found:
			return propagation{lastDispatcher: name}
		case appliedAt-published.publishedAt > reached.delay:
			reached.delay = appliedAt - published.publishedAt
			reached.lastDispatcher = name
		}
	}
	return reached
}

// phases returns the phases in which versions were published, in order.
func (t *tracker) phases() (names []string) {
	for _, published := range t.publishedVersions {
		if !slices.Contains(names, published.phase) {
			names = append(names, published.phase)
		}
	}
	return names
}

// catchUpDelays returns how long each dispatcher took, in seconds, from the end of an outage until it applied the version
// that was the newest at that time. The delays are grouped by the kind of the event that ended the outage. missing is the
// number of outages after which the dispatcher never applied that version.
func (t *tracker) catchUpDelays() (delays map[string][]float64, missing int) {
	delays = map[string][]float64{}
	for name, outages := range t.outages {
		for _, outage := range outages {
			if outage.until == outageOngoing {
				continue
			}
			appliedAt, found := t.firstApplied(name, outage.newestVersion, outage.until)
			if !found {
				missing++
				continue
			}
			delays[outage.phase] = append(delays[outage.phase], (appliedAt - outage.until).Seconds())
		}
	}
	return delays, missing
}

// quantile returns a quantile of values by the nearest-rank method, or 0 if there are no values.
func quantile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	rank := int(math.Ceil(share*float64(len(sorted)))) - 1
	return sorted[min(max(rank, 0), len(sorted)-1)]
}
