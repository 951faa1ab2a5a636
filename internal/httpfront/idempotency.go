package httpfront

import (
	"bytes"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/durable"
	"hollyyoke.example/hollyyoke/internal/httpwire"
	"hollyyoke.example/hollyyoke/internal/jobs"
)

// durableRetryAfter is the Retry-After of responses for a job that is not done yet, could not be stored, or may be stored.
const durableRetryAfter = time.Second

// SetDurable makes requests with an idempotency key durable in the classes for which durableClasses, indexed by class,
// is true. Such requests are stored as jobs: requests with the same key get the result of the same job, even after a
// restart. service may be nil while another process has the store; durable requests are rejected until it is set.
func (f *FrontEnd) SetDurable(service *durable.Service, durableClasses []bool) {
	f.durable = service
	f.durableClasses = durableClasses
}

// isDurable reports whether requests of a class are durable if they have an idempotency key.
func (f *FrontEnd) isDurable(class int) bool {
	return f.durableClasses != nil && f.durableClasses[class]
}

// admitDurable stores a request as a job and responds with the job's result. If the job is not done shortly before the
// client's deadline, the response says so.
func (c *clientConnection) admitDurable(message *httpwire.Message, request dispatch.Request, key string) {
	frontEnd := c.frontEnd
	if !httpwire.IsIdentifier([]byte(durable.RequestID(key))) {
		c.rejectInvalid(message, request.Class, httpwire.StatusBadRequest,
			"Idempotency-Key is not of 1 to 123 letters, digits or -._:~+/=@\n")
		return
	}
	if frontEnd.durable == nil || !frontEnd.durable.IsOpen() {
		c.closeAfterResponse = c.closeAfterResponse || frontEnd.closeAfterResponse // the client finds the other process by connecting
		c.rejectTemporarily(message, request.Class, "the other process has the store\n", durableRetryAfter)
		return
	}
	job := frontEnd.durableJob(request, message.Body, key)
	c.input.consume(message.Size)
	c.beginService()
	pending := newDurableRequest(c, frontEnd.durable, job.ID, request.ArrivedAt+frontEnd.dispatcher.ClientTimeout(&request))
	c.response.durable = pending
	frontEnd.durable.Push(job, 0, pending.onPushed)
}

// ExpireDurable answers the pending durable requests as if their clients' time were over: at once if it is known that
// their jobs are stored, and otherwise when the store confirms that, or at the loop time confirmBy.
func (f *FrontEnd) ExpireDurable(confirmBy time.Duration) {
	f.connections.ForEach(func(_ uint64, c *clientConnection) {
		if c.response.durable != nil {
			c.response.durable.expire(confirmBy)
		}
	})
}

// durableJob returns the job as which a request is stored.
func (f *FrontEnd) durableJob(request dispatch.Request, body []byte, key string) jobs.Job {
	class := f.dispatcher.Settings.Classes[request.Class]
	stored := durable.Request{
		Target: request.Target,
		Key:    request.Key,
		Body:   bytes.Clone(body),
		Slots:  request.Slots,
		Work:   request.Work,
	}
	return stored.Job(key, class.Name, class.Idempotency != decision.Idempotent)
}
