package dispatch

// FrontEnd hands in requests and answers its clients. A front end chooses the token of a request; it means nothing to
// the Dispatcher.
type FrontEnd interface {
	// Respond delivers the final response to the request with this token. It is called once for each request that was
	// accepted, unless the front end cancelled the request first.
	Respond(token uint64, response Response)
}

// ClientWatcher is implemented by a FrontEnd that can see that a client has disconnected before it has handled the event
// that says so: the loop may be busy, or the end of the connection may lie behind bytes that are not read yet.
type ClientWatcher interface {
	// ClientLeft reports whether the client of the request with this token has disconnected.
	ClientLeft(token uint64) bool
	// RequestCancelled reports that the Dispatcher has cancelled the request for that reason, and whether some attempt
	// of it may have run.
	RequestCancelled(token uint64, mayHaveRun bool)
}
