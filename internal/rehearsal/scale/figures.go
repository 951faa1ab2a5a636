package scale

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// This file owns the figures of a run: what its samples and reports come to.

// Figure is one measured value.
type Figure struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
	Kind  string  `json:"kind"` // always "measured"
}

// Figures are those of a run, in the order in which they are told.
type Figures []Figure

const measured = "measured"

func (f *Figures) add(name, unit string, value float64) {
	*f = append(*f, Figure{Name: name, Unit: unit, Value: value, Kind: measured})
}

// Get finds a figure; false: there is none of that name.
func (f Figures) Get(name string) (float64, bool) {
	i := slices.IndexFunc(f, func(x Figure) bool { return x.Name == name })
	if i < 0 {
		return 0, false
	}
	return f[i].Value, true
}

const (
	minuteWindow = time.Minute
	coreWindow   = 10 * time.Second
	megabyte     = 1 << 20
)

// Figures works out all figures of the run.
func (r *Run) Figures() (f Figures) {
	r.addCourse(&f)
	r.addInForce(&f)
	r.addDispatchers(&f)
	r.addControl(&f)
	r.addTraffic(&f)
	return f
}

func (r *Run) addCourse(f *Figures) {
	last := r.samples[len(r.samples)-1]
	f.add("run.span", "s", last.at.Sub(r.samples[0].at).Seconds())
	f.add("run.day_factor", "", r.Scenario.Day.Factor)
	f.add("run.changes", "", float64(len(r.tracker.changes)))
	f.add("run.processes", "", float64(r.processes))
	resident := int64(0)
	for i := range r.samples {
		resident = max(resident, r.samples[i].resident())
	}
	f.add("run.memory_all", "MB", float64(resident)/megabyte)
	f.add("run.dispatchers_behind_at_end", "", float64(r.unsettled))
	f.add("run.went_back_to_older", "", float64(r.tracker.back))
}

func (r *Run) addInForce(f *Figures) {
	for _, phase := range r.tracker.phases() {
		took, missing := r.tracker.inForce(phase)
		r.addQuantiles(f, "in_force."+phase, took)
		f.add("in_force."+phase+".changes", "", float64(len(took)))
		if missing > 0 {
			f.add("in_force."+phase+".never", "", float64(missing))
		}
	}
	caught, missing := r.tracker.catchUp()
	for _, phase := range sortedKeys(caught) {
		r.addQuantiles(f, "catch_up."+phase, caught[phase])
	}
	if missing > 0 {
		f.add("catch_up.never", "", float64(missing))
	}
}

func (r *Run) addQuantiles(f *Figures, name string, values []float64) {
	if len(values) == 0 {
		return
	}
	f.add(name+".p50", "s", quantile(values, 0.5))
	f.add(name+".p99", "s", quantile(values, 0.99))
	f.add(name+".max", "s", quantile(values, 1))
}

// group is some dispatchers that are told of together.
type group struct {
	name    string
	members []string       // as clients of the links
	holders map[string]int // their processes, with how many each holds
}

func (r *Run) groups() []group {
	hollow := group{name: "hollow", holders: map[string]int{}}
	for i := range r.Scenario.Dispatchers {
		hollow.members = append(hollow.members, hollowName(i))
		hollow.holders[holderName(zoneOf(i, r.Scenario.Zones))]++
	}
	real := group{name: "real", holders: map[string]int{}}
	for i := range r.Scenario.Real {
		real.members = append(real.members, realName(i))
		real.holders[realName(i)] = 1
	}
	if r.Scenario.Real == 0 {
		return []group{hollow}
	}
	return []group{hollow, real}
}

func (r *Run) addDispatchers(f *Figures) {
	first, last := r.samples[0], r.samples[len(r.samples)-1]
	span := last.at.Sub(first.at).Seconds()
	for _, g := range r.groups() {
		prefix := "dispatcher." + g.name
		cpu, memory, peak, n := 0.0, 0.0, 0.0, 0
		worst := 0.0
		for holder, held := range g.holders {
			cpu += (last.cpu[holder] - first.cpu[holder]).Seconds()
			memory += float64(last.rss[holder])
			peak = max(peak, float64(last.peak[holder])/float64(held))
			worst = max(worst, r.worstShare(holder)/float64(held))
			n += held
		}
		f.add(prefix+".core_share", "cores", cpu/span/float64(n))
		f.add(prefix+".core_share_worst_10s", "cores", worst)
		f.add(prefix+".memory", "MB", memory/float64(n)/megabyte)
		f.add(prefix+".memory_peak", "MB", peak/megabyte)
		r.addBytes(f, prefix, g, span)
	}
}

func (r *Run) addBytes(f *Figures, prefix string, g group, span float64) {
	first, last := r.samples[0], r.samples[len(r.samples)-1]
	sum, worst := 0.0, 0.0
	for _, name := range g.members {
		sum += float64(last.bytes[name] - first.bytes[name])
		worst = max(worst, r.worst(minuteWindow, func(s *sample) float64 { return float64(s.bytes[name]) }))
	}
	f.add(prefix+".bytes", "B/s", sum/span/float64(len(g.members)))
	f.add(prefix+".bytes_worst_minute", "B/s", worst)
}

