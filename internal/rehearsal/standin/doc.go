// Package standin provides the environment of a dispatcher in a rehearsal, all on loopback sockets:
// a discovery service, workers that execute a job by waiting for its service time, a ledger of all
// executions, and the daemon as a child process.
//
// The package implements the protocols on net/http from their descriptions, and shares no parser
// with the front ends under test. It connects to loopback addresses only. A worker executes only
// jobs that were announced to the ledger.
package standin
