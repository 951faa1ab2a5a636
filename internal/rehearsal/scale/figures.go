package scale

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Figure is one measured value.
type Figure struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
	Kind  string  `json:"kind"` // always "measured"
}

// Figures are the figures of one run, in the order in which reports show them.
type Figures []Figure

const kindMeasured = "measured"

func (f *Figures) add(name, unit string, value float64) {
	*f = append(*f, Figure{Name: name, Unit: unit, Value: value, Kind: kindMeasured})
}

// Get returns the value of the figure with a name, and whether there is one.
func (f Figures) Get(name string) (float64, bool) {
	i := slices.IndexFunc(f, func(figure Figure) bool { return figure.Name == name })
	if i < 0 {
		return 0, false
	}
	return f[i].Value, true
}

const (
	minuteWindow = time.Minute      // window of the highest rate of a dispatcher's bytes
	coreWindow   = 10 * time.Second // window of the highest core share of a process and of the highest rate of sent bytes
	megabyte     = 1 << 20
)

// Figures computes all figures of the run.
func (r *Run) Figures() (figures Figures) {
	r.addRun(&figures)
	r.addPropagationDelays(&figures)
	r.addDispatchers(&figures)
	r.addControl(&figures)
	r.addRequests(&figures)
	return figures
}

func (r *Run) addRun(figures *Figures) {
	last := r.samples[len(r.samples)-1]
	figures.add("run.span", "s", last.takenAt.Sub(r.samples[0].takenAt).Seconds())
	figures.add("run.day_factor", "", r.Scenario.Background.TimeFactor)
	figures.add("run.changes", "", float64(len(r.tracker.publishedVersions)))
	figures.add("run.processes", "", float64(r.processCount))
	resident := int64(0)
	for i := range r.samples {
		resident = max(resident, r.samples[i].resident())
	}
	figures.add("run.memory_all", "MB", float64(resident)/megabyte)
	figures.add("run.dispatchers_behind_at_end", "", float64(r.behindAtEnd))
	figures.add("run.went_back_to_older", "", float64(r.tracker.regressions))
}

func (r *Run) addPropagationDelays(figures *Figures) {
	for _, phase := range r.tracker.phases() {
		delays, missing := r.tracker.propagationDelays(phase)
		r.addQuantiles(figures, "in_force."+phase, delays)
		figures.add("in_force."+phase+".changes", "", float64(len(delays)))
		if missing > 0 {
			figures.add("in_force."+phase+".never", "", float64(missing))
		}
	}
	caughtUp, missing := r.tracker.catchUpDelays()
	for _, phase := range slices.Sorted(maps.Keys(caughtUp)) {
		r.addQuantiles(figures, "catch_up."+phase, caughtUp[phase])
	}
	if missing > 0 {
		figures.add("catch_up.never", "", float64(missing))
	}
}

func (r *Run) addQuantiles(figures *Figures, name string, values []float64) {
	if len(values) == 0 {
		return
	}
	figures.add(name+".p50", "s", quantile(values, 0.5))
	figures.add(name+".p99", "s", quantile(values, 0.99))
	figures.add(name+".max", "s", quantile(values, 1))
}

// group is a set of dispatchers whose figures are computed together.
type group struct {
	name                 string
	members              []string       // names of the dispatchers, by which links count their bytes
	dispatchersByProcess map[string]int // number of dispatchers that each process runs
}

// groups returns the group of hollow dispatchers and, if the run has daemons, that of the daemons.
func (r *Run) groups() []group {
	hollow := group{name: "hollow", dispatchersByProcess: map[string]int{}}
	for i := range r.Scenario.Dispatchers {
		hollow.members = append(hollow.members, hollowName(i))
		hollow.dispatchersByProcess[hollowProcessName(hollowZone(i, r.Scenario.Zones))]++
	}
	daemons := group{name: "real", dispatchersByProcess: map[string]int{}}
	for i := range r.Scenario.Daemons {
		daemons.members = append(daemons.members, daemonName(i))
		daemons.dispatchersByProcess[daemonName(i)] = 1
	}
	if r.Scenario.Daemons == 0 {
		return []group{hollow}
	}
	return []group{hollow, daemons}
}

