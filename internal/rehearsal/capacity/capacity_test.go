package capacity

import (
	"bytes"
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const dataDir = "../../../docs/capacity"

// The committed page is what the committed runs and assumptions give.
func TestPageFollowsRuns(t *testing.T) {
	want, err := Write(dataDir)
	if err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile("../../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Error("docs/CAPACITY.md is not what docs/capacity gives: run make capacity")
	}
}

// Each named mechanism exists, and each one that is called missing does not.
func TestMechanismsExist(t *testing.T) {
	a, err := ReadAssumptions(filepath.Join(dataDir, assumptionsFile))
	if err != nil {
		t.Fatal(err)
	}
	m := a.Mechanisms
	for _, name := range []string{m.Membership, m.Decisions, m.Resume, m.Configuration, m.Relays, m.Acknowledgement} {
		if name == mechanismMissing {
			continue
		}
		if info, err := os.Stat(filepath.Join("../../..", name)); err != nil || !info.IsDir() {
			t.Errorf("mechanism %q is no package", name)
		}
	}
	if _, err := os.Stat("../../relay"); err == nil && m.Relays == mechanismMissing {
		t.Error("internal/relay exists and the page calls relays missing")
	}
}

func TestMedianAndSpread(t *testing.T) {
	for _, c := range []struct {
		values         []float64
		median, spread float64
	}{
		{[]float64{3}, 3, 0},
		{[]float64{5, 1, 4}, 4, 1},
		{[]float64{1, 2, 3, 4}, 2.5, 1.2},
		{nil, 0, 0},
	} {
		if got := Median(c.values); got != c.median {
			t.Errorf("median of %v: %v, want %v", c.values, got, c.median)
		}
		if got := Spread(c.values); math.Abs(got-c.spread) > 1e-12 {
			t.Errorf("spread of %v: %v, want %v", c.values, got, c.spread)
		}
	}
}

func points(of func(x float64) float64, sizes ...int) (list []Point) {
	for _, size := range sizes {
		y := of(float64(size))
		list = append(list, Point{Size: size, Values: []float64{y * 0.99, y, y * 1.02}})
	}
	return list
}

func TestFit(t *testing.T) {
	fit, err := FitSeries(points(func(x float64) float64 { return 7 + 0.5*x }, 200, 2100, 21000))
	if err != nil {
		t.Fatal(err)
	}
	if math.Abs(fit.Fixed-7) > 1e-6 || math.Abs(fit.Slope-0.5) > 1e-9 || fit.Residual > 1e-9 || !fit.Linear() {
		t.Errorf("a line: %+v", fit)
	}
	if fit.MinSize != 200 || fit.MaxSize != 21000 || math.Abs(fit.Spread-0.03) > 1e-9 {
		t.Errorf("range and spread: %+v", fit)
	}
	fit, err = FitSeries(points(func(x float64) float64 { return x * x }, 200, 2100, 21000))
	if err != nil {
		t.Fatal(err)
	}
	if fit.Linear() {
		t.Errorf("a square counts as linear: %+v", fit)
	}
	if _, err := FitSeries(points(math.Sqrt, 200, 2100)); err == nil {
		t.Error("a line through two sizes has no residual and is fitted")
	}
	fit, err = FitSeries(points(func(float64) float64 { return 0 }, 200, 2100, 21000))
	if err != nil || fit.Fixed != 0 || fit.Slope != 0 || fit.Residual != 0 {
		t.Errorf("nothing at all: %+v, %v", fit, err)
	}
}

func TestQuantities(t *testing.T) {
	runs := Quantity{Value: 200, Unit: UnitBytes, Mark: Measured, Sources: []string{"run"}}
	assumption := Quantity{Value: 3, Unit: UnitPerSecond, Mark: ByAssumption, Sources: []string{"guess"}}
	product := runs.Times(assumption, UnitBytesPerSecond)
	if product.Value != 600 || product.Mark != ByAssumption || product.From() != "run, guess" {
		t.Errorf("product: %+v", product)
	}
	if sum := product.Plus(product); sum.Value != 1200 || sum.From() != "run, guess" {
		t.Errorf("sum: %+v", sum)
	}
	if part := runs.Over(count(2), UnitBytes); part.Value != 100 || part.Mark != Extrapolated {
		t.Errorf("what is computed from a run is not measured: %+v", part)
	}
	defer func() {
		if recover() == nil {
			t.Error("bytes were added to bytes a second")
		}
	}()
	runs.Plus(product)
}

func TestQuantityText(t *testing.T) {
	for _, c := range []struct {
		value float64
		unit  Unit
		want  string
	}{
		{2_970_000, UnitBytes, "2.97 MB"}, {6000, UnitBytesPerSecond, "6 KB/s"}, {51.234, UnitBytesPerSecond, "51.2 B/s"},
		{0.0001634, UnitSeconds, "163 µs"}, {495.4, UnitSeconds, "495 s"}, {0.014, UnitCores, "1.4% of a core"},
		{1235.3, UnitCount, "1,235"}, {2e-6, UnitPerSecond, "0.173 a day"}, {0.37037, UnitPerSecond, "0.37/s"}, {32000, UnitPerDay, "32,000 a day"},
		{0, UnitBytes, "0 B"}, {-0.002, UnitSeconds, "-2 ms"},
	} {
		if got := (Quantity{Value: c.value, Unit: c.unit}).String(); got != c.want {
			t.Errorf("%v %s: %q, want %q", c.value, c.unit, got, c.want)
		}
	}
}

// testBasis returns a target with round figures.
func testBasis() Basis {
	b := Basis{File: "test.json"}
	b.Target = Target{Workers: 21000, PeakStarts: 8000, RunningTasks: 300000, Zones: 17, ConfigChangesPerDay: 86400, InForceWithin: 10,
		DispatcherCores: 0.014, DispatcherMemory: 128e6, DispatcherBytes: 6000, ControlMachines: 17, FailuresPerDay: 86400,
		RestartsPerDay: 43200, DaysBetweenRacks: 7, DaysBetweenZones: 60, RegionCut: 3600, MeanOver: 60, ZoneLossWindow: 10}
	a := func(value float64, unit Unit) Assumption {
		return Assumption{Value: value, Unit: unit, Mark: "assumed", Origin: "test"}
	}
	b.Assumed = Assumed{Dispatchers: []int{300, 3000, 21000}, FailureChanges: a(2, UnitCount), RestartChanges: a(4, UnitCount),
		RackWorkers: a(40, UnitCount), ZoneLossAnnounced: a(10, UnitSeconds), ConfigChangeBytes: a(100, UnitBytes), ConfigPeakFactor: a(4, UnitCount), ConfigPeakRate: a(20, UnitPerSecond),
		StartPeakFactor: a(3, UnitCount), MachineBytes: a(125e6, UnitBytesPerSecond), MachineCores: a(8, UnitCores), MachineMemory: a(16e9, UnitBytes), CallsPerSecond: a(500, UnitPerSecond),
		LongestObject: a(4<<20, UnitBytes)}
	b.Assumed.assumptions()
	b.Mechanisms = Mechanisms{Membership: "m", Decisions: "d", Resume: "r", Configuration: mechanismMissing, Relays: "relay", Acknowledgement: mechanismMissing}
	b.Slopes = Slopes{Command: "test", Date: "2026-12-02", Repetitions: 3, Sizes: []int{200, 2100, 21000}}
	add := func(name SeriesName, unit Unit, at21000 float64) {
		s := Series{Name: name, Unit: unit, Axis: AxisWorkers, Points: points(func(x float64) float64 { return at21000 * x / 21000 }, 200, 2100, 21000)}
		b.Slopes.Series = append(b.Slopes.Series, s)
	}
	add(SnapshotBytes, UnitBytes, 3e6)
	add(SnapshotGzip, UnitBytes, 3e5)
	add(DeltaBytes, UnitBytes, 200)
	add(IdleBytes, UnitBytesPerSecond, 3)
	add(DeltaCPU, UnitSeconds, 0.002)
	add(IdleCPU, UnitCores, 0.0001)
	add(StartCPU, UnitSeconds, 0.3)
	add(ZoneLossCPU, UnitSeconds, 2.8)
	add(PeakResident, UnitBytes, 42e6)
	add(ModuleWarm, UnitSeconds, 5e-6)
	add(ModuleCold, UnitSeconds, 500e-6)
	add(ModuleHeld, UnitBytes, 21000*240)
	return b
}

func near(got, want float64) bool { return math.Abs(got-want) <= 1e-9*math.Abs(want) }

// Needs agree with arithmetic by hand, at 300, 3,000 and 21,000 dispatchers.
func TestNeeds(t *testing.T) {
	b := testBasis()
	r := b.rates()
	zone := 21000.0 / 17
	membership := (86400*2 + 43200*4 + 40*2/7.0 + zone*2/60) / 86400
	if !near(r.Membership.Value, membership) || !near(r.Configuration.Value, 1) || !near(r.MissedAnHour.Value, 3600) {
		t.Errorf("rates: %+v", r)
	}
	mean := 3 + membership*200 + 100
	peak := 3 + zone*200/60 + 20*100
	worst := 3 + membership*200 + 400 + (zone*200*2+3e6)/3600
	rows, err := b.Needs()
	if err != nil {
		t.Fatal(err)
	}
	find := func(role Role, what string) Row {
		t.Helper()
		for _, row := range rows {
			if row.Role == role && strings.HasPrefix(row.What, what) {
				return row
			}
		}
		t.Fatalf("no need of the %s begins with %q", role, what)
		return Row{}
	}
	type want struct {
		role    Role
		what    string
		need    float64
		allowed float64
	}
	wants := []want{
		{Dispatcher, "bytes a second, mean of a day", mean, 6000},
		{Dispatcher, "bytes a second, worst hour", worst, 6000},
		{Dispatcher, "bytes a second, peak minute", peak, 6000},
		{Dispatcher, "bytes a second, the whole list within", 50000, 6000},
		{Dispatcher, "bytes a second, the whole list compressed", 5000, 6000},
		{Dispatcher, "bytes a second, the changes missed", (3600*100 + membership*3600*200) / 60, 6000},
		{Dispatcher, "length of the list", 3e6, 4 << 20},
		{Dispatcher, "processor time, mean", 0.0001 + membership*0.002, 0.014},
		{Dispatcher, "processor time, a lost zone", 0.28, 0.014},
		{Dispatcher, "processor time, its start", 0.03, 0.014},
		{Dispatcher, "memory", 42e6 + 1000*240, 128e6},
		{Dispatcher, "processor time of decisions at the peak with 300 dispatchers, all", 8000 / 300.0 * 5e-6, 1},
		{Dispatcher, "processor time of decisions at the peak with 300 dispatchers, a tenth", 8000 / 300.0 * 500e-6, 1},
		{WorkerSeen, "state", 2000, 128e6 / 21000},
		{Writer, "writes a second, worst hour", 4, 500},
	}
	for _, n := range []float64{300, 3000, 21000} {
		with := ", " + counted(int(n)) + " dispatchers"
		part := ", its part of " + counted(int(n)) + " dispatchers"
		wants = append(wants,
			want{Origin, "bytes a second, mean" + with, n * mean, 125e6},
			want{Origin, "bytes a second, peak minute" + with, n * peak, 125e6},
			want{Origin, "bytes a second, worst hour" + with, n * worst, 125e6},
			want{Origin, "bytes a second, all start within a minute" + with, n * 50000, 125e6},
			want{Origin, "calls a second, a zone's dispatchers start within 10 s" + with, n / 170, 500},
			want{Origin, "calls a second, all start within 10 s" + with, n / 10, 500},
			want{ControlMachine, "bytes a second, mean" + part, n / 16 * mean, 125e6},
			want{ControlMachine, "bytes a second, peak minute" + part, n / 16 * peak, 125e6},
			want{ControlMachine, "bytes a second, worst hour" + part, n / 16 * worst, 125e6},
			want{ControlMachine, "bytes a second, snapshots, compressed, to all of them within a minute" + part, n / 16 * 5000, 125e6},
		)
	}
	for _, w := range wants {
		row := find(w.role, w.what)
		if !near(row.Need.Value, w.need) || !near(row.Allowed.Value, w.allowed) {
			t.Errorf("%s, %s: need %v of %v, want %v of %v", w.role, w.what, row.Need.Value, row.Allowed.Value, w.need, w.allowed)
		}
		if row.Mechanism != mechanismMissing && !near(row.Headroom(), w.allowed/w.need) {
			t.Errorf("%s, %s: headroom %v", w.role, w.what, row.Headroom())
		}
	}
	for i := 1; i < len(rows); i++ {
		last := rows[i].HeadroomText() == "not measured" // these are at the end
		if rows[i-1].HeadroomText() == "not measured" && !last || !last && rows[i-1].Headroom() > rows[i].Headroom() {
			t.Errorf("row %d does not belong before the next", i)
		}
	}
	if row := find(Dispatcher, "a change of configuration"); row.HeadroomText() != mechanismMissing || row.Headroom() != 0 {
		t.Errorf("a missing mechanism has headroom: %+v", row)
	}
	if row := find(Dispatcher, "length of the list"); row.Need.Mark != Measured {
		t.Errorf("the list's length was measured at this size: %+v", row.Need)
	}
}

func TestLoads(t *testing.T) {
	b := testBasis()
	loads, err := b.Loads()
	if err != nil {
		t.Fatal(err)
	}
	r := b.rates()
	mean := r.Membership.Value + 1
	want := map[string]float64{
		"each; it watches list and configuration":                mean,
		"300 dispatchers watch it":                               300 * mean,
		"3,000 dispatchers watch it":                             3000 * mean,
		"21,000 dispatchers watch it":                            21000 * mean,
		"the control machines watch it, as relays":               17 * mean,
		"each; its part of 21,000 dispatchers, one machine down": 21000 / 16.0 * mean,
		"each; its changes of state":                             r.Membership.Value / 21000,
		"all together":                                           1,
	}
	for _, l := range loads {
		if w, ok := want[l.With]; ok && !near(l.Messages.Mean.Value, w) {
			t.Errorf("%s, %s: %v messages a second, want %v", l.Role, l.With, l.Messages.Mean.Value, w)
		} else if ok {
			delete(want, l.With)
		}
	}
	if len(want) > 0 {
		t.Errorf("not computed: %v", want)
	}
}

// A size that was not measured is taken from the line and marked as extrapolated.
func TestExtrapolated(t *testing.T) {
	b := testBasis()
	q, err := b.valueAt(SnapshotBytes, 42000)
	if err != nil || !near(q.Value, 6e6) || q.Mark != Extrapolated {
		t.Errorf("%+v, %v", q, err)
	}
	if _, err := b.valueAt(ReadyTime, 21000); err == nil {
		t.Error("a series that no run has got a value")
	}
}

func TestMerge(t *testing.T) {
	of := func(version string) Slopes {
		s := Slopes{Command: "c", Date: "2026-12-02", Version: version, Cores: 8, Repetitions: 1, Sizes: []int{200}}
		s.record(ReadyTime, UnitSeconds, AxisWorkers, 200, 0.02)
		return s
	}
	s := of("a")
	if err := s.Merge(of("a")); err != nil || s.Repetitions != 2 || len(s.Series[0].Points[0].Values) != 2 {
		t.Errorf("%+v, %v", s, err)
	}
	if err := s.Merge(of("b")); err == nil {
		t.Error("repetitions of two programs were merged")
	}
	once, other := of("a"), of("a")
	other.Series[0].Points[0].Values[0] = 0.5
	other.record(StartCPU, UnitSeconds, AxisWorkers, 200, 1)
	if err := once.Replace(other); err != nil || len(once.Series) != 2 || once.Series[0].Points[0].Values[0] != 0.5 {
		t.Errorf("%+v, %v", once, err)
	}
	if err := once.Replace(s); err == nil {
		t.Error("a series of two repetitions replaced one of one")
	}
}

func TestBadFiles(t *testing.T) {
	good, err := os.ReadFile(filepath.Join(dataDir, assumptionsFile))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{"workers = 21000", "wrokers = 21000", "target.wrokers: unknown key"},
		{"dispatchers = [300, 3000, 21000]", "dispatchers = []", "assumed.dispatchers is empty"},
		{"value = 40", "value = 0", "assumed.rack_workers: value must be positive"},
		{`mark = "given"`, `mark = "guessed"`, `assumed.longest_object_bytes: mark: unknown value "guessed"`},
	} {
		path := filepath.Join(t.TempDir(), assumptionsFile)
		text := strings.Replace(string(good), c.old, c.new, 1)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadAssumptions(path); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", c.new, err, c.want)
		}
	}
	path := filepath.Join(t.TempDir(), "slopes.json")
	s := testBasis().Slopes
	s.Repetitions = 2
	text, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadSlopes(path); err == nil || !strings.Contains(err.Error(), "3 values for 2 plays") {
		t.Errorf("a repetition is missing: %v", err)
	}
}

