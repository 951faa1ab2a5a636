package soak

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// Each kind of violation is found in records that contain one of each.
func TestCheckRulesFindsEachViolation(t *testing.T) {
	service, err := startDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	defer service.close()
	start := time.Now()
	second := func(number float64) time.Time { return start.Add(time.Duration(number * float64(time.Second))) }
	service.history["s-gone"] = []healthChange{
		{changedAt: second(-20), health: healthReady},
		{changedAt: second(0), health: healthGone},
	}
	service.history["s-here"] = []healthChange{
		{changedAt: second(-20), health: healthReady},
	}

	// All requests are sent at second 10 and may take 4 s.
	dispatcher := &daemon{name: "n", config: daemonConfig{AdminAddress: "127.0.0.1:1"}}
	sent := request{class: classRenewal, daemon: dispatcher, sentAt: second(10), timeout: 4 * time.Second}
	answered := func(id string, answeredAt float64) request {
		answered := sent
		answered.id = id
		answered.status = 200
		answered.answeredAt = second(answeredAt)
		return answered
	}
	unanswered := sent
	unanswered.id = "none"
	abandoned := sent
	abandoned.id = "left"
	abandoned.clientLeftAt = second(10.1)
	arrived := func(id, worker string, arrivedAt, timeLeft float64) attempt {
		return attempt{
			id:        id,
			class:     classRenewal,
			worker:    worker,
			arrivedAt: second(arrivedAt),
			timeLeft:  time.Duration(timeLeft * float64(time.Second)),
		}
	}

	checked := &run{start: start, discovery: service}
	checked.records.requests = []request{
		answered("good", 11),
		answered("late", 15),
		unanswered,
		abandoned,
		answered("twice", 11),
		answered("drained", 11),
		answered("long", 11),
	}
	checked.records.attempts = []attempt{
		arrived("good", "s-here", 10.1, 3.9),
		arrived("left", "s-here", 11, 3),
		arrived("twice", "s-here", 10.1, 3.9),
		arrived("twice", "s-here", 10.5, 3.5),
		arrived("drained", "s-gone", 10.1, 3.9),
		arrived("long", "s-here", 12, 3.9),
	}
	report := checked.checkRules()
	for _, want := range []string{"lost: late", "lost: none", "lost: left", "duplicate: twice", "drain: drained", "time left: long"} {
		isWanted := func(violation string) bool { return strings.Contains(violation, want) }
		if !slices.ContainsFunc(report.Violations, isWanted) {
			t.Errorf("%q was not found", want)
		}
	}
	if len(report.Violations) != 6 || report.Answered != 4 {
		t.Errorf("%d violations and %d answered, want 6 and 4: %v", len(report.Violations), report.Answered, report)
	}
}
