package dispatch

// FrontEnd submits the requests of its clients and passes the responses on to them. It identifies each request by a
// token of its choice, which the Dispatcher does not interpret.
type FrontEnd interface {
	// Respond delivers the final response to the request with this token. It is called once for each request that was
	// accepted, unless the front end cancelled the request first.
	Respond(token uint64, response Response)
}

// ClientWatcher is implemented by a FrontEnd that can detect that a client has disconnected before it has handled the
// event for it: the loop may be busy, or there may be unread bytes before the end of the connection.
type ClientWatcher interface {
	// ClientDisconnected reports whether the client of the request with this token has disconnected.
	ClientDisconnected(token uint64) bool
	// RequestCancelled reports that the Dispatcher has cancelled the request for that reason, and whether some attempt
	// of it may have run.
	RequestCancelled(token uint64, mayHaveRun bool)
}
