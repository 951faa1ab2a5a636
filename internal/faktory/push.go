package faktory

import (
	"errors"
	"fmt"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/jobs"
)

// pendingPush is a PUSH of a direct queue that waits for the final result of its
// job.
type pendingPush struct {
	request uint64 // the dispatcher's handle of the request; 0 until Accept has returned
	jid     string
	class   int
}

// handlePush accepts a job. On a direct queue the PUSH is answered with the final
// result of the job, on a durable queue once the job is stored. arrivedAt is the clock
// time at which the kernel had received the command, or 0 if that is not known. release
// frees the buffer of which rest is a part.
func (c *connection) handlePush(rest []byte, arrivedAt time.Duration, release func()) {
	server := c.server
	now := server.dispatcher.Loop.Now()
	job, err := parseJob(rest, server.classIndexes, now)
	isDurable := err == nil && server.isDurable(job.request.Class)
	if job.scheduledAt > 0 && !isDurable {
		err = errScheduledOnDirectQueue
	}
	if err != nil {
		c.writeLine(invalidJobLine(err))
		release()
		return
	}
	job.request.ArrivedAt = server.dispatcher.ArrivalOf(arrivedAt)
	if isDurable {
		reply := c.deferReply()
		c.storeJob(&job, func(err error) { reply(resultReply(err)) })
		release()
		return
	}
	if line := knownJidLine(server.jids.status(job.request.ID)); line != "" {
		c.writeLine(line)
		release()
		return
	}
	if server.buffersExhausted() {
		c.writeLine(memoryExhaustedReply)
		release()
		return
	}
	job.request.Release = release
	c.dispatch(job.request, now)
}

// storeJob stores a job. It calls onStored with nil once the job is on disk, or with
// the error that is sent to its producer.
func (c *connection) storeJob(job *incomingJob, onStored func(error)) {
	server := c.server
	class := &server.dispatcher.Settings.Classes[job.request.Class]
	server.durable.Push(job.durableJob(class), job.scheduledAt, func(err error) {
		switch {
		case err == nil:
			onStored(nil)
		case errors.Is(err, jobs.ErrIDConflict):
			onStored(fmt.Errorf("NOTUNIQUE %w", err))
		default:
			onStored(fmt.Errorf("REFUSED %w; pushing it again is harmless", err))
		}
	})
}

// dispatch passes the job of a direct queue to the dispatcher.
func (c *connection) dispatch(request dispatch.Request, now time.Duration) {
	server := c.server
	server.jids.begin(request.ID, now)
	push := &pendingPush{jid: request.ID, class: request.Class}
	c.push = push
	c.busy = true
	server.gate.Limiter.RequestComplete(now, c.admissionID)
	server.dispatcher.Loop.Clear(&c.deadline)
	handle := server.dispatcher.Accept(server, c.token, request)
	push.request = handle
}

// respond answers the pending PUSH with the final result of its job.
func (c *connection) respond(response dispatch.Response) {
	push := c.push
	c.server.finishJid(push, response)
	c.push = nil
	switch response.Outcome {
	case dispatch.Served:
		c.lastPushServed = true
		c.writeLine(replyOK)
	case dispatch.Rejected:
		c.writeLine(rejectionLine(response.RetryAfter))
	default:
		idempotent := c.server.dispatcher.Settings.Classes[push.class].Idempotency == decision.Idempotent
		c.writeLine(failureLine(response.MayHaveRun, idempotent))
	}
	c.resume()
}

// cancelPush cancels the pending PUSH of a producer whose connection is closed.
func (c *connection) cancelPush() {
	push := c.push
	if push == nil || push.request == 0 {
		return
	}
	c.push = nil
	mayHaveRun := c.server.dispatcher.Cancel(push.request)
	c.server.finishJid(push, dispatch.Response{Outcome: dispatch.Failed, MayHaveRun: mayHaveRun})
}

// invalidJobLine returns the reply to a PUSH whose job cannot be accepted.
func invalidJobLine(err error) string {
	prefix := replyMalformed
	if errors.Is(err, errUnknownClass) || errors.Is(err, errAmbiguousClass) {
		prefix = replyUnknown
	}
	return prefix + singleLine(err.Error())
}

// knownJidLine returns the reply to a PUSH whose job must not run, because a job with
// its jid has run, may have run or is in progress. It is empty if the job may run.
func knownJidLine(status jidStatus) string {
	switch status {
	case jidServed: // the answer to the earlier PUSH was probably lost
		return replyOK
	case jidMayHaveRun:
		return failureLine(true, false)
	case jidInProgress:
		return "-ERR REFUSED this jid is in work, pushing it again is harmless; retry after 1.000 s"
	}
	return ""
}

// rejectionLine returns the reply to a PUSH whose job was rejected. It contains the
// time after which to retry, unless retryAfter is 0.
func rejectionLine(retryAfter time.Duration) string {
	line := "-ERR REFUSED pushing it again is harmless"
	if retryAfter > 0 {
		line += fmt.Sprintf("; retry after %.3f s", retryAfter.Seconds())
	}
	return line
}

// failureLine returns the reply to a PUSH whose job has failed.
func failureLine(mayHaveRun, idempotent bool) string {
	switch {
	case !mayHaveRun:
		return "-ERR FAILED it has not run"
	case idempotent:
		return "-ERR FAILED it may have run; its class may be repeated"
	}
	return "-ERR FAILED it may have run; it will not be run again under this jid"
}
