package transport

// Division of the descriptors that the process may use. Most of the descriptors for
// connections are for accepted ones.
const (
	// overheadDescriptors is the number of descriptors for the Go runtime, epoll, the poller's barrier, the
	// listeners, the reserved dials, and the duplicate that a connection has for a
	// moment when nbio takes it over.
	overheadDescriptors = 24

	// minConnectionDescriptors is the number of descriptors that are at least used for
	// connections, even if the limit on descriptors is low.
	minConnectionDescriptors = 8

	// reservedDials is the number of reserved descriptors for dials: one for a
	// connection, and one for a connection that was closed a moment ago.
	reservedDials = 2

	// acceptedFraction is the fraction of the descriptors for connections that accepted
	// connections may use.
	acceptedFraction = 0.6

	// nbioTableMargin is the number of entries in nbio's table of connections beyond the
	// limit on descriptors. The table is indexed by descriptor, and the limit may be
	// raised later.
	nbioTableMargin = 4096
)

// AcceptedDescriptors returns how many of the given number of descriptors accepted connections may use.
func AcceptedDescriptors(descriptors int) int {
	return int(acceptedFraction * float64(ConnectionDescriptors(descriptors)))
}

// ConnectionDescriptors returns how many of the given number of descriptors are for connections.
func ConnectionDescriptors(descriptors int) int {
	return max(descriptors-overheadDescriptors, minConnectionDescriptors)
}
