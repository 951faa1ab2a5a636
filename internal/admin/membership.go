package admin

// getMembership responds with the version of the endpoint list in force, and with counts of
// what was received and applied.
func (c *call) getMembership(string) {
	if c.api.operations.Membership == nil {
		c.respond(statusConflict, "membership is not told here\n", "")
		return
	}
	c.respondJSON(c.api.operations.Membership())
}
