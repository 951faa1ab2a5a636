package faktory

import (
	"cmp"
	"encoding/json"
	"fmt"
	"strings"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/jobs"
)

// States that a worker reports by BEAT when it wants no more jobs.
const (
	stateQuiet       = "quiet"
	stateTerminate   = "terminate"
	stateTerminating = "terminating"
)

// handleBeat handles BEAT, a worker's heartbeat. A worker that says it is quiet or
// about to terminate drains from now on.
func (c *connection) handleBeat(rest []byte) {
	var message beatMessage
	err := json.Unmarshal(rest, &message)
	if err != nil {
		c.writeLine(replyMalformed + "BEAT: " + singleLine(err.Error()))
		return
	}
	c.writeLine(replyOK)
	if c.worker == nil || !c.worker.isNamed(message.Wid) {
		return // a session speaks for its own worker alone
	}
	if queues := c.server.durable; queues != nil {
		queues.Heartbeat(c.worker.name)
	}
	switch message.State {
	case stateQuiet, stateTerminate, stateTerminating:
		c.worker.drain()
	}
}

// isNamed reports whether a BEAT's wid is the worker's; a BEAT may leave it out.
func (w *registeredWorker) isNamed(wid string) bool {
	return wid == "" || workerNamePrefix+wid == w.name
}

// decodeReport decodes a worker's message about a job, which must name one; else
// it answers the command.
func (c *connection) decodeReport(verb string, rest []byte) (message word, ok bool) {
	err := json.Unmarshal(rest, &message)
	if err != nil || message.Jid == "" {
		c.writeLine(replyMalformed + verb + ": a jid is needed")
		return word{}, false
	}
	return message, true
}

// handleStart handles START, by which a worker that honors fences asks whether
// it may begin a job.
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
		if err != nil { // the worker will not run it
			server.endLease(message.Jid, fence, decision.NotSent)
		}
		reply(leaseResultLine(err))
	})
}

// handleCompletion handles ACK and FAIL: the outcome of a job. For a direct job
// that is not handed out to the connection's worker, or not any more, the answer
// is +OK too.
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

// outcomeOf is the outcome of an attempt whose worker sends ACK or FAIL.
func outcomeOf(verb string) decision.AttemptOutcome {
	if verb == commandAck {
		return decision.Completed
	}
	return decision.Failed
}

// completeDirect ends the attempt of a direct job that is handed out to worker.
// An ACK that comes after the end of the attempt is the proof that the job ran.
// A producer's connection, which has no worker, has no job to report.
func (s *Server) completeDirect(verb string, worker *registeredWorker, jid string) {
	if worker == nil {
		return
	}
	delivery := s.findHandedOut(worker, jid)
	if delivery != nil {
		s.endAttempt(delivery, outcomeOf(verb))
		return
	}
	if verb == commandAck {
		s.jids.confirm(jid, worker.name, s.dispatcher.Loop.Now())
	}
}

// completeDurable handles the ACK or FAIL of a durable job. It is answered once
// the report is on disk. One that does not count changes nothing.
func (c *connection) completeDurable(verb string, job jobs.Job, message word) {
	queues := c.server.durable
	fence := c.fenceOf(job, message)
	reply := c.deferReply()
	onStored := func(err error) { reply(leaseResultLine(err)) }
	if verb == commandAck {
		queues.Ack(message.Jid, fence, nil, onStored)
	} else {
		started := message.Started == nil || *message.Started
		queues.Fail(message.Jid, fence, failureReason(message), started, onStored)
	}
	if fence == job.Fence {
		delete(queues.progress, message.Jid)
	}
	c.server.endLease(message.Jid, fence, outcomeOf(verb))
}

// fenceOf returns the fence of the lease that a message is about: that of the
// message, or else that of the job's newest lease. It is jobs.NoFence for every
// connection but those of the worker that has or had that lease: a fence is a
// small number that a mistaken client can hit, so knowing it proves nothing.
func (c *connection) fenceOf(job jobs.Job, message word) uint64 {
	if c.worker == nil || c.worker.name != job.Worker {
		return jobs.NoFence
	}
	return cmp.Or(message.Fence, job.Fence)
}

// failureReason is what is stored of a FAIL.
func failureReason(message word) jobs.Reason {
	text := strings.TrimPrefix(message.Type+": "+message.Message, ": ")
	return jobs.Reason(cmp.Or(text, "failed"))
}

// leaseResultLine is the reply to a report about a lease.
func leaseResultLine(err error) string {
	if err != nil {
		err = fmt.Errorf("VOID %w", err)
	}
	return resultLine(err)
}
