package soak

import (
	"strings"
	"testing"
)

// Guards against a reported duplicate that no dispatcher caused: a request of another run with the same ID was counted as a
// second attempt of this run's request.
func TestRequestOfAnotherRunIsNoDuplicate(t *testing.T) {
	service, err := startDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	defer service.close()
	r := violatingRun(service)
	r.idPrefix = newIDPrefix(50)
	m := recordMaker{start: r.start, dispatcher: r.records.requests[0].daemon}
	own, other := r.idPrefix+"n20-000100", newIDPrefix(50)+"n20-000100"
	r.records.requests = []request{m.answered(own, 11)}
	r.records.attempts = []attempt{m.arrived(other, "s-here", 10, 3), m.arrived(own, "s-here", 10.1, 3.9)}
	report := r.checkRules()
	if len(report.Violations) != 1 || !strings.Contains(report.Violations[0], "foreign: "+other) {
		t.Errorf("%v; want one violation, for the request of the other run", report)
	}
}
