// Package durable runs jobs that survive a restart of the process. A Service connects the state machine of package jobs
// to the store and to the event loop's clock, a Scheduler passes runnable jobs to the dispatcher, and an OfflineStore
// lets operators work on the store of a stopped dispatcher.
//
// # When requests are acknowledged
//
// A caller's callback runs with nil only once the change that it requested is on disk. If a change that has already
// happened, such as a worker's report, cannot be written, the write is repeated until it succeeds; a push or a lease
// that cannot be stored is rejected instead. Only package jobs decides which changes a job's state allows.
//
// # Concurrency
//
// Service and Scheduler belong to the event loop's goroutine: their methods are called on it and run their callbacks
// on it, at once or later. An OfflineStore belongs to one goroutine.
package durable
