package scale

import (
	"cmp"
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
	for _, g := range r.groups() {
		prefix := "dispatcher." + g.name
		means := r.means(g)
		share, peak, bytes := 0.0, 0.0, 0.0
		for holder, held := range g.holders {
			share = max(share, r.worstShare(holder)/float64(held))
			peak = max(peak, r.peak(holder)/float64(held))
		}
		for _, name := range g.members {
			bytes = max(bytes, r.worst(minuteWindow, func(s *sample) float64 { return float64(s.bytes[name]) }))
		}
		f.add(prefix+".core_share", "cores", means[0])
		f.add(prefix+".core_share_worst_10s", "cores", share)
		f.add(prefix+".memory", "MB", means[1])
		f.add(prefix+".memory_peak", "MB", peak/megabyte)
		f.add(prefix+".bytes", "B/s", means[2])
		f.add(prefix+".bytes_worst_minute", "B/s", bytes)
	}
	for _, c := range r.Compare() {
		f.add("hollow_beside_real."+c.What+".apart", "", c.Apart)
	}
	r.addOwn(f)
}

// peak is the most memory that a process has had, in bytes.
func (r *Run) peak(process string) (most float64) {
	for i := range r.samples {
		most = max(most, float64(r.samples[i].peak[process]))
	}
	return most
}