func TestScaleTables(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	run := func(mechanism, figures string) string {
		return `[{"command":"scale day","seed":1,"workers":200,"dispatchers":3,"mechanism":"` + mechanism + `","scenario":"day","figures":[` + figures + `]}]`
	}
	write("day-discovery.json", run("discovery", `{"name":"bytes","unit":"B/s","value":12345.6,"kind":"real"}`))
	write("day-relays.json", run("relays", `{"name":"bytes","unit":"B/s","value":2,"kind":"real"},{"name":"p99","unit":"s","value":0.25,"kind":"hollow"}`))
	write(slopesFile, `{}`)
	runs, err := readScale(dir)
	if err != nil {
		t.Fatal(err)
	}
	tables := scaleTables(runs)
	if len(tables) != 1 || len(tables[0].Runs) != 2 || len(tables[0].Lines) != 2 {
		t.Fatalf("%+v", tables)
	}
	first, second := tables[0].Lines[0], tables[0].Lines[1]
	if first.Values[0] != "12,300" || first.Values[1] != "2" || second.Values[0] != "" || second.Values[1] != "0.25" {
		t.Errorf("%+v", tables[0].Lines)
	}
	write("broken.json", `[{"scenario":"x"}]`)
	if _, err := readScale(dir); err == nil {
		t.Error("a run without its command was read")
	}
}

