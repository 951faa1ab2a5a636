// Package faktory implements the Faktory work protocol in two roles: as a
// server that producers and workers connect to (Server), and as a consumer of an
// upstream server (Source). Both pass jobs as requests to the dispatcher, which
// the HTTP front end uses too. The dispatcher uses the workers that connect here
// like those of the HTTP front end.
//
// A queue is direct or durable. The jobs of a direct queue are in memory only;
// those of a durable queue are stored by package durable before they run.
//
// The dispatcher, not this package, decides where a job runs and whether it is
// retried. A job that may have run is never handed out again unless its class is
// idempotent. No input makes the package panic. Everything here must be called
// on the goroutine of the event loop.
//
// # How a command is processed
//
// A connection collects the received bytes (input), takes a line off them
// (parseLine), and splits it into verb and rest (parseCommand). commands.go
// picks the handler by the verb. The handler decodes the rest (messages.go,
// jobpayload.go), checks it and answers, at once or later. Until a command is
// answered, the connection is busy and does not process the next one, so answers
// come in the order of the commands. The files of the commands:
//
//	HELLO               handshake.go
//	PUSH, PUSHB         push.go, bulkpush.go
//	FETCH               fetch.go
//	START, ACK, FAIL    reports.go
//	BEAT                reports.go
//	QUEUE               queues.go
//	MUTATE, FLUSH       mutate.go
//	TRACK               track.go
//	INFO                info.go
//
// # When a command is answered
//
//	PUSH, direct queue     when the job has completed, is rejected or has failed
//	PUSH, durable queue    when the job is on disk
//	PUSHB                  when all its jobs are on disk or rejected
//	FETCH                  when there is a job, or with none after parkTimeout
//	ACK, FAIL, direct      at once
//	ACK, FAIL, durable     when the report is on disk, or its lease is void
//	START                  when the start is on disk, or its lease is void
//	QUEUE, MUTATE, FLUSH   when the changes are on disk
//
// # Workers and slots
//
// A worker is identified by its wid and has one or more connections. A FETCH
// that waits for a job is parked, and is a free slot of its worker. When the
// dispatcher starts an attempt at a worker (Server.Start), a parked FETCH is
// answered with the job, or the job waits for the worker's next FETCH. Once a
// FETCH has been answered with it, the job may have run. A durable job is leased
// first, and before that a slot is reserved for it (Server.Reserve).
//
// # Lanes
//
// The source role has a number of lanes: connections to the upstream server,
// each with one job at most, and one more connection for heartbeats. The type
// lane describes when a lane reconnects. The source sends ACK upstream once a job
// has been served, and FAIL once it has failed or was rejected. If upstream
// delivers a jid again, the source closes the delivery by ACK or FAIL without
// running the job if it was served, or may have run and its class is not
// idempotent (jidMemory).
package faktory
