package scale

import (
	"os"
	"testing"
)

// The meter reads the processor time and memory of a process, here of the test's own process. When a process is added
// again under the same name, as after a restart, its processor time is added to that of the earlier process.
func TestMeterReadsThisProcess(t *testing.T) {
	const name = "self"
	meter := newMeter()
	meter.addProcess(name, os.Getpid())
	first := meter.read()
	if first.cpu[name] <= 0 || first.residentBytes[name] <= 0 || first.peakResident[name] < first.residentBytes[name] {
		t.Errorf("%+v, want processor time and resident memory above 0, and a peak not below the resident memory", first)
	}
	meter.addProcess(name, os.Getpid()) // as after a restart
	second := meter.read()
	if second.cpu[name] < 2*first.cpu[name] {
		t.Errorf("processor time %v, then %v for two processes, want at least twice as much", first.cpu[name], second.cpu[name])
	}
}
