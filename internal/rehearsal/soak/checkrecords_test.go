package soak

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// checkRecords applies the rules to records that prepare creates, without running a soak. The run has one worker, s-here,
// that is listed as ready.
func checkRecords(t *testing.T, prepare func(r *run, m recordMaker)) Report {
	t.Helper()
	service, err := startDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	defer service.close()
	r := violatingRun(service)
	m := recordMaker{start: r.start, dispatcher: r.records.requests[0].daemon}
	r.records = records{}
	prepare(r, m)
	return r.checkRules()
}

// checkViolations checks that a report has the given number of violations, all of the given rule.
func checkViolations(t *testing.T, report Report, violated rule, want int) {
	t.Helper()
	if len(report.Violations) != want {
		t.Errorf("%d violations, want %d: %v", len(report.Violations), want, report)
	}
	for _, violation := range report.Violations {
		if !strings.Contains(violation, " "+string(violated)+": ") {
			t.Errorf("%s; want only violations of %q", violation, violated)
		}
	}
}

// Guards against a check that reports a retry as a duplicate although the worker rejected the first attempt.
func TestRepeatOfRefusedAttemptIsNoDuplicate(t *testing.T) {
	report := checkRecords(t, func(r *run, m recordMaker) {
		refused := m.arrived("id", "s-here", 10.1, 3.9)
		refused.neverRan = true
		r.records.requests = []request{m.answered("id", 11)}
		r.records.attempts = []attempt{refused, m.arrived("id", "s-here", 10.2, 3.8)}
	})
	checkViolations(t, report, ruleDuplicate, 0)
}

// Guards against a check that does not report a repeat after the dedup window, when workers no longer recognize it as one.
func TestRepeatBeyondDedupWindowIsSeen(t *testing.T) {
	for since, want := range map[float64]int{1.9: 0, 2.1: 1} {
		report := checkRecords(t, func(r *run, m recordMaker) {
			first, second := m.arrived("id", "s-here", 10.1, 3.9), m.arrived("id", "s-here", 10.1+since, 1.8)
			first.class, second.class = classTransfer, classTransfer
			r.records.requests = []request{m.answered("id", 13)}
			r.records.attempts = []attempt{first, second}
		})
		checkViolations(t, report, ruleWindow, want)
	}
}

// Guards against a check that does not report a request with more attempts than the settings allow.
func TestTooManyAttemptsAreSeen(t *testing.T) {
	report := checkRecords(t, func(r *run, m recordMaker) {
		r.records.requests = []request{m.answered("id", 13)}
		for i := range maxAttempts + 1 {
			arrived := m.arrived("id", "s-here", 10.1+float64(i)/10, 3)
			arrived.class = classStatusCheck
			r.records.attempts = append(r.records.attempts, arrived)
		}
	})
	checkViolations(t, report, ruleAttempts, 1)
}

// Guards against a check that does not report a dispatcher with more repeats than its retry budget allows.
func TestRepeatsBeyondBudgetAreSeen(t *testing.T) {
	floor := retryBudgetOf(0).floor
	for repeats, want := range map[int]int{2 * floor: 0, 4 * floor: 1} {
		report := checkRecords(t, func(r *run, m recordMaker) {
			for i := range repeats {
				id := fmt.Sprint("id", i)
				r.records.requests = append(r.records.requests, m.answered(id, 11))
				for range 2 {
					arrived := m.arrived(id, "s-here", 10.1, 3)
					arrived.class = classStatusCheck
					r.records.attempts = append(r.records.attempts, arrived)
				}
			}
		})
		checkViolations(t, report, ruleBudget, want)
	}
}

// Guards against a check that counts the drain grace only from the latest time at which a notification is due, although
// the dispatcher was notified earlier.
func TestDrainGraceCountsFromNotification(t *testing.T) {
	for arrivedAt, want := range map[float64]int{10.4: 0, 10.6: 1} {
		report := checkRecords(t, func(r *run, m recordMaker) {
			r.discovery.endpoints["s-here"] = endpoint{Name: "s-here"}
			list := endpointList{Endpoints: []endpoint{{Name: "s-here", Health: healthDraining}}}
			r.discovery.recordNotification("n", list, interval{from: m.second(9.9), to: m.second(10)}, "")
			r.records.requests = []request{m.answered("id", 11)}
			r.records.attempts = []attempt{m.arrived("id", "s-here", arrivedAt, 3)}
		})
		checkViolations(t, report, ruleDrain, want)
	}
}

// Guards against limits that are extended by lateness at another time in the run. Only lateness during the request may
// extend its limit, and the report must count the limits that were kept only because of it.
func TestOnlyLatenessDuringRequestIsAllowed(t *testing.T) {
	for lateAt, want := range map[float64]int{5: 1, 14.4: 0} {
		report := checkRecords(t, func(r *run, m recordMaker) {
			r.timerLateness.add(m.second(lateAt), m.second(lateAt).Add(300*time.Millisecond))
			r.records.requests = []request{m.answered("id", 14.7)} // 0.2 s after the latest time that ruleLost allows
			r.records.attempts = []attempt{m.arrived("id", "s-here", 10.1, 3.9)}
		})
		checkViolations(t, report, ruleLost, want)
		if report.KeptByLateness != 1-want {
			t.Errorf("%d limits kept by lateness alone, want %d", report.KeptByLateness, 1-want)
		}
	}
}

// Guards against a data race: a worker may still record the fault of its last attempt while the rules are checked.
func TestRulesAreCheckedBesideLastFault(t *testing.T) {
	var lastFault sync.WaitGroup
	checkRecords(t, func(r *run, _ recordMaker) {
		lastFault.Go(r.records.recordFault)
	})
	lastFault.Wait()
}
