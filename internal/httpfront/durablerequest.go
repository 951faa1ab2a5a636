package httpfront

import (
	"errors"
	"time"

	"hollyyoke.example/hollyyoke/internal/durable"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/httpwire"
	"hollyyoke.example/hollyyoke/internal/jobs"
)

const (
	// durableResponseMargin is how long before the client's deadline the response is written that a job is not done
	// yet.
	durableResponseMargin = 20 * time.Millisecond
	// confirmationGrace is how long after the client's deadline the store may still confirm that a job is stored,
	// before the response says that this is not known.
	confirmationGrace = 300 * time.Millisecond
)

// durableRequest is a request with an idempotency key whose response is pending. It is answered exactly once: with the
// result of its job, or, when its client's time is over, with what the store has confirmed about the job.
type durableRequest struct {
	connection *clientConnection
	service    *durable.Service
	jobID      string
	confirmBy  time.Duration      // loop time at which it is answered even if the store has not confirmed its job
	timer      eventloop.Deadline // when the client's time is over, or at confirmBy
	stored     bool               // the job is on disk
	expired    bool               // the client's time is over
}

// newDurableRequest returns a request whose client waits for the response until the loop time clientDeadline.
func newDurableRequest(c *clientConnection, service *durable.Service, jobID string, clientDeadline time.Duration) *durableRequest {
	request := &durableRequest{
		connection: c,
		service:    service,
		jobID:      jobID,
	}
	request.timer.Fire = func() { request.expire(clientDeadline + confirmationGrace) }
	request.loop().Set(&request.timer, clientDeadline-durableResponseMargin)
	return request
}

func (r *durableRequest) loop() *eventloop.Loop { return r.connection.frontEnd.loop() }

// onPushed is called with nil when the job is on disk, or with the error for which it is not, or may not be.
func (r *durableRequest) onPushed(err error) {
	switch {
	case err == nil:
		r.stored = true
		r.service.Watch(r.jobID, r.onFinal)
		if r.expired {
			r.respondNotDone()
		}
	case errors.Is(err, jobs.ErrIDConflict):
		r.respond(httpwire.StatusUnprocessableContent, "Idempotency-Key belongs to another request\n", 0)
	case errors.Is(err, durable.ErrUnconfirmed):
		r.respondUnconfirmed()
	default:
		r.respond(httpwire.StatusServiceUnavailable, err.Error()+"\n", durableRetryAfter)
	}
}

// onFinal is called with the job when its final state is on disk, or with an error if it is not known here how the job
// ends.
func (r *durableRequest) onFinal(job jobs.Job, err error) {
	switch {
	case errors.Is(err, durable.ErrClosing):
		r.respondNotDone()
	case err != nil:
		r.respond(httpwire.StatusBadGateway, err.Error()+"\n", 0)
	case job.State == jobs.Done:
		r.write(httpResponse{status: httpwire.StatusOK, body: job.Result, served: true})
	case job.State == jobs.InDoubt:
		r.respond(httpwire.StatusConflict, "in doubt, an operator settles it: "+string(job.Reason)+"\n", 0)
	default:
		r.respond(httpwire.StatusBadGateway, job.State.String()+": "+string(job.Reason)+"\n", 0)
	}
}

// expire is called when the client's time is over. If the store has not confirmed the job, the response waits for that,
// until the loop time confirmBy.
func (r *durableRequest) expire(confirmBy time.Duration) {
	if r.stored {
		r.respondNotDone()
		return
	}
	if r.expired {
		confirmBy = min(confirmBy, r.confirmBy)
	}
	r.expired = true
	r.confirmBy = confirmBy
	r.timer.Fire = r.respondUnconfirmed
	r.loop().Set(&r.timer, confirmBy)
}

// respondNotDone responds that the job is stored but not done yet.
func (r *durableRequest) respondNotDone() {
	r.respond(httpwire.StatusAccepted, "the job is kept and not over yet: ask again with the same key\n", durableRetryAfter)
}

// respondUnconfirmed responds that the job may be stored, and may run, or not.
func (r *durableRequest) respondUnconfirmed() {
	r.respond(httpwire.StatusBadGateway, "the job may be kept or not: ask again with the same key\n", durableRetryAfter)
}

// respond responds with a text.
func (r *durableRequest) respond(status int, text string, retryAfter time.Duration) {
	r.write(httpResponse{status: status, body: []byte(text), retryAfter: retryAfter})
}

// write writes the response, unless the request has been answered or its client has left.
func (r *durableRequest) write(response httpResponse) {
	if r.connection.response.durable != r {
		return
	}
	r.connection.endDurable()
	r.connection.completeService(response)
}

// endDurable ends the connection's durable request, if it has one. Later results of its job are ignored.
func (c *clientConnection) endDurable() {
	if c.response.durable != nil {
		c.frontEnd.loop().Clear(&c.response.durable.timer)
		c.response.durable = nil
	}
}
