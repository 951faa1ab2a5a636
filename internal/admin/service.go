package admin

// getReady reports whether this process accepts clients.
func (c *call) getReady(string) {
	if !c.api.operations.Ready() {
		c.respond(statusServiceUnavailable, "not ready\n", "")
		return
	}
	c.respond(statusOK, "ready\n", "")
}

// putOutOfService begins a drain.
func (c *call) putOutOfService(string) { c.setOutOfService(true, "out of service\n") }

// putInService ends a drain.
func (c *call) putInService(string) { c.setOutOfService(false, "in service\n") }

func (c *call) setOutOfService(out bool, done string) {
	if err := c.api.operations.SetOutOfService(out); err != nil {
		c.respondError(statusConflict, err)
		return
	}
	c.respond(statusOK, done, "")
}
