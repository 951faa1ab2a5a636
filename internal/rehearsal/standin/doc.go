// Package standin provides the surroundings of a dispatcher in a rehearsal, all on loopback
// sockets: a discovery service, workers that execute jobs by spending their time, the ledger of
// all executions, and the daemon as a child process.
//
// It implements the protocols from their description on net/http, and shares no parser with the
// front ends that it tests. It connects to loopback addresses only, and a worker executes no job
// that was not announced to the ledger.
package standin
