// Package admin is the admin API: HTTP calls with which operators read counters and
// state, take the dispatcher out of service, block clients, and resolve, retry or discard
// durable jobs.
//
// Each connection carries one call. The API has its own descriptors, so that it answers
// even when clients have used up theirs. If all of its descriptors are in use, connections
// that have sent nothing are closed first to admit new ones. The package only passes calls
// on: other packages keep the counts that it reports, and decide whether an operation is
// allowed.
//
// Operators' scripts depend on the paths, statuses, texts and JSON keys. The golden files
// in testdata fix them.
package admin