// Of each limited figure the worst run counts, only at the target's number of workers and by mechanism.
func TestScaleNeeds(t *testing.T) {
	run := func(mechanism string, workers int, scenario string, figures ...ScaleFigure) ScaleRun {
		return ScaleRun{Command: "c", File: scenario + ".json", Mechanism: mechanism, Scenario: scenario, Workers: workers, Dispatchers: 66, Real: 2, Figures: figures}
	}
	b := testBasis()
	b.Scale = []ScaleRun{
		run("relays", 21000, "zone", ScaleFigure{Name: "in_force.calm.max", Value: 0.5}, ScaleFigure{Name: "in_force.zone_loss.max", Value: 2},
			ScaleFigure{Name: "dispatcher.real.memory_peak", Value: 40}),
		run("relays", 21000, "rack", ScaleFigure{Name: "in_force.calm.max", Value: 1}),
		run("relays", 2100, "zone", ScaleFigure{Name: "in_force.calm.max", Value: 9}),
		run("discovery", 21000, "zone", ScaleFigure{Name: "in_force.calm.p99", Value: 8}, ScaleFigure{Name: "origin.bytes_out_worst_10s", Value: 1e6}),
	}
	rows := b.scaleRows(b.Scale)
	want := map[string]float64{
		"scale run by relays: memory at its peak, a real daemon (scenario zone, 68 dispatchers)":                     128e6 / (40 << 20),
		"scale run by relays: time until the last reachable dispatcher has a change (scenario zone, 68 dispatchers)": 5,
		"scale run by discovery: bytes a second in the worst ten seconds (scenario zone, 68 dispatchers)":            125,
	}
	if len(rows) != len(want) {
		t.Errorf("%d rows, want %d: %+v", len(rows), len(want), rows)
	}
	for _, row := range rows {
		if !near(row.Headroom(), want[row.What]) || row.Need.Mark != Measured {
			t.Errorf("%s: headroom %v, want %v; %+v", row.What, row.Headroom(), want[row.What], row.Need)
		}
	}
}
