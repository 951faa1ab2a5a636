package soak

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// recordMaker creates records of renewals. All are sent to one dispatcher 10 s after the start of a run and have a timeout
// of 4 s.
type recordMaker struct {
	start      time.Time
	dispatcher *daemon
}

// second returns the time that is the given number of seconds after the start of the run.
func (m recordMaker) second(number float64) time.Time {
	return m.start.Add(time.Duration(number * float64(time.Second)))
}

func (m recordMaker) unanswered(id string) request {
	return request{id: id, class: classRenewal, daemon: m.dispatcher, timeout: 4 * time.Second, sentAt: m.second(10)}
}

func (m recordMaker) answered(id string, answeredAt float64) request {
	sent := m.unanswered(id)
	sent.status = http.StatusOK
	sent.answeredAt = m.second(answeredAt)
	return sent
}

// abandoned returns a request whose client closes the connection without an answer.
func (m recordMaker) abandoned(id string, clientLeftAt float64) request {
	sent := m.unanswered(id)
	sent.clientLeftAt = m.second(clientLeftAt)
	return sent
}

// arrived returns an attempt. timeLeft is the time in seconds that its client had left according to the dispatcher.
func (m recordMaker) arrived(id, worker string, arrivedAt, timeLeft float64) attempt {
	return attempt{
		id:        id,
		class:     classRenewal,
		worker:    worker,
		arrivedAt: m.second(arrivedAt),
		timeLeft:  time.Duration(timeLeft * float64(time.Second)),
	}
}

// violatingRun returns a run whose records contain several kinds of violations, one of each. The worker s-gone was removed
// at the start of the run.
func violatingRun(service *discovery) *run {
	m := recordMaker{
		start:      time.Now(),
		dispatcher: &daemon{name: "n", config: daemonConfig{AdminAddress: "127.0.0.1:1"}},
	}
	service.history["s-gone"] = []healthChange{
		{changedAt: m.second(-20), health: healthReady},
		{changedAt: m.second(0), health: healthGone},
	}
	service.history["s-here"] = []healthChange{
		{changedAt: m.second(-20), health: healthReady},
	}
	r := &run{start: m.start, discovery: service}
	r.records.requests = []request{
		m.answered("good", 11),
		m.answered("late", 15),
		m.unanswered("none"),
		m.abandoned("left", 10.1),
		m.answered("twice", 11),
		m.answered("drained", 11),
		m.answered("long", 11),
	}
	r.records.attempts = []attempt{
		m.arrived("good", "s-here", 10.1, 3.9),
		m.arrived("left", "s-here", 11, 3),
		m.arrived("twice", "s-here", 10.1, 3.9),
		m.arrived("twice", "s-here", 10.5, 3.5),
		m.arrived("drained", "s-gone", 10.1, 3.9),
		m.arrived("long", "s-here", 12, 3.9),
	}
	return r
}

// Each violation in the records of violatingRun is reported, and no other.
func TestCheckRulesFindsEachViolation(t *testing.T) {
	service, err := startDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	defer service.close()
	report := violatingRun(service).checkRules()
	wantViolations := []string{"lost: late", "lost: none", "lost: left", "duplicate: twice", "drain: drained", "time left: long"}
	for _, want := range wantViolations {
		isWanted := func(violation string) bool { return strings.Contains(violation, want) }
		if !slices.ContainsFunc(report.Violations, isWanted) {
			t.Errorf("no violation contains %q", want)
		}
	}
	if len(report.Violations) != len(wantViolations) || report.Answered != 4 {
		t.Errorf("%d violations and %d answered, want %d and 4: %v", len(report.Violations), report.Answered, len(wantViolations), report)
	}
}
