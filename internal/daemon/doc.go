// Package daemon runs the dispatcher as one process. It reads the configuration,
// connects front ends, dispatcher, worker clients and the admin API, and owns the
// life cycle: start, reload (SIGHUP), drain, replacement by a successor process
// and graceful shutdown.
//
// Serve has the order of the start, shutdown that of the end. Each part of the life
// cycle has a file: serve.go and listen.go the start, reload.go, drain.go and
// shutdown.go what they are named after, peer.go, predecessor.go and successor.go the
// replacement, handover.go the shutdown beside a successor.
//
// A replacement goes in these steps. The platform keeps the listener and starts a
// second process, which finds the handover socket of the first. The first, the
// predecessor, sends its endpoint list and its request ids, and grants a small part
// of the descriptors and the memory. The second, the successor, accepts clients once
// its workers are known, and both serve the one listener. On SIGTERM the predecessor
// stops accepting, releases its durable jobs, answers what it owes and exits; the
// successor then has all resources.
//
// The package does not choose workers (package decision does), and does not decide
// which connections are admitted (package connlimit does). The process does not exit
// while it owes an answer, except on a second SIGINT or where the start fails.
package daemon