func (r *Run) addDispatchers(figures *Figures) {
	for _, group := range r.groups() {
		prefix := "dispatcher." + group.name
		means := r.means(group)
		worstShare := 0.0
		peakMemory := 0.0
		worstBytes := 0.0
		for process, count := range group.dispatchersByProcess {
			worstShare = max(worstShare, r.worstCoreShare(process)/float64(count))
			peakMemory = max(peakMemory, r.peakMemory(process)/float64(count))
		}
		for _, name := range group.members {
			clientBytes := func(s *sample) float64 { return float64(s.clientBytes[name]) }
			worstBytes = max(worstBytes, r.worstRate(minuteWindow, clientBytes))
		}
		figures.add(prefix+".core_share", "cores", means.coreShare)
		figures.add(prefix+".core_share_worst_10s", "cores", worstShare)
		figures.add(prefix+".memory", "MB", means.residentMB)
		figures.add(prefix+".memory_peak", "MB", peakMemory/megabyte)
		figures.add(prefix+".bytes", "B/s", means.bytesPerS)
		figures.add(prefix+".bytes_worst_minute", "B/s", worstBytes)
	}
	for _, comparison := range r.Compare() {
		figures.add("hollow_beside_real."+comparison.Metric+".apart", "", comparison.Deviation)
	}
	r.addCounters(figures)
}

// peakMemory returns the peak resident memory of a process, in bytes.
func (r *Run) peakMemory(process string) (peak float64) {
	for i := range r.samples {
		peak = max(peak, float64(r.samples[i].peakResident[process]))
	}
	return peak
}

// addCounters adds the means, over the hollow dispatchers, of the counters that they keep themselves. It adds none if the
// scenario restarts a zone, since the counters of the killed processes are lost.
func (r *Run) addCounters(figures *Figures) {
	if slices.ContainsFunc(r.Scenario.Events, func(event Event) bool { return event.Kind == RestartZone }) {
		return
	}
	dispatchers := float64(r.Scenario.Dispatchers)
	if read := r.countersAtEnd.BytesRead - r.countersAtStart.BytesRead; read > 0 {
		span := r.samples[len(r.samples)-1].takenAt.Sub(r.samples[0].takenAt).Seconds()
		figures.add("own_count.bytes", "B/s", float64(read+r.countersAtEnd.BytesWritten-r.countersAtStart.BytesWritten)/span/dispatchers)
	}
	if r.Scenario.CountEntries {
		figures.add("own_count.lists", "", float64(r.countersAtEnd.ListUpdates-r.countersAtStart.ListUpdates)/dispatchers)
		figures.add("own_count.entries", "", float64(r.countersAtEnd.Entries-r.countersAtStart.Entries)/dispatchers)
	}
}

// worstCoreShare returns the largest share of a core that a process used over any coreWindow of the run.
func (r *Run) worstCoreShare(process string) float64 {
	return r.worstRate(coreWindow, func(s *sample) float64 { return s.cpu[process].Seconds() })
}

// worstRate returns the highest rate of a count, per second, over any window of the given length. If the run is shorter
// than the window, it returns the rate over the whole run.
func (r *Run) worstRate(window time.Duration, count func(*sample) float64) float64 {
	worst := 0.0
	start := 0
	for end := 1; end < len(r.samples); end++ {
		for start+1 < end && r.samples[end].takenAt.Sub(r.samples[start+1].takenAt) >= window {
			start++
		}
		span := r.samples[end].takenAt.Sub(r.samples[start].takenAt)
		if span >= window || start == 0 && end == len(r.samples)-1 {
			worst = max(worst, (count(&r.samples[end])-count(&r.samples[start]))/span.Seconds())
		}
	}
	return worst
}

