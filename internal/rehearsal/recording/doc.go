// Package recording turns access logs and HAR files into recordings: versioned files with the
// arrivals, classes, keys and cost hints of requests, in which no member can be recognised. It
// parses the logs, corrects the clocks of their sources, samples what the logs do not contain, and
// writes, reads and transforms recordings.
//
// Import reads the sources in two passes with a Spool between them. Every entry is counted once,
// as accepted, malformed, unmapped or ignored. Memory is bounded by the longest line or HAR entry
// and by constants, not by the size of the input. Neither a recording nor a report contains a
// member's number, a token, a query or a body.
//
// The package does no I/O beyond the readers and writers that it is given and starts no
// goroutine. Its types are not safe for concurrent use.
package recording
