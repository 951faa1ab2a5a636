package httpfront

import (
	"bytes"
	"errors"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/durable"
	"hollyyoke.example/hollyyoke/internal/httpwire"
	"hollyyoke.example/hollyyoke/internal/jobs"
)

const (
	// durableResponseMargin is how long before the client's deadline the response is written that a job is not done
	// yet.
	durableResponseMargin = 20 * time.Millisecond
	// durableRetryAfter is the Retry-After of responses for a job that is not done yet or could not be stored.
	durableRetryAfter = time.Second
)

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
	if frontEnd.durable == nil {
		c.rejectTemporarily(message, request.Class, "the other process has the store\n", durableRetryAfter)
		return
	}
	job := frontEnd.durableJob(request, message.Body, key)
	c.input.consume(message.Size)
	c.response.durableCount++
	c.beginService()
	response := durableResponse{connection: c, number: c.response.durableCount}
	untilResponse := request.ArrivedAt + frontEnd.clientTimeout(request) - durableResponseMargin - frontEnd.loop().Now()
	frontEnd.loop().After(max(untilResponse, 0), response.notDone)
	frontEnd.durable.Push(job, 0, func(err error) {
		if err != nil {
			response.notStored(err)
			return
		}
		frontEnd.durable.Watch(job.ID, response.ended)
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

// clientTimeout returns how long the client of a request waits for the response, counted from the request's arrival.
func (f *FrontEnd) clientTimeout(request dispatch.Request) time.Duration {
	timeout := f.dispatcher.Settings.Classes[request.Class].Deadline
	if request.TimeLeft > 0 {
		timeout = min(timeout, request.TimeLeft)
	}
	return timeout
}

// durableResponse writes the response to a durable request. Only its first write has an effect.
type durableResponse struct {
	connection *clientConnection
	number     uint64 // sequence number of the request among the connection's durable requests
}

// write writes the response, if it is still pending.
func (r durableResponse) write(status int, body []byte, retryAfter time.Duration) {
	c := r.connection
	connected := c.frontEnd.connections.Get(c.token) == c
	if !connected || !c.response.pending || c.response.durableCount != r.number {
		return
	}
	c.completeService(httpResponse{
		status:     status,
		body:       body,
		retryAfter: retryAfter,
		served:     status == httpwire.StatusOK,
	})
}

// notDone responds that the job is stored but not done yet.
func (r durableResponse) notDone() {
	r.write(httpwire.StatusAccepted, []byte("the job is kept and not over yet: ask again with the same key\n"), durableRetryAfter)
}

// notStored responds that the job was not stored.
func (r durableResponse) notStored(err error) {
	if errors.Is(err, jobs.ErrIDConflict) {
		r.write(httpwire.StatusUnprocessableContent, []byte("Idempotency-Key belongs to another request\n"), 0)
		return
	}
	r.write(httpwire.StatusServiceUnavailable, []byte(err.Error()+"\n"), durableRetryAfter)
}

// ended responds with the result of a job that has ended. If the job has not ended, because its store is being handed
// over to a successor, it responds that the job is not done yet.
func (r durableResponse) ended(job jobs.Job) {
	switch job.State {
	case jobs.Done:
		r.write(httpwire.StatusOK, job.Result, 0)
	case jobs.Accepted, jobs.Scheduled, jobs.Ready, jobs.Leased, jobs.Started, jobs.Waiting: // the store is being handed over
		r.notDone()
	case jobs.InDoubt:
		r.write(httpwire.StatusConflict, []byte("in doubt, an operator settles it: "+string(job.Reason)+"\n"), 0)
	default:
		r.write(httpwire.StatusBadGateway, []byte(job.State.String()+": "+string(job.Reason)+"\n"), 0)
	}
}