// worstShare is a process's share of a core in its busiest ten seconds.
func (r *Run) worstShare(process string) float64 {
	return r.worst(coreWindow, func(s *sample) float64 { return s.cpu[process].Seconds() })
}

// worst is the largest rise of a count in any span of that length, a second. Of
// a run that is shorter it is the mean.
func (r *Run) worst(window time.Duration, count func(*sample) float64) float64 {
	most := 0.0
	from := 0
	for to := 1; to < len(r.samples); to++ {
		for from+1 < to && r.samples[to].at.Sub(r.samples[from+1].at) >= window {
			from++
		}
		span := r.samples[to].at.Sub(r.samples[from].at)
		if span >= window || from == 0 && to == len(r.samples)-1 {
			most = max(most, (count(&r.samples[to])-count(&r.samples[from]))/span.Seconds())
		}
	}
	return most
}

// addControl tells of the origin and of the busiest relay.
func (r *Run) addControl(f *Figures) {
	r.addMachine(f, "origin", originName)
	if r.Mechanism != ByRelays {
		return
	}
	busiest, share := "", -1.0
	for zone := range r.Scenario.Zones {
		if s := r.worstShare(relayName(zone)); s > share {
			busiest, share = relayName(zone), s
		}
	}
	r.addMachine(f, "relay.busiest", busiest)
}

func (r *Run) addMachine(f *Figures, prefix, name string) {
	first, last := r.samples[0], r.samples[len(r.samples)-1]
	span := last.at.Sub(first.at).Seconds()
	open, peak := int64(0), int64(0)
	for i := range r.samples {
		open = max(open, r.samples[i].open[name])
		peak = max(peak, r.samples[i].peak[name])
	}
	sent := func(s *sample) float64 { return float64(s.sent[name]) }
	f.add(prefix+".core_share", "cores", (last.cpu[name]-first.cpu[name]).Seconds()/span)
	f.add(prefix+".core_share_worst_10s", "cores", r.worstShare(name))
	f.add(prefix+".bytes_out", "B/s", (sent(&last)-sent(&first))/span)
	f.add(prefix+".bytes_out_worst_10s", "B/s", r.worst(coreWindow, sent))
	f.add(prefix+".connections", "", float64(open))
	f.add(prefix+".memory_peak", "MB", float64(peak)/megabyte)
}

func (r *Run) addTraffic(f *Figures) {
	c := r.counts
	if c.Taken == 0 {
		return
	}
	f.add("traffic.requests", "", float64(c.Taken))
	f.add("traffic.served_share", "", float64(c.Served)/float64(c.Taken))
	f.add("traffic.refused_share", "", float64(c.Refused)/float64(c.Taken))
	f.add("traffic.arrival", "us", float64(c.Busy.Microseconds())/float64(c.Taken))
}

// mostApart is by how much a hollow dispatcher may differ from a real one.
const mostApart = 0.2

// reasons tell why a hollow dispatcher may differ, by what is compared.
var reasons = map[string]string{
	"core_share": "a real one has a collector, a poller and timers of its own, which hollow ones of a process share; " +
		"of a small share the fixed cost is the most",
	"memory": "a real one holds its program and run time, some 8 MB, and a heap that it collects alone; " +
		"hollow ones of a process share them",
	"bytes": "dispatchers of one zone have the same changes; requests and signs of life come at other moments",
}

// Comparison sets a figure of hollow dispatchers beside that of real ones.
type Comparison struct {
	What         string
	Hollow, Real float64
	Apart        float64 // as a share of the real one's
	Why          string  // "": they are close
}

// Compare sets both kinds side by side. Where hollow ones serve requests they
// have work that real ones have not, and only the bytes compare.
func (r *Run) Compare(f Figures) (list []Comparison) {
	for _, what := range []string{"core_share", "memory", "bytes"} {
		hollow, _ := f.Get("dispatcher.hollow." + what)
		real, ok := f.Get("dispatcher.real." + what)
		if !ok || real == 0 || r.Scenario.Traffic.RatePerS > 0 && what != "bytes" {
			continue
		}
		c := Comparison{What: what, Hollow: hollow, Real: real, Apart: hollow/real - 1}
		if math.Abs(c.Apart) > mostApart {
			c.Why = reasons[what]
		}
		list = append(list, c)
	}
	return list
}

// Faults names what no run may show, whatever its bounds.
func (r *Run) Faults() (faults []string) {
	if r.tracker.back > 0 {
		faults = append(faults, fmt.Sprintf("%s: %d times a dispatcher went back to an older version", r.Mechanism, r.tracker.back))
	}
	if r.unsettled > 0 {
		faults = append(faults, fmt.Sprintf("%s: %d reachable dispatchers lack the last version at the end", r.Mechanism, r.unsettled))
	}
	return faults
}

func sortedKeys[V any](m map[string]V) (keys []string) {
	for key := range m {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, strings.Compare)
	return keys
}
