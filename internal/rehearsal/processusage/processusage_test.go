package processusage

import (
	"os"
	"testing"
)

// noProcess is beyond the kernel's largest process id.
const noProcess = 1 << 23

// The processor time and memory of this process are read.
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
		t.Errorf("%+v, want some memory and a peak of no less", memory)
	}
}

// A process that does not exist is an error.
func TestUsageOfNoProcess(t *testing.T) {
	if cpu, err := CPU(noProcess); err == nil {
		t.Errorf("processor time %v of no process", cpu)
	}
	if memory, err := ReadMemory(noProcess); err == nil {
		t.Errorf("memory %+v of no process", memory)
	}
}
