package processusage

import (
	"os"
	"testing"
)

// noProcess is larger than the largest process ID of the kernel.
const noProcess = 1 << 23

// The processor time and the memory of a running process are more than 0.
func TestUsageOfThisProcess(t *testing.T) {
	cpu, err := CPU(os.Getpid())
	if err != nil || cpu <= 0 {
		t.Errorf("processor time %v, %v, want more than 0", cpu, err)
	}
	memory, err := ReadMemory(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if memory.Resident <= 0 || memory.PeakResident < memory.Resident {
		t.Errorf("%+v, want resident memory above 0 and a peak of at least as much", memory)
	}
}

// CPU and ReadMemory fail if the process does not exist.
func TestUsageOfMissingProcess(t *testing.T) {
	if cpu, err := CPU(noProcess); err == nil {
		t.Errorf("processor time %v of a missing process, want an error", cpu)
	}
	if memory, err := ReadMemory(noProcess); err == nil {
		t.Errorf("memory %+v of a missing process, want an error", memory)
	}
}
