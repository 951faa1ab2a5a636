// Package daemon runs the dispatcher as one process. It reads the configuration,
// connects the front ends, the dispatcher, the worker client and the admin API to each
// other, and controls the life cycle: start, reload (SIGHUP), drain, replacement by a
// successor process and graceful shutdown.
//
// Serve lists the steps of the start in their order, and shutdown those of the end. The
// life cycle is split over these files: serve.go and listen.go have the start, reload.go,
// drain.go and shutdown.go what their names say, peer.go, predecessor.go and successor.go
// the replacement, and handover.go the shutdown of a process that has a successor.
//
// A replacement has these steps. The platform keeps the listening socket open and starts
// a second process, which connects to the handover socket of the first. The first process,
// the predecessor, sends its endpoint list and the ids of the requests it has accepted, and
// leaves a small part of the descriptors and the memory to the second. The second process,
// the successor, accepts clients once a worker is ready; from then on both accept from the
// same listening socket. On SIGTERM the predecessor stops accepting, releases its durable
// jobs, answers all requests that it has accepted and exits; the successor then uses all
// resources.
//
// The package does not choose workers (package decision does), and does not decide
// which connections are admitted (package connlimit does). The process does not exit
// while a request is unanswered, except on a SIGINT during the shutdown or if the start
// fails.
package daemon
