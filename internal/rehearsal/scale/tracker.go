package scale

import (
	"math"
	"slices"
	"sort"
	"time"
)

// This file owns when changes are in force: when each was made, and when each
// dispatcher had it. It reads no clock; all moments are Unix time.

// made is one change.
type made struct {
	version int64
	at      time.Duration
	phase   string
}

// moment is when a dispatcher had a version in force.
type moment struct {
	version int64
	at      time.Duration
}

// outage is a time in which a dispatcher cannot be reached.
type outage struct {
	from, to time.Duration // to is the largest number while it lasts
	phase    string        // of the event that ended it
	version  int64         // the newest one when it ended
}

// tracker follows all dispatchers.
type tracker struct {
	changes []made
	moments map[string][]moment // by dispatcher, in order
	outages map[string][]outage
	back    int // times at which a dispatcher went back to an older version
}

func newTracker() *tracker {
	return &tracker{moments: map[string][]moment{}, outages: map[string][]outage{}}
}

func (t *tracker) make(version int64, at time.Duration, phase string) {
	t.changes = append(t.changes, made{version, at, phase})
}

func (t *tracker) applied(name string, version int64, at time.Duration) {
	if newest, _ := t.current(name); version < newest {
		t.back++
	}
	t.moments[name] = append(t.moments[name], moment{version, at})
}

// cut tells that a dispatcher cannot be reached from now on.
func (t *tracker) cut(name string, at time.Duration) {
	t.outages[name] = append(t.outages[name], outage{from: at, to: math.MaxInt64})
}

// heal tells that it can be again, and what the newest version is.
func (t *tracker) heal(name string, at time.Duration, phase string, version int64) {
	list := t.outages[name]
	if n := len(list); n > 0 && list[n-1].to == math.MaxInt64 {
		list[n-1].to, list[n-1].phase, list[n-1].version = at, phase, version
	}
}

// current is the newest version that a dispatcher has, and whether it can be reached.
func (t *tracker) current(name string) (version int64, reachable bool) {
	if list := t.moments[name]; len(list) > 0 {
		version = list[len(list)-1].version
	}
	list := t.outages[name]
	return version, len(list) == 0 || list[len(list)-1].to < math.MaxInt64
}

// when is the first moment after from at which a dispatcher had a version.
func (t *tracker) when(name string, version int64, from time.Duration) (time.Duration, bool) {
	list := t.moments[name]
	i := sort.Search(len(list), func(i int) bool { return list[i].version >= version && list[i].at >= from })
	if i == len(list) {
		return 0, false
	}
	return list[i].at, true
}

// reachable tells whether a dispatcher could be reached from a change on, until
// it had it: one that is cut off meanwhile is counted when it comes back.
func (t *tracker) reachable(name string, at, had time.Duration) bool {
	return !slices.ContainsFunc(t.outages[name], func(o outage) bool { return o.from <= had && at <= o.to })
}

// inForce tells for each change of a phase how long it took, in seconds, until
// the last reachable dispatcher had it. missing counts those that some reachable
// dispatcher never had.
func (t *tracker) inForce(phase string) (took []float64, missing int) {
	for _, change := range t.changes {
		if change.phase != phase {
			continue
		}
		last, _, everywhere := t.spread(change)
		if !everywhere {
			missing++
			continue
		}
		took = append(took, last.Seconds())
	}
	return took, missing
}

// spread tells how long a change took until the last reachable dispatcher had
// it, and which one that was; not everywhere: one never had it.
func (t *tracker) spread(change made) (last time.Duration, slowest string, everywhere bool) {
	for name := range t.moments {
		had, ok := t.when(name, change.version, change.at)
		if !ok {
			had = math.MaxInt64
		}
		switch {
		case !t.reachable(name, change.at, had):
		case !ok:
			return 0, name, false
		case had-change.at > last:
			last, slowest = had-change.at, name
		}
	}
	return last, slowest, true
}

// phases are those that have changes, in the order of their first.
func (t *tracker) phases() (names []string) {
	for _, change := range t.changes {
		if !slices.Contains(names, change.phase) {
			names = append(names, change.phase)
		}
	}
	return names
}

// catchUp tells, by the event that ended outages, how long each dispatcher took
// from then until it had what was the newest version at that moment.
func (t *tracker) catchUp() (took map[string][]float64, missing int) {
	took = map[string][]float64{}
	for name, list := range t.outages {
		for _, o := range list {
			if o.to == math.MaxInt64 {
				continue
			}
			had, ok := t.when(name, o.version, o.to)
			if !ok {
				missing++
				continue
			}
			took[o.phase] = append(took[o.phase], (had - o.to).Seconds())
		}
	}
	return took, missing
}

// quantile is a quantile of values, by the nearest rank.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	rank := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[min(max(rank, 0), len(sorted)-1)]
}
