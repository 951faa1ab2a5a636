// Package durable runs the jobs that outlive the process. A Service joins the state machine of package jobs with the
// store and the event loop's clock, a Scheduler hands runnable jobs to the dispatcher, and an OfflineStore lets
// operators work on the store of a stopped dispatcher.
//
// # What is acknowledged when
//
// A caller's callback runs with nil only once the change that it asked for is on disk. A change that has happened
// already, such as a worker's report, is written again until the disk takes it; a push or a lease that cannot be
// stored is rejected instead. What a job's state allows is decided by package jobs alone.
//
// # Concurrency
//
// Service and Scheduler belong to the event loop's goroutine: their methods are called on it and run their callbacks
// on it, at once or later. An OfflineStore belongs to one goroutine.
package durable
