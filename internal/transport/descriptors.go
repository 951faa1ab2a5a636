package transport

// How the descriptors that the process may use are divided. Of those that are
// left for connections, the larger part is for accepted ones.
const (
	// overheadDescriptors are for the run time, epoll, listeners, the reserved
	// dials and the duplicate that a connection has for a moment when nbio takes it
	// over.
	overheadDescriptors = 24

	// minConnectionDescriptors are for connections, however few are allowed in all.
	minConnectionDescriptors = 8

	// reservedDials is one connection, and one that was closed a moment ago.
	reservedDials = 2

	// acceptedFraction is the part of the connections' descriptors that accepted
	// ones may take.
	acceptedFraction = 0.6

	// nbioTableMargin is the number of entries of nbio's table of connections, which
	// descriptors index, beyond the descriptors allowed: a raised limit needs them.
	nbioTableMargin = 4096
)

// AcceptedShare returns how many of the given number of descriptors accepted connections may take.
func AcceptedShare(descriptors int) int {
	return int(acceptedFraction * float64(ConnectionDescriptors(descriptors)))
}

// ConnectionDescriptors returns how many of the given number of descriptors are for connections.
func ConnectionDescriptors(descriptors int) int {
	return max(descriptors-overheadDescriptors, minConnectionDescriptors)
}
