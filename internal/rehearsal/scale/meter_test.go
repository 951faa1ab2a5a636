package scale

import (
	"os"
	"testing"
)

// The meter reads the usage of a process, here of the test itself. The processor time of a restarted process is added to
// that of the earlier one.
func TestMeterReadsThisProcess(t *testing.T) {
	const name = "self"
	meter := newMeter()
	meter.addProcess(name, os.Getpid())
	first := meter.read()
	if first.cpu[name] <= 0 || first.residentBytes[name] <= 0 || first.peakResident[name] < first.residentBytes[name] {
		t.Errorf("%+v, want some processor time, some memory and a peak of at least as much", first)
	}
	meter.addProcess(name, os.Getpid()) // as if it had been restarted
	second := meter.read()
	if second.cpu[name] < 2*first.cpu[name] {
		t.Errorf("%v, then %v for two processes, want twice as much", first.cpu[name], second.cpu[name])
	}
}
