package admin

import (
	"errors"
	"net/url"
	"strconv"

	"hollyyoke.example/hollyyoke/internal/durable"
	"hollyyoke.example/hollyyoke/internal/jobs"
)

// Limits of one page of jobs. They keep a store of a million jobs from blocking the loop.
const (
	maxPageJobs    = 100    // jobs in the response
	maxPageScanned = 20_000 // jobs that are matched against the filter

	// maxPagePayload bounds the payloads of one page, in bytes, beyond its first job.
	maxPagePayload = 256 << 10

	// unreadPayload is the size that a payload counts with which is in the store only: the most that a request has.
	unreadPayload = 64 << 10
)

// jobsPage is the answer to /control/jobs.
type jobsPage struct {
	Jobs []durable.View `json:"jobs"`
	Next uint64         `json:"next,omitempty"` // value of the parameter after for the next page; 0 if this is the last
}

// jobService returns the service of durable jobs, or nil if there is none.
func (c *call) jobService() *durable.Service {
	if c.api.operations.Jobs == nil {
		return nil
	}
	return c.api.operations.Jobs()
}

// jobsElsewhere reports whether another process has the durable jobs: the predecessor, or the
// successor to which this process has given them.
func (c *call) jobsElsewhere() bool {
	service := c.jobService()
	if service != nil {
		return !service.IsOpen()
	}
	return c.api.operations.JobsElsewhere != nil && c.api.operations.JobsElsewhere()
}

// getJobs responds with a page of the durable jobs that match the parameters state and
// class.
func (c *call) getJobs(query string) {
	values, err := url.ParseQuery(query)
	var after uint64
	if text := values.Get("after"); err == nil && text != "" {
		after, err = strconv.ParseUint(text, 10, 64)
	}
	match, filterErr := durable.Filter(values.Get("state"), values.Get("class"))
	if err := errors.Join(err, filterErr); err != nil {
		c.respondError(statusBadRequest, err)
		return
	}
	list, next := c.jobService().Page(after, maxPageJobs, maxPageScanned, match)
	if values.Get("full") != "true" {
		c.respondJSON(newJobsPage(list, next, false))
		return
	}
	list, next = limitPayload(list, next)
	c.jobService().AddPayloads(list, func(list []jobs.Job) {
		if c.isOpen() {
			c.respondJSON(newJobsPage(list, next, true))
		}
	})
}

// limitPayload shortens a page to the jobs whose payloads fit into maxPagePayload, but at least one. next is the sequence
// number to continue after.
func limitPayload(list []jobs.Job, next uint64) ([]jobs.Job, uint64) {
	size := 0
	for i, job := range list {
		size += len(job.Payload)
		if job.PayloadOnDisk {
			size += unreadPayload
		}
		if size > maxPagePayload && i > 0 {
			return list[:i], list[i-1].Sequence
		}
	}
	return list, next
}

// newJobsPage returns a page of jobs.
func newJobsPage(list []jobs.Job, next uint64, withPayload bool) jobsPage {
	page := jobsPage{Jobs: []durable.View{}, Next: next}
	for _, job := range list {
		page.Jobs = append(page.Jobs, durable.NewView(job, withPayload))
	}
	return page
}

// getJob responds with one job, including its payload.
func (c *call) getJob(query string) {
	values, _ := url.ParseQuery(query)
	job, found := c.jobService().Get(values.Get("id"))
	if !found {
		c.respond(statusNotFound, "no such job\n", "")
		return
	}
	c.jobService().AddPayloads([]jobs.Job{job}, func(list []jobs.Job) {
		if c.isOpen() {
			c.respondJSON(durable.NewView(list[0], true))
		}
	})
}

// putSnapshot writes a copy of the store, and responds when it is complete. This call has
// no timeout, and the copy continues if the caller disconnects.
func (c *call) putSnapshot(query string) {
	values, _ := url.ParseQuery(query)
	c.api.dispatcher.Loop.Clear(&c.timeout)
	c.jobService().Snapshot(values.Get("name"), c.respondResult)
}

// jobOperation has the parameters of an operation on one job.
type jobOperation struct {
	values url.Values
	id     string
	reason jobs.Reason
}

// readJobOperation reads the parameters id and reason. If one is missing, it responds with
// an error and returns false.
func (c *call) readJobOperation(query string) (o jobOperation, ok bool) {
	values, err := url.ParseQuery(query)
	o = jobOperation{values: values, id: values.Get("id"), reason: jobs.Reason(values.Get("reason"))}
	if err != nil || o.id == "" || o.reason == "" {
		c.respond(statusBadRequest, "id and reason are needed\n", "")
		return o, false
	}
	return o, true
}

// putResolve resolves a job that is in doubt: the parameter ran says whether it ran.
func (c *call) putResolve(query string) {
	o, ok := c.readJobOperation(query)
	if !ok {
		return
	}
	ran := o.values.Get("ran")
	if ran != "true" && ran != "false" {
		c.respond(statusBadRequest, "ran: true or false is needed\n", "")
		return
	}
	c.respondWhenStored(c.jobService().Resolve(o.id, ran == "true", o.reason))
}

// putRetry queues a job again.
func (c *call) putRetry(query string) { c.moveJob(query, jobs.Requeue) }

// putDiscard discards a job, so that it does not run.
func (c *call) putDiscard(query string) { c.moveJob(query, jobs.Discard) }

func (c *call) moveJob(query string, move jobs.Move) {
	o, ok := c.readJobOperation(query)
	if !ok {
		return
	}
	c.respondWhenStored(c.jobService().Move(o.id, move, o.reason, true))
}

// respondWhenStored responds to an operation on a job: at once with err if it is not nil,
// and otherwise when the change is on disk, or is still not after storeTimeout.
func (c *call) respondWhenStored(err error) {
	if err != nil {
		c.respondError(statusConflict, err)
		return
	}
	loop := c.api.dispatcher.Loop
	c.timeout.Fire = c.respondUnconfirmed
	loop.Set(&c.timeout, loop.Now()+storeTimeout)
	c.jobService().AfterSync(c.respondResult)
}

// respondUnconfirmed responds to a change that is made, and is not on disk yet.
func (c *call) respondUnconfirmed() {
	c.respond(statusServiceUnavailable, "the change is made and not on disk yet: it is written until the disk takes it\n", "")
}
