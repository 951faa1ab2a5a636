package admin

import "hollyyoke.example/hollyyoke/internal/httpwire"

const (
	methodGet = "GET"
	methodPut = "PUT"
)

// route is what a path offers.
type route struct {
	method    string
	needsJobs bool // the path exists only where jobs are durable
	handle    func(c *call, query string)
}

// routes are the paths of the API.
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

// serve answers a complete call.
func (c *call) serve(request httpwire.Call) {
	target, found := routes[request.Path]
	switch {
	case !found:
		c.respond(statusNotFound, "no such call\n", "")
	case request.Method != target.method:
		c.respond(statusMethodNotAllowed, target.method+" only\n", "Allow: "+target.method+"\r\n")
	case target.needsJobs && c.jobService() == nil:
		c.respond(statusConflict, "no queue is durable here: no operator's file says so\n", "")
	default:
		target.handle(c, request.Query)
	}
}
