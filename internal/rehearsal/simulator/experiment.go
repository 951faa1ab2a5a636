package simulator

import (
	"cmp"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
)

// This file owns experiments: many days at once, what they have in common, and
// the smallest form of one that went wrong. Days run beside each other on all
// cores, each on one goroutine; what comes out must never depend on which ended
// first.

// Many plays each scenario with each seed and returns the results, by scenario,
// then by seed. done, which may be nil, is called after each day.
func Many(scenarios []Scenario, seeds []uint64, done func()) ([][]Result, error) {
	results := make([][]Result, len(scenarios))
	for i := range results {
		results[i] = make([]Result, len(seeds))
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	var first error
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i, sc := range scenarios {
		for j, seed := range seeds {
			slots <- struct{}{}
			all.Add(1)
			go func() {
				defer func() { <-slots; all.Done() }()
				s, err := New(sc, seed, nil)
				if err == nil {
					results[i][j] = s.Run()
				}
				mu.Lock()
				defer mu.Unlock()
				first = cmp.Or(first, err)
				if done != nil {
					done()
				}
			}()
		}
	}
	all.Wait()
	return results, first
}

// Seeds lists n seeds from one on.
func Seeds(from uint64, n int) (seeds []uint64) {
	for i := range n {
		seeds = append(seeds, from+uint64(i))
	}
	return seeds
}

// Difference is what a paired comparison has shown.
type Difference struct {
	Pairs         int
	A, B          float64 // mean scores
	Mean          float64 // of B less A, seed by seed
	Low, High     float64 // of the mean: 95%, by bootstrap
	BetterA, Even int     // pairs
	Noise         bool    // the interval holds 0
}

const resamples = 10_000

// Compare pairs the scores of two lists of days by their place.
func Compare(a, b []Result) (d Difference) {
	d.Pairs = min(len(a), len(b))
	diffs := make([]float64, d.Pairs)
	for i := range diffs {
		diffs[i] = b[i].Score - a[i].Score
		d.A += a[i].Score / float64(d.Pairs)
		d.B += b[i].Score / float64(d.Pairs)
		d.Mean += diffs[i] / float64(d.Pairs)
		switch {
		case diffs[i] < 0:
			d.BetterA++
		case diffs[i] == 0:
			d.Even++
		}
	}
	random := rand.New(rand.NewPCG(1, 1)) // the same days give the same interval
	means := make([]float64, resamples)
	for i := range means {
		for range diffs {
			means[i] += diffs[random.IntN(len(diffs))]
		}
		means[i] /= math.Max(float64(len(diffs)), 1)
	}
	slices.Sort(means)
	d.Low, d.High = means[resamples*25/1000], means[resamples*975/1000]
	d.Noise = d.Low <= 0 && d.High >= 0
	return d
}

// Day is one result with its scenario.
type Day struct {
	Scenario Scenario
	Result   Result
}

// Worst lists the days that went worst: those that broke rules, then by score.
func Worst(scenarios []Scenario, results [][]Result, n int) (days []Day) {
	for i, list := range results {
		for _, r := range list {
			days = append(days, Day{scenarios[i], r})
		}
	}
	slices.SortStableFunc(days, func(a, b Day) int {
		return cmp.Or(cmp.Compare(min(len(b.Result.Broken), 1), min(len(a.Result.Broken), 1)), cmp.Compare(a.Result.Score, b.Result.Score))
	})
	return days[:min(n, len(days))]
}

// Shrink cuts a scenario down as long as its day with that seed is still bad: one
// fault, dispatcher or worker less, a shorter day, fewer requests, simpler parts.
// tries is how many days that took.
func Shrink(sc Scenario, seed uint64, bad func(Result) bool) (small Scenario, tries int, err error) {
	still := func(next Scenario) bool {
		if err != nil || next.Check() != nil {
			return false
		}
		tries++
		var s *Sim
		if s, err = New(next, seed, nil); err != nil {
			return false
		}
		return bad(s.Run())
	}
	small = sc
	for again := true; again && err == nil; {
		again = false
		for _, cut := range cuts(small) {
			if still(cut) {
				small, again = cut, true
				break
			}
		}
	}
	return small, tries, err
}

// cuts lists scenarios that are one step smaller, the boldest first.
func cuts(sc Scenario) (list []Scenario) {
	with := func(change func(*Scenario)) {
		next := sc
		next.Faults, next.Net.Zones, next.Classes = slices.Clone(sc.Faults), slices.Clone(sc.Net.Zones), slices.Clone(sc.Classes)
		change(&next)
		list = append(list, next)
	}
	for i := range sc.Faults {
		with(func(n *Scenario) { n.Faults = slices.Delete(n.Faults, i, i+1) })
	}
	for _, by := range []int{2, 1} { // by half, then by one
		less := func(n int) int {
			if by == 2 {
				return n / 2
			}
			return n - 1
		}
		if n := less(sc.Dispatchers); n >= 1 && n < sc.Dispatchers {
			with(func(x *Scenario) { x.Dispatchers = n })
		}
		if n := less(sc.Workers.Count); n >= 1 && n < sc.Workers.Count {
			with(func(x *Scenario) { // with their part of the load, or it would be another trouble
				x.Load.Rate *= float64(n) / float64(x.Workers.Count)
				x.Workers.Count = n
			})
		}
	}
	if sc.LengthS > 0.5 {
		with(func(x *Scenario) { x.LengthS /= 2 })
		with(func(x *Scenario) { x.LengthS *= 0.9 })
	}
	if sc.Load.Rate > 1 {
		with(func(x *Scenario) { x.Load.Rate /= 2 })
	}
	if sc.Load.Tries > 1 {
		with(func(x *Scenario) { x.Load.Tries = 1 })
	}
	if sc.Load.Swing > 0 {
		with(func(x *Scenario) { x.Load.Swing, x.Load.EachS = 0, 0 })
	}
	if sc.Net.Jitter > 0 {
		with(func(x *Scenario) { x.Net.Jitter = 0 })
	}
	for i := range sc.Faults {
		if sc.Faults[i].Workers > 1 {
			with(func(x *Scenario) { x.Faults[i].Workers-- })
		}
		if sc.Faults[i].ForS > 0.5 {
			with(func(x *Scenario) { x.Faults[i].ForS /= 2 })
		}
	}
	return list
}
