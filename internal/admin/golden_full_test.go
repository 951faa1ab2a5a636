package admin

import (
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/goldentest"
	"hollyyoke.example/hollyyoke/internal/jobs"
)

func TestGoldenMembershipAndConnections(t *testing.T) {
	api := newFullTestAPI(t)
	goldentest.CompareHTTP(t, "connections.golden", api.transcript(t,
		"GET /control/membership",
		"GET /control/connections",
		"PUT /control/connections/bar?prefix=10.1.2.3/24&for=1h",
		"PUT /control/connections/bar?prefix=10.8.0.1&for=15m",
		"PUT /control/connections/bar?prefix=2001:db8::/64&for=1m",
		"GET /control/connections",
		"PUT /control/connections/bar?prefix=x&for=1h",
		"PUT /control/connections/bar?prefix=10.1.2.3&for=169h",
		"PUT /control/connections/bar?prefix=10.1.2.3&for=0s",
		"PUT /control/connections/bar?prefix=10.1.2.3",
		"PUT /control/connections/unbar?prefix=10.1.2.0/24",
		"PUT /control/connections/unbar?prefix=10.1.2.0/24",
		"PUT /control/connections/unbar?prefix=x",
	))
}

// pushInAllStates pushes jobs and brings each into the state that its id names.
func (a *fullTestAPI) pushInAllStates(t *testing.T) {
	t.Helper()
	later := time.Duration(time.Date(2099, 1, 2, 3, 4, 5, 600e6, time.UTC).UnixNano())
	a.push(t, jobs.Job{ID: "scheduled-1", Class: "renewal", NonIdempotent: true, Payload: []byte(`{"a": [1]}`)}, later)
	a.push(t, jobs.Job{ID: "ready-1", Class: "status-check", Payload: []byte("no JSON")}, 0)
	a.push(t, jobs.Job{ID: "ready-2", Class: "status-check", Payload: []byte(`{}`)}, 0)
	a.pushRenewal(t, "dead-1")
	a.pushRenewal(t, "done-1")
	a.pushRenewal(t, "doubt-1")
	a.pushRenewal(t, "doubt-2")
	fence := a.lease(t, "dead-1").Fence
	a.mustStore(t, "fail", func(done func(error)) { a.service.Fail("dead-1", fence, "Broken: no till", true, done) })
	fence = a.lease(t, "done-1").Fence
	a.mustStore(t, "ack", func(done func(error)) { a.service.Ack("done-1", fence, []byte("r"), done) })
	a.lease(t, "doubt-1")
	a.lease(t, "doubt-2")
	a.waitUntilInDoubt(t, 2)
}

func TestGoldenJobs(t *testing.T) {
	api := newFullTestAPI(t)
	api.pushInAllStates(t)
	goldentest.CompareHTTP(t, "jobs.golden", api.transcript(t,
		"GET /control/jobs",
		"GET /control/jobs?full=true",
		"GET /control/jobs?state=ready",
		"GET /control/jobs?class=renewal&state=in+doubt",
		"GET /control/jobs?after=6",
		"GET /control/jobs?after=x",
		"GET /control/jobs?state=x",
		"GET /control/jobs?%",
		"GET /control/jobs/show?id=ready-1",
		"GET /control/jobs/show?id=scheduled-1",
		"GET /control/jobs/show?id=x",
		"PUT /control/jobs/settle?id=doubt-1&reason=asked&ran=true",
		"PUT /control/jobs/settle?id=doubt-2&reason=asked&ran=false",
		"PUT /control/jobs/settle?id=doubt-1&reason=asked",
		"PUT /control/jobs/settle?id=doubt-1&ran=true",
		"PUT /control/jobs/settle?id=ready-1&reason=asked&ran=true",
		"PUT /control/jobs/settle?id=x&reason=asked&ran=true",
		"PUT /control/jobs/retry?id=dead-1&reason=again",
		"PUT /control/jobs/retry?id=done-1&reason=again",
		"PUT /control/jobs/retry?id=x&reason=again",
		"PUT /control/jobs/discard?id=ready-2&reason=unwanted",
		"PUT /control/jobs/discard?id=done-1&reason=unwanted",
		"PUT /control/jobs/discard?reason=x",
		"PUT /control/jobs/snapshot?name=copy.db",
		"PUT /control/jobs/snapshot?name=../copy.db",
		"PUT /control/jobs/snapshot",
		"GET /control/jobs",
	))
}

// A page that is not the last has the number after which the next page begins.
func TestGoldenJobsPage(t *testing.T) {
	api := newFullTestAPI(t)
	api.pushNumbered(t, maxPageJobs+1)
	goldentest.CompareHTTP(t, "page.golden", api.transcript(t, "GET /control/jobs", "GET /control/jobs?after=100"))
}
