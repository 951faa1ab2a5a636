package faktory

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/durable"
	"hollyyoke.example/hollyyoke/internal/jobs"
)

// States in a worker's BEAT which mean that it takes no more jobs.
const (
	stateQuiet       = "quiet"
	stateTerminate   = "terminate"
	stateTerminating = "terminating"
)

// handleBeat handles BEAT, a worker's heartbeat. It renews the worker's leases. A
// worker that is quiet or terminating drains from now on.
func (c *connection) handleBeat(rest []byte) {
	var message beatMessage
	err := json.Unmarshal(rest, &message)
	if err != nil {
		c.writeLine(replyMalformed + "BEAT: " + singleLine(err.Error()))
		return
	}
	c.writeLine(replyOK)
	if c.worker == nil || !c.worker.isNamed(message.Wid) {
		return // a connection can only report for its own worker
	}
	if queues := c.server.durable; queues != nil {
		queues.Heartbeat(c.worker.name)
	}
	switch message.State {
	case stateQuiet, stateTerminate, stateTerminating:
		c.worker.drain()
	}
}

// isNamed reports whether the wid of a BEAT is the worker's or was left out.
func (w *registeredWorker) isNamed(wid string) bool {
	return wid == "" || workerNamePrefix+wid == w.name
}

// decodeReport decodes a worker's message about a job. If it is invalid or has no
// jid, decodeReport replies with an error and returns false.
func (c *connection) decodeReport(verb string, rest []byte) (message word, ok bool) {
	err := json.Unmarshal(rest, &message)
	if err != nil || message.Jid == "" {
		c.writeLine(replyMalformed + verb + ": a jid is needed")
		return word{}, false
	}
	return message, true
}

// handleStart handles START, with which a worker that honors fences asks whether it
// may start a job.
func (c *connection) handleStart(rest []byte) {
	message, ok := c.decodeReport(commandStart, rest)
	if !ok {
		return
	}
	server := c.server
	job, known := server.durable.Get(message.Jid)
	if !known {
		c.writeLine(replyError + "VOID no such job")
		return
	}
	fence := c.fenceOf(job, message)
	reply := c.deferReply()
	server.durable.StartJob(message.Jid, fence, func(err error) {
		if err != nil { // the worker will not run the job
			server.endAttemptUnderLease(message.Jid, fence, decision.NotSent)
		}
		reply(leaseResultReply(err))
	})
}

// handleCompletion handles ACK and FAIL, which report the result of a job. The reply
// about a direct job is +OK even if the job is not, or no longer, handed out to the
// connection's worker.
func (c *connection) handleCompletion(verb string, rest []byte) {
	message, ok := c.decodeReport(verb, rest)
	if !ok {
		return
	}
	if queues := c.server.durable; queues != nil {
		job, known := queues.Get(message.Jid)
		if known {
			c.completeDurable(verb, job, message)
			return
		}
	}
	c.writeLine(replyOK)
	c.server.completeDirect(verb, c.worker, message.Jid)
}

// outcomeOfVerb returns the outcome of an attempt whose worker sends ACK or FAIL.
func outcomeOfVerb(verb string) decision.AttemptOutcome {
	if verb == commandAck {
		return decision.Completed
	}
	return decision.Failed
}

// completeDirect ends the attempt of a direct job that was handed out to worker.
// An ACK after the end of the attempt proves that the job ran. A report on the
// connection of a producer, which has no worker, is ignored.
func (s *Server) completeDirect(verb string, worker *registeredWorker, jid string) {
	if worker == nil {
		return
	}
	delivery := s.findHandedOut(worker, jid)
	if delivery != nil {
		s.endAttempt(delivery, outcomeOfVerb(verb))
		return
	}
	if verb == commandAck {
		s.jids.confirm(jid, worker.name, s.dispatcher.Loop.Now())
	}
}

// completeDurable handles the ACK or FAIL of a durable job. The reply is sent once
// the change is on disk. A rejected report does not change the job.
func (c *connection) completeDurable(verb string, job jobs.Job, message word) {
	queues := c.server.durable
	fence := c.fenceOf(job, message)
	reply := c.deferReply()
	onStored := func(err error) { reply(leaseResultReply(err)) }
	if verb == commandAck {
		queues.Ack(message.Jid, fence, nil, onStored)
	} else {
		started := message.Started == nil || *message.Started
		queues.Fail(message.Jid, fence, failureReason(message), started, onStored)
	}
	if fence == job.Fence {
		delete(queues.progress, message.Jid)
	}
	c.server.endAttemptUnderLease(message.Jid, fence, outcomeOfVerb(verb))
}

// fenceOf returns the fence of the lease that a message is about: the fence in the message, or else
// that of the job's newest lease. It returns jobs.NoFence unless the connection is one of the
// worker that holds or held that lease: fences are small numbers that a faulty client can send by
// chance, so the right fence alone does not prove that a report comes from that worker.
func (c *connection) fenceOf(job jobs.Job, message word) uint64 {
	if c.worker == nil || c.worker.name != job.Worker {
		return jobs.NoFence
	}
	return cmp.Or(message.Fence, job.Fence)
}

// failureReason returns the reason that is stored for a FAIL.
func failureReason(message word) jobs.Reason {
	text := strings.TrimPrefix(message.Type+": "+message.Message, ": ")
	return jobs.Reason(cmp.Or(text, "failed"))
}

// leaseResultReply returns the reply to a report about a lease: +OK, -ERR REFUSED if the
// report has to be sent again, since it is not or may not be stored, or else -ERR VOID and
// the text of err.
func leaseResultReply(err error) string {
	var notStored *jobs.NotStoredError
	switch {
	case err == nil:
	case errors.As(err, &notStored), errors.Is(err, durable.ErrUnconfirmed):
		err = fmt.Errorf("REFUSED %w; report it again", err)
	default:
		err = fmt.Errorf("VOID %w", err)
	}
	return resultReply(err)
}
