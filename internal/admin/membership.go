package admin

// getMembership responds with the version of the endpoint list in force, and the
// counts of how it was received.
func (c *call) getMembership(string) {
	if c.api.operations.Membership == nil {
		c.respond(statusConflict, "membership is not told here\n", "")
		return
	}
	c.respondJSON(c.api.operations.Membership())
}
