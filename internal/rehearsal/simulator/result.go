package simulator

import (
	"fmt"
	"math"
	"slices"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
)

// ClassResult sums up the requests of one class. The JSON keys are those of recorded results.
type ClassResult struct {
	Name            string  `json:"Name"`
	Requests        int     `json:"Asked"`
	WithinObjective int     `json:"InAim"` // served within the latency objective
	Late            int     `json:"Late"`  // served after it
	Rejected        int     `json:"Refused"`
	Failed          int     `json:"Failed"`
	Unanswered      int     `json:"Unanswered"`
	P50Ms           float64 `json:"P50Ms"` // latencies of served requests
	P90Ms           float64 `json:"P90Ms"`
	P99Ms           float64 `json:"P99Ms"`
	WeightShare     float64 `json:"WorthShare"` // priority weight earned, as a share of the weight requested
}

// Result sums up a run. The JSON keys are those of recorded results.
type Result struct {
	Scenario      string        `json:"Scenario"`
	Seed          uint64        `json:"Seed"`
	Classes       []ClassResult `json:"Classes"`
	Score         float64       `json:"Score"` // priority weight earned, as a share of the weight requested
	Events        uint64        `json:"Events"`
	Hash          string        `json:"Hash"`     // of the event log
	Violations    []string      `json:"Broken"`   // invariants that did not hold
	Executed      int           `json:"Executed"` // attempts that workers began to execute
	SlowStartPeak float64       `json:"ColdPeak"` // largest load of a warming worker, as a share of its budget; it crashes above 1
}

// result evaluates the run.
func (s *Simulation) result() Result {
	result := Result{
		Scenario:      s.scenario.Name,
		Seed:          s.seed,
		Events:        s.eventCount,
		Hash:          fmt.Sprintf("%016x", s.hash.Sum64()),
		SlowStartPeak: s.slowStartPeak,
	}
	totalEarned := 0.0
	totalRequested := 0.0
	for i := range s.settings.Classes {
		class := s.classScore(i)
		totalEarned += class.earned
		totalRequested += class.requested
		result.Classes = append(result.Classes, class.ClassResult)
	}
	if totalRequested > 0 {
		result.Score = totalEarned / totalRequested
	}
	s.checkInvariants()
	for _, w := range s.workers {
		result.Executed += len(w.executions)
	}
	result.Violations = s.violations
	return result
}

// classScore is the result of a class with the sums of priority weights from which its WeightShare is computed.
type classScore struct {
	ClassResult
	earned    float64
	requested float64
}

// classScore evaluates one class.
func (s *Simulation) classScore(number int) (result classScore) {
	class := &s.settings.Classes[number]
	result.Name = class.Name
	var latencies []time.Duration
	for _, request := range s.requests {
		if request.class != number {
			continue
		}
		result.Requests++
		result.requested += class.PriorityWeight
		latency := request.answeredAt - request.arrivedAt
		objective := class.LatencyObjective + time.Duration(class.ObjectiveStretch*float64(request.work))
		switch {
		case request.answeredAt == 0:
			result.Unanswered++
		case request.outcome == dispatch.Rejected:
			result.Rejected++
		case request.outcome == dispatch.Failed:
			result.Failed++
		case latency <= objective:
			result.WithinObjective++
			result.earned += class.PriorityWeight
		default:
			result.Late++
			result.earned += class.PriorityWeight * class.LateWeight
		}
		if request.answeredAt > 0 && request.outcome == dispatch.Served {
			latencies = append(latencies, latency)
		}
	}
	slices.Sort(latencies)
	result.P50Ms = quantileMs(latencies, 0.5)
	result.P90Ms = quantileMs(latencies, 0.9)
	result.P99Ms = quantileMs(latencies, 0.99)
	if result.requested > 0 {
		result.WeightShare = result.earned / result.requested
	}
	return result
}

// checkInvariants checks the invariants of a whole run: one final answer for each attempt of a client, and at most one
// execution of a request that is not idempotent. Drains are checked at each send (checkDrainGrace), slow starts at each
// arrival (overloadedBy).
func (s *Simulation) checkInvariants() {
	for _, d := range s.dispatchers {
		if unanswered := d.core.Unanswered(); unanswered > 0 {
			s.reportViolation("dispatcher %d has %d unanswered requests at the end of the run", d.number, unanswered)
		}
		counts := d.core.Counts()
		if counts.Accepted != counts.Served+counts.Rejected+counts.Failed+counts.Cancelled {
			s.reportViolation("dispatcher %d accepted %d requests and completed %+v", d.number, counts.Accepted, counts)
		}
	}
	executionsByID := map[string]int{}
	for _, w := range s.workers {
		for _, run := range w.executions {
			executionsByID[run.id]++
			idempotency := s.settings.Classes[run.class].Idempotency
			if executionsByID[run.id] == 2 && idempotency == decision.NonIdempotent {
				s.reportViolation("%s ran twice, the second time on %s at %.6f s", run.id, w.name, (run.startedAt - runStart).Seconds())
			}
		}
	}
}

// quantileMs returns a quantile of sorted latencies in milliseconds, by the nearest rank, or 0 if there are none.
func quantileMs(sorted []time.Duration, quantile float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(math.Ceil(quantile * float64(len(sorted))))
	return float64(sorted[min(rank-1, len(sorted)-1)]) / float64(time.Millisecond)
}
