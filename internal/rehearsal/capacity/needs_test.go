package capacity

import (
	"strings"
	"testing"
)

// Figures that follow from testBasis, computed by hand.
const (
	zoneWorkers = 21000.0 / 17

	// membershipRate is the number of changes of the endpoint list per second, by failures, restarts, and lost racks and
	// zones.
	membershipRate = (86400*2 + 43200*4 + 40*2/7.0 + zoneWorkers*2/60) / 86400

	// Bytes per second of one dispatcher: those while idle, for membership and for configuration.
	meanBytes      = 3 + membershipRate*200 + 100
	peakBytes      = 3 + zoneWorkers*200/60 + 20*100
	worstHourBytes = 3 + membershipRate*200 + 400 + (zoneWorkers*200*2+3e6)/3600
	snapshotBytes  = 3e6 / 60
)

// needsOf computes the needs of testBasis.
func needsOf(t *testing.T) []Row {
	t.Helper()
	basis := testBasis()
	rows, err := basis.Needs()
	if err != nil {
		t.Fatal(err)
	}
	return rows
}

// findNeed returns the first need of a role whose description begins with what.
func findNeed(t *testing.T, rows []Row, role Role, what string) Row {
	t.Helper()
	for _, row := range rows {
		if row.Role == role && strings.HasPrefix(row.What, what) {
			return row
		}
	}
	t.Fatalf("no need of the %s begins with %q", role, what)
	return Row{}
}

// expectedNeed is a need computed by hand.
type expectedNeed struct {
	role    Role
	what    string
	need    float64
	allowed float64
}

// checkNeeds compares the needs, limits and headrooms of testBasis with those computed by hand.
func checkNeeds(t *testing.T, expected []expectedNeed) {
	t.Helper()
	rows := needsOf(t)
	for _, want := range expected {
		row := findNeed(t, rows, want.role, want.what)
		if !near(row.Need.Value, want.need) || !near(row.Allowed.Value, want.allowed) {
			t.Errorf("%s, %s: need %v of %v, want %v of %v",
				want.role, want.what, row.Need.Value, row.Allowed.Value, want.need, want.allowed)
		}
		if row.Mechanism != mechanismMissing && !near(row.Headroom(), want.allowed/want.need) {
			t.Errorf("%s, %s: headroom %v, want %v", want.role, want.what, row.Headroom(), want.allowed/want.need)
		}
	}
}

// The rates of change equal those computed by hand.
func TestRates(t *testing.T) {
	basis := testBasis()
	rates := basis.rates()
	if !near(rates.Membership.Value, membershipRate) || !near(rates.Configuration.Value, 1) || !near(rates.MissedAnHour.Value, 3600) {
		t.Errorf("%+v, want membership %v, configuration 1 and 3600 missed in an hour", rates, membershipRate)
	}
}

// The needs of one dispatcher, one worker and the writer equal those computed by hand.
func TestNeedsOfOneProcess(t *testing.T) {
	checkNeeds(t, []expectedNeed{
		{Dispatcher, "bytes a second, mean of a day", meanBytes, 6000},
		{Dispatcher, "bytes a second, worst hour", worstHourBytes, 6000},
		{Dispatcher, "bytes a second, peak minute", peakBytes, 6000},
		{Dispatcher, "bytes a second, the whole list within", snapshotBytes, 6000},
		{Dispatcher, "bytes a second, the whole list compressed", 5000, 6000},
		{Dispatcher, "bytes a second, the changes missed", (3600*100 + membershipRate*3600*200) / 60, 6000},
		{Dispatcher, "length of the list", 3e6, 4 << 20},
		{Dispatcher, "processor time, mean", 0.0001 + membershipRate*0.002, 0.014},
		{Dispatcher, "processor time, a lost zone", 0.28, 0.014},
		{Dispatcher, "processor time, its start", 0.03, 0.014},
		{Dispatcher, "memory", 42e6 + 1000*240, 128e6},
		{Dispatcher, "processor time of decisions at the peak with 300 dispatchers, all", 8000 / 300.0 * 5e-6, 1},
		{Dispatcher, "processor time of decisions at the peak with 300 dispatchers, a tenth", 8000 / 300.0 * 500e-6, 1},
		{ListedWorker, "state", 2000, 128e6 / 21000},
		{Writer, "writes a second, worst hour", 4, 500},
	})
}

// The needs of discovery and of a control machine equal those computed by hand, for each number of dispatchers.
func TestNeedsByNumberOfDispatchers(t *testing.T) {
	const (
		remainingMachines = 16 // one is down
		startWindow       = 10 // seconds
	)
	for _, dispatchers := range []float64{300, 3000, 21000} {
		watching := ", " + formatCount(int(dispatchers)) + " dispatchers"
		part := ", its part of " + formatCount(int(dispatchers)) + " dispatchers"
		onOneMachine := dispatchers / remainingMachines
		checkNeeds(t, []expectedNeed{
			{Origin, "bytes a second, mean" + watching, dispatchers * meanBytes, 125e6},
			{Origin, "bytes a second, peak minute" + watching, dispatchers * peakBytes, 125e6},
			{Origin, "bytes a second, worst hour" + watching, dispatchers * worstHourBytes, 125e6},
			{Origin, "bytes a second, all start within a minute" + watching, dispatchers * snapshotBytes, 125e6},
			{Origin, "calls a second, a zone's dispatchers start within 10 s" + watching, dispatchers / 17 / startWindow, 500},
			{Origin, "calls a second, all start within 10 s" + watching, dispatchers / startWindow, 500},
			{ControlMachine, "bytes a second, mean" + part, onOneMachine * meanBytes, 125e6},
			{ControlMachine, "bytes a second, peak minute" + part, onOneMachine * peakBytes, 125e6},
			{ControlMachine, "bytes a second, worst hour" + part, onOneMachine * worstHourBytes, 125e6},
			{ControlMachine, "bytes a second, snapshots, compressed, to all of them within a minute" + part, onOneMachine * 5000, 125e6},
		})
	}
}

// Needs are sorted by headroom in ascending order, and those that were not measured come last.
func TestNeedsAreSortedByHeadroom(t *testing.T) {
	const notMeasured = "not measured"
	rows := needsOf(t)
	for i := 1; i < len(rows); i++ {
		previous := rows[i-1]
		current := rows[i]
		if current.HeadroomText() == notMeasured {
			continue
		}
		if previous.HeadroomText() == notMeasured || previous.Headroom() > current.Headroom() {
			t.Errorf("%q, headroom %s, comes before %q, headroom %s",
				previous.What, previous.HeadroomText(), current.What, current.HeadroomText())
		}
	}
}

// A need whose mechanism is missing has no headroom.
func TestMissingMechanismHasNoHeadroom(t *testing.T) {
	row := findNeed(t, needsOf(t), Dispatcher, "a change of configuration")
	if row.HeadroomText() != mechanismMissing || row.Headroom() != 0 {
		t.Errorf("a missing mechanism has headroom: %+v", row)
	}
}

// A need that a run measured at the target's size is marked as measured.
func TestNeedAtMeasuredSizeIsMeasured(t *testing.T) {
	row := findNeed(t, needsOf(t), Dispatcher, "length of the list")
	if row.Need.Mark != Measured {
		t.Errorf("the length of the list at the target's size is not marked as measured: %+v", row.Need)
	}
}