// addControl adds the figures of the control machines over the run: of the origin and, if there are relays, of the one
// with the largest worstCoreShare. For each action it also adds the maxima over the control machines, from that action to
// the next.
func (r *Run) addControl(figures *Figures) {
	r.addMachine(figures, "origin", originName)
	machines := []string{originName}
	if r.Mechanism == MechanismRelays {
		machines = nil
		for zone := range r.Scenario.Zones {
			machines = append(machines, relayName(zone))
		}
		r.addMachine(figures, "relay.busiest", slices.MaxFunc(machines, func(a, b string) int {
			return cmp.Compare(r.worstCoreShare(a), r.worstCoreShare(b))
		}))
	}
	for i, taken := range r.actions {
		until := r.samples[len(r.samples)-1].takenAt
		if i+1 < len(r.actions) {
			until = r.actions[i+1].takenAt
		}
		r.addBusiest(figures, "control.after_"+string(taken.kind), machines, r.inRange(taken.takenAt, until))
	}
}

// inRange returns the samples that were taken between two times, both included.
func (r *Run) inRange(from, to time.Time) (between []sample) {
	for _, s := range r.samples {
		if !s.takenAt.Before(from) && !s.takenAt.After(to) {
			between = append(between, s)
		}
	}
	return between
}

// addBusiest adds figures for the period of the samples. Each figure is the largest value of any of the given machines.
func (r *Run) addBusiest(figures *Figures, prefix string, machines []string, samples []sample) {
	if len(samples) < 2 {
		return
	}
	first := samples[0]
	last := samples[len(samples)-1]
	span := last.takenAt.Sub(first.takenAt).Seconds()
	share := 0.0
	sent := 0.0
	maxConnections := int64(0)
	for _, name := range machines {
		share = max(share, (last.cpu[name]-first.cpu[name]).Seconds()/span)
		sent = max(sent, float64(last.sentBytes[name]-first.sentBytes[name])/span)
		for _, taken := range samples {
			maxConnections = max(maxConnections, taken.connections[name])
		}
	}
	figures.add(prefix+".core_share", "cores", share)
	figures.add(prefix+".bytes_out", "B/s", sent)
	figures.add(prefix+".connections", "", float64(maxConnections))
}

// addMachine adds the figures of one control machine over the run.
func (r *Run) addMachine(figures *Figures, prefix, name string) {
	first := r.samples[0]
	last := r.samples[len(r.samples)-1]
	span := last.takenAt.Sub(first.takenAt).Seconds()
	maxConnections := int64(0)
	for i := range r.samples {
		maxConnections = max(maxConnections, r.samples[i].connections[name])
	}
	sent := func(s *sample) float64 { return float64(s.sentBytes[name]) }
	figures.add(prefix+".core_share", "cores", (last.cpu[name]-first.cpu[name]).Seconds()/span)
	figures.add(prefix+".core_share_worst_10s", "cores", r.worstCoreShare(name))
	figures.add(prefix+".bytes_out", "B/s", (sent(&last)-sent(&first))/span)
	figures.add(prefix+".bytes_out_worst_10s", "B/s", r.worstRate(coreWindow, sent))
	figures.add(prefix+".connections", "", float64(maxConnections))
	figures.add(prefix+".memory_peak", "MB", r.peakMemory(name)/megabyte)
}

func (r *Run) addRequests(figures *Figures) {
	counts := r.requests
	if counts.Accepted == 0 {
		return
	}
	figures.add("traffic.requests", "", float64(counts.Accepted))
	figures.add("traffic.served_share", "", float64(counts.Served)/float64(counts.Accepted))
	figures.add("traffic.refused_share", "", float64(counts.Rejected)/float64(counts.Accepted))
	figures.add("traffic.arrival", "us", float64(counts.AcceptTime.Microseconds())/float64(counts.Accepted))
}

// maxDeviation is the relative difference between hollow dispatchers and daemons above which the report gives a reason.
const maxDeviation = 0.2

