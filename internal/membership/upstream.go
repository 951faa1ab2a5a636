package membership

// Server is one server of versioned changes: a relay, or the origin itself.
type Server struct {
	Zone, Address string
}
