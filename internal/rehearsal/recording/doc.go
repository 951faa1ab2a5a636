// Package recording turns access logs and HAR files into recordings: versioned files with the
// arrivals, classes, keys and cost hints of requests, from which no member can be identified. It
// parses the logs, corrects timestamps for clock errors of the sources, draws values that the logs do
// not contain at random, and writes, reads and transforms recordings.
//
// Import works in two passes: the first one reads the sources and writes sorted runs of entries to
// a Spool, the second one merges these runs. Every entry is counted once, as accepted, malformed,
// unmapped or ignored. Memory is bounded by the longest line or HAR entry and by constants, not by
// the size of the input. Neither a recording nor a report contains a member's number, a token, a
// query or a body.
//
// The package does no I/O beyond the readers and writers that it is given and starts no
// goroutine. Its types are not safe for concurrent use.
package recording
