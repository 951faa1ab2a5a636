package scale

import (
	"os"
	"testing"
)

func TestMeterReadsThisProcess(t *testing.T) {
	m := newMeter()
	m.follow("self", os.Getpid())
	s := m.read()
	if s.cpu["self"] <= 0 || s.residentBytes["self"] <= 0 || s.peakResident["self"] < s.residentBytes["self"] {
		t.Errorf("%+v", s)
	}
	m.follow("self", os.Getpid()) // as if it had been restarted
	if again := m.read(); again.cpu["self"] < 2*s.cpu["self"] {
		t.Errorf("%v, then %v for two processes", s.cpu["self"], again.cpu["self"])
	}
}
