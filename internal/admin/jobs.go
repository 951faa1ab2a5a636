package admin

import (
	"errors"
	"net/url"
	"strconv"

	"hollyyoke.example/hollyyoke/internal/durable"
	"hollyyoke.example/hollyyoke/internal/jobs"
)

// Limits of one page of jobs, so that a million jobs do not hold up the loop.
const (
	maxPageJobs    = 100    // in the answer
	maxPageScanned = 20_000 // jobs looked at for it
)

// jobsPage is the answer to /control/jobs.
type jobsPage struct {
	Jobs []durable.View `json:"jobs"`
	Next uint64         `json:"next,omitempty"` // the next page's parameter after; 0: there is none
}

// jobService returns the service of durable jobs; nil: there is none.
func (c *call) jobService() *durable.Service {
	if c.api.operations.Jobs == nil {
		return nil
	}
	return c.api.operations.Jobs()
}

// getJobs responds with a page of durable jobs.
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
	page := jobsPage{Jobs: []durable.View{}, Next: next}
	withPayload := values.Get("full") == "true"
	for _, job := range list {
		page.Jobs = append(page.Jobs, durable.NewView(job, withPayload))
	}
	c.respondJSON(page)
}

// getJob responds with one job, with its payload.
func (c *call) getJob(query string) {
	values, _ := url.ParseQuery(query)
	job, found := c.jobService().Get(values.Get("id"))
	if !found {
		c.respond(statusNotFound, "no such job\n", "")
		return
	}
	c.respondJSON(durable.NewView(job, true))
}

// putSnapshot writes a copy of the store. The call has no timeout; a caller that
// leaves does not end the copy.
func (c *call) putSnapshot(query string) {
	values, _ := url.ParseQuery(query)
	c.api.dispatcher.Loop.Clear(&c.timeout)
	c.jobService().Snapshot(values.Get("name"), c.respondDone)
}

// jobOperation is an operator's decision about a job.
type jobOperation struct {
	values url.Values
	id     string
	reason jobs.Reason
}

// readJobOperation reads the parameters id and reason. Where one is missing, it
// responds and returns false.
func (c *call) readJobOperation(query string) (o jobOperation, ok bool) {
	values, err := url.ParseQuery(query)
	o = jobOperation{values: values, id: values.Get("id"), reason: jobs.Reason(values.Get("reason"))}
	if err != nil || o.id == "" || o.reason == "" {
		c.respond(statusBadRequest, "id and reason are needed\n", "")
		return o, false
	}
	return o, true
}

// putResolve resolves the doubt about a job: it ran, or it did not.
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

// putDiscard discards a job.
func (c *call) putDiscard(query string) { c.moveJob(query, jobs.Discard) }

func (c *call) moveJob(query string, move jobs.Move) {
	o, ok := c.readJobOperation(query)
	if !ok {
		return
	}
	c.respondWhenStored(c.jobService().Move(o.id, move, o.reason, true))
}

// respondWhenStored responds to an operation on a job: with its error, or once it is
// on disk.
func (c *call) respondWhenStored(err error) {
	if err != nil {
		c.respondError(statusConflict, err)
		return
	}
	c.jobService().AfterSync(c.respondDone)
}
