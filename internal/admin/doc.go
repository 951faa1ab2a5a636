// Package admin is the admin API: HTTP calls with which operators read counters and
// state, take the dispatcher out of service, block clients and decide on durable jobs.
//
// Each connection carries one call. The API has descriptors of its own, so that it
// answers while clients have used up theirs, and callers that send nothing are closed
// in favour of those that do. It only passes calls on: what it shows is counted
// elsewhere, and whether an operation is allowed is decided there too.
//
// Paths, statuses, texts and JSON keys are an interface that operators' scripts use;
// the golden files hold them.
package admin
