package admin

import "hollyyoke.example/hollyyoke/internal/invariant"

// countersView is the answer to /control/counters.
type countersView struct {
	Succeeded  map[string]uint64 `json:"succeeded"` // requests by class and final response, as the next two
	Rejected   map[string]uint64 `json:"declined"`
	Failed     map[string]uint64 `json:"aborted"`
	Attempts   uint64            `json:"forwards"` // attempts that were sent to a worker
	Unanswered int               `json:"outstanding"`
	Workers    int               `json:"discovered"`
	Ejected    int               `json:"ejected"`
}

// getCounters responds with the dispatcher's counters.
func (c *call) getCounters(string) {
	dispatcher := c.api.dispatcher
	view := countersView{
		Succeeded:  map[string]uint64{},
		Rejected:   map[string]uint64{},
		Failed:     map[string]uint64{},
		Attempts:   dispatcher.Counts().Sent,
		Unanswered: dispatcher.Unanswered(),
		Workers:    dispatcher.WorkerCount(c.api.workers),
		Ejected:    dispatcher.EjectedCount(c.api.workers),
	}
	for i, class := range dispatcher.Settings.Classes {
		counts := dispatcher.ClassCounts(i)
		view.Succeeded[class.Name] = counts.Served
		view.Rejected[class.Name] = counts.Rejected
		view.Failed[class.Name] = counts.Failed
	}
	c.respondJSON(view)
}

// invariantsView is the answer to /control/invariants. The counts are by rule.
type invariantsView struct {
	Prevented invariant.Counts `json:"prevented"` // violations that the guard prevented
	Violated  invariant.Counts `json:"violated"`  // violations that happened
}

// getInvariants responds with the guard's counts.
func (c *call) getInvariants(string) {
	guard := &c.api.dispatcher.Guard
	c.respondJSON(invariantsView{Prevented: guard.Prevented(), Violated: guard.Violated()})
}