// deviationReasons says why hollow dispatchers differ from daemons, for each compared metric.
var deviationReasons = map[string]string{
	"core_share": "the hollow dispatchers of a process wake up together for a change and share its network poller, garbage collector and reports; " +
		"a real dispatcher has these for itself. This fixed cost of a process matters most where the core share is small",
	"memory": "the hollow dispatchers of a process share one Go runtime and the larger program of the test kit (some 20 MB); " +
		"a real dispatcher has a runtime and program of its own (some 8 MB). This fixed cost of a process matters most where the endpoint list is small",
	"bytes": "dispatchers of a zone receive the same changes, but each sends its own acknowledgements, and they are restarted at different times",
}

// Comparison compares one metric of hollow dispatchers with the same metric of daemons.
type Comparison struct {
	Metric    string
	Hollow    float64
	Real      float64
	Deviation float64 // Hollow/Real - 1
	Reason    string  // why they differ; empty if Deviation is within maxDeviation
}

// Compare compares daemons with the hollow dispatchers of the same zones. If the hollow dispatchers serve requests, it
// compares only the bytes, since the daemons serve no requests.
func (r *Run) Compare() (comparisons []Comparison) {
	hollowGroup := r.hollowInDaemonZones()
	if r.Scenario.Daemons == 0 || len(hollowGroup.members) == 0 {
		return nil
	}
	hollow := r.means(hollowGroup)
	daemons := r.means(r.groups()[1])
	for _, compared := range []struct {
		metric string
		hollow float64
		real   float64
	}{
		{"core_share", hollow.coreShare, daemons.coreShare},
		{"memory", hollow.residentMB, daemons.residentMB},
		{"bytes", hollow.bytesPerS, daemons.bytesPerS},
	} {
		if compared.real == 0 || r.Scenario.Traffic.RatePerS > 0 && compared.metric != "bytes" {
			continue
		}
		comparison := Comparison{Metric: compared.metric, Hollow: compared.hollow, Real: compared.real, Deviation: compared.hollow/compared.real - 1}
		if math.Abs(comparison.Deviation) > maxDeviation {
			comparison.Reason = deviationReasons[compared.metric]
		}
		comparisons = append(comparisons, comparison)
	}
	return comparisons
}

// hollowInDaemonZones returns the group of hollow dispatchers in the zones that have a daemon.
func (r *Run) hollowInDaemonZones() group {
	zones := map[int]bool{}
	for i := range r.Scenario.Daemons {
		zones[daemonZone(i, r.Scenario.Zones)] = true
	}
	hollow := group{name: "beside", dispatchersByProcess: map[string]int{}}
	for i := range r.Scenario.Dispatchers {
		if zone := hollowZone(i, r.Scenario.Zones); zones[zone] {
			hollow.members = append(hollow.members, hollowName(i))
			hollow.dispatchersByProcess[hollowProcessName(zone)]++
		}
	}
	return hollow
}

// dispatcherMeans are means over the dispatchers of a group.
type dispatcherMeans struct {
	coreShare  float64
	residentMB float64 // at the end of the run
	bytesPerS  float64
}

// means returns the means of a group over the run.
func (r *Run) means(dispatchers group) dispatcherMeans {
	var means dispatcherMeans
	first := r.samples[0]
	last := r.samples[len(r.samples)-1]
	span := last.takenAt.Sub(first.takenAt).Seconds()
	count := float64(len(dispatchers.members))
	for process := range dispatchers.dispatchersByProcess {
		means.coreShare += (last.cpu[process] - first.cpu[process]).Seconds() / span / count
		means.residentMB += float64(last.residentBytes[process]) / megabyte / count
	}
	for _, name := range dispatchers.members {
		means.bytesPerS += float64(last.clientBytes[name]-first.clientBytes[name]) / span / count
	}
	return means
}

// Violations describes the invariants that the run violated. They hold in every run, whatever bounds its scenario has.
func (r *Run) Violations() (violations []string) {
	if r.tracker.regressions > 0 {
		violations = append(violations, fmt.Sprintf("%s: %d times a dispatcher went back to an older version", r.Mechanism, r.tracker.regressions))
	}
	if r.behindAtEnd > 0 {
		violations = append(violations, fmt.Sprintf("%s: %d reachable dispatchers lack the last version at the end", r.Mechanism, r.behindAtEnd))
	}
	return violations
}
