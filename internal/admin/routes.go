package admin

import "hollyyoke.example/hollyyoke/internal/httpwire"

const (
	methodGet = "GET"
	methodPut = "PUT"
)

// route is the method and the handler of a path.
type route struct {
	method    string
	needsJobs bool // calls are rejected unless there are durable jobs
	handle    func(c *call, query string)
}

// routes are the routes of the API by path.
var routes = map[string]route{
	"/control/ready":          {method: methodGet, handle: (*call).getReady},
	"/control/out-of-service": {method: methodPut, handle: (*call).putOutOfService},
	"/control/in-service":     {method: methodPut, handle: (*call).putInService},

	"/control/counters":   {method: methodGet, handle: (*call).getCounters},
	"/control/invariants": {method: methodGet, handle: (*call).getInvariants},
	"/control/membership": {method: methodGet, handle: (*call).getMembership},

	"/control/connections":       {method: methodGet, handle: (*call).getConnections},
	"/control/connections/bar":   {method: methodPut, handle: (*call).putBlock},
	"/control/connections/unbar": {method: methodPut, handle: (*call).putUnblock},

	"/control/jobs":          {method: methodGet, needsJobs: true, handle: (*call).getJobs},
	"/control/jobs/show":     {method: methodGet, needsJobs: true, handle: (*call).getJob},
	"/control/jobs/snapshot": {method: methodPut, needsJobs: true, handle: (*call).putSnapshot},
	"/control/jobs/settle":   {method: methodPut, needsJobs: true, handle: (*call).putResolve},
	"/control/jobs/retry":    {method: methodPut, needsJobs: true, handle: (*call).putRetry},
	"/control/jobs/discard":  {method: methodPut, needsJobs: true, handle: (*call).putDiscard},
}

// serve passes a complete call to the handler of its path.
func (c *call) serve(request httpwire.RequestLine) {
	matched, found := routes[request.Path]
	switch {
	case !found:
		c.respond(statusNotFound, "no such call\n", "")
	case request.Method != matched.method:
		c.respond(statusMethodNotAllowed, matched.method+" only\n", "Allow: "+matched.method+"\r\n")
	case matched.needsJobs && c.jobsElsewhere():
		c.respond(statusServiceUnavailable, "the other process has the store\n", "")
	case matched.needsJobs && c.jobService() == nil:
		c.respond(statusConflict, "no queue is durable here: no operator's file says so\n", "")
	default:
		matched.handle(c, request.Query)
	}
}