// addOwn tells what hollow dispatchers have counted themselves: a mean of each.
// Where some were started anew, what their former processes counted is lost.
func (r *Run) addOwn(f *Figures) {
	if slices.ContainsFunc(r.Scenario.Events, func(e Event) bool { return e.Kind == Restart }) {
		return
	}
	n := float64(r.Scenario.Dispatchers)
	if read := r.atEnd.BytesRead - r.atStart.BytesRead; read > 0 {
		span := r.samples[len(r.samples)-1].at.Sub(r.samples[0].at).Seconds()
		f.add("own_count.bytes", "B/s", float64(read+r.atEnd.BytesWritten-r.atStart.BytesWritten)/span/n)
	}
	if r.Scenario.Entries {
		f.add("own_count.lists", "", float64(r.atEnd.Lists-r.atStart.Lists)/n)
		f.add("own_count.entries", "", float64(r.atEnd.Entries-r.atStart.Entries)/n)
	}
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

// addControl tells of the origin and, where there are relays, of the busiest one:
// over the run, and from each action to the next.
func (r *Run) addControl(f *Figures) {
	r.addMachine(f, "origin", originName)
	machines := []string{originName}
	if r.Mechanism == ByRelays {
		machines = nil
		for zone := range r.Scenario.Zones {
			machines = append(machines, relayName(zone))
		}
		r.addMachine(f, "relay.busiest", slices.MaxFunc(machines, func(a, b string) int {
			return cmp.Compare(r.worstShare(a), r.worstShare(b))
		}))
	}
	for i, act := range r.acts {
		until := r.samples[len(r.samples)-1].at
		if i+1 < len(r.acts) {
			until = r.acts[i+1].at
		}
		r.addBusiest(f, "control.after_"+string(act.kind), machines, r.between(act.at, until))
	}
}

// between are the samples of a time.
func (r *Run) between(from, to time.Time) (list []sample) {
	for _, s := range r.samples {
		if !s.at.Before(from) && !s.at.After(to) {
			list = append(list, s)
		}
	}
	return list
}

// addBusiest tells the most that any control machine had to do in some time, each
// figure by itself.
func (r *Run) addBusiest(f *Figures, prefix string, machines []string, samples []sample) {
	if len(samples) < 2 {
		return
	}
	first, last := samples[0], samples[len(samples)-1]
	span := last.at.Sub(first.at).Seconds()
	share, sent, open := 0.0, 0.0, int64(0)
	for _, name := range machines {
		share = max(share, (last.cpu[name]-first.cpu[name]).Seconds()/span)
		sent = max(sent, float64(last.sent[name]-first.sent[name])/span)
		for _, s := range samples {
			open = max(open, s.open[name])
		}
	}
	f.add(prefix+".core_share", "cores", share)
	f.add(prefix+".bytes_out", "B/s", sent)
	f.add(prefix+".connections", "", float64(open))
}

func (r *Run) addMachine(f *Figures, prefix, name string) {
	first, last := r.samples[0], r.samples[len(r.samples)-1]
	span := last.at.Sub(first.at).Seconds()
	open := int64(0)
	for i := range r.samples {
		open = max(open, r.samples[i].open[name])
	}
	sent := func(s *sample) float64 { return float64(s.sent[name]) }
	f.add(prefix+".core_share", "cores", (last.cpu[name]-first.cpu[name]).Seconds()/span)
	f.add(prefix+".core_share_worst_10s", "cores", r.worstShare(name))
	f.add(prefix+".bytes_out", "B/s", (sent(&last)-sent(&first))/span)
	f.add(prefix+".bytes_out_worst_10s", "B/s", r.worst(coreWindow, sent))
	f.add(prefix+".connections", "", float64(open))
	f.add(prefix+".memory_peak", "MB", r.peak(name)/megabyte)
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
	"core_share": "the hollow ones of a process wake up together for a change and share its poller, collector and reports; " +
		"a real one does so alone. What a process costs counts most where the share is small",
	"memory": "the hollow ones of a process share one run time and the kit's larger program (some 20 MB); " +
		"a real one has its own (some 8 MB). What a process costs counts most where the list is small",
	"bytes": "dispatchers of a zone have the same changes, but each its own acknowledgements, and a restart is at other moments",
}

// Comparison sets a figure of hollow dispatchers beside that of real ones.
type Comparison struct {
	What         string
	Hollow, Real float64
	Apart        float64 // as a share of the real one's
	Why          string  // "": they are close
}

// Compare sets real dispatchers beside the hollow ones of the same zones. Where
// hollow ones serve requests they have work that real ones have not, and only the
// bytes compare.
func (r *Run) Compare() (list []Comparison) {
	beside := r.besideReal()
	if r.Scenario.Real == 0 || len(beside.members) == 0 {
		return nil
	}
	hollow, real := r.means(beside), r.means(r.groups()[1])
	for i, what := range []string{"core_share", "memory", "bytes"} {
		if real[i] == 0 || r.Scenario.Traffic.RatePerS > 0 && what != "bytes" {
			continue
		}
		c := Comparison{What: what, Hollow: hollow[i], Real: real[i], Apart: hollow[i]/real[i] - 1}
		if math.Abs(c.Apart) > mostApart {
			c.Why = reasons[what]
		}
		list = append(list, c)
	}
	return list
}

// besideReal are the hollow dispatchers of the zones that have a real one.
func (r *Run) besideReal() group {
	zones := map[int]bool{}
	for i := range r.Scenario.Real {
		zones[realZone(i, r.Scenario.Zones)] = true
	}
	g := group{name: "beside", holders: map[string]int{}}
	for i := range r.Scenario.Dispatchers {
		if zone := zoneOf(i, r.Scenario.Zones); zones[zone] {
			g.members = append(g.members, hollowName(i))
			g.holders[holderName(zone)]++
		}
	}
	return g
}

// means are the core share, the resident memory at the end in MB and the bytes a
// second of one dispatcher of a group.
func (r *Run) means(g group) (values [3]float64) {
	first, last := r.samples[0], r.samples[len(r.samples)-1]
	span, n := last.at.Sub(first.at).Seconds(), float64(len(g.members))
	for holder := range g.holders {
		values[0] += (last.cpu[holder] - first.cpu[holder]).Seconds() / span / n
		values[1] += float64(last.rss[holder]) / megabyte / n
	}
	for _, name := range g.members {
		values[2] += float64(last.bytes[name]-first.bytes[name]) / span / n
	}
	return values
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
