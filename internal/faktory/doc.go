// Package faktory speaks the Faktory work protocol in two roles: as a server
// that producers and workers connect to (Server), and as a consumer of an
// upstream server (Source). Both hand jobs as requests to the dispatcher that
// the HTTP front end uses too; workers that connect here are workers of its
// fleet.
//
// A queue is direct or durable. The jobs of a direct queue are in memory only;
// those of a durable queue are stored by package durable before they run.
//
// The package never decides where a job runs or whether it is retried, and it
// never hands out again a job that may have run unless its class is idempotent.
// No input makes it panic. Everything here belongs to the goroutine of the
// event loop.
//
// # The way of a command
//
// A connection collects what it has received (input), cuts off a line
// (parseLine), and splits it into verb and rest (parseCommand). commands.go
// picks the handler by the verb. The handler decodes the rest (messages.go,
// jobpayload.go), checks it and answers, at once or later. While a command
// awaits its answer the connection is busy and reads no other, so answers come
// in the order of the commands. The files of the commands:
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
//	FETCH                  when there is a job, or after parkTimeout
//	ACK, FAIL, direct      at once
//	ACK, FAIL, durable     when the report is on disk, or its lease is void
//	START                  when the start is on disk, or its lease is void
//	QUEUE, MUTATE, FLUSH   when the changes are on disk
//
// # Workers and slots
//
// A worker is a wid, on one or more connections. A FETCH that waits for a job
// is parked, and is a free slot of its worker. The dispatcher starts an attempt
// at a worker (Server.Start); the attempt's job answers a parked FETCH or waits
// for the worker's next one. From then on it may have run. A durable job is
// leased first, and before that a slot is reserved for it (Server.Reserve).
//
// # Lanes
//
// The source role has a number of lanes: connections to the upstream server,
// each with one job at most, and one more connection for heartbeats. See lane,
// also for when it reconnects. A job is acknowledged upstream by ACK once it has
// been served, and by FAIL once it has failed or was rejected. A jid that is
// delivered again is closed without running if it was served, or may have run and
// its class is not idempotent (jidMemory).
package faktory
