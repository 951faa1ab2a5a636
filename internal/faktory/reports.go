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

// handleBeat takes a worker's heartbeat. A worker that says it is quiet or
// about to terminate drains from now on.
func (c *connection) handleBeat(rest []byte) {
	var message beatMessage
	err := json.Unmarshal(rest, &message)
	if err != nil {
		c.writeLine(replyMalformed + "BEAT: " + singleLine(err.Error()))
		return
	}
	name := workerNamePrefix + message.Wid
	worker := c.server.workers[name]
	if worker == nil {
		worker = c.worker
	}
	if queues := c.server.durable; queues != nil {
		if message.Wid == "" && c.worker != nil {
			name = c.worker.name
		}
		queues.Heartbeat(name)
	}
	c.writeLine(replyOK)
	if worker == nil {
		return
	}
	switch message.State {
	case stateQuiet, stateTerminate, stateTerminating:
		worker.drain(c.server)
	}
}

// handleStart handles START, by which a worker that honors fences asks whether
// it may begin a job.
func (c *connection) handleStart(rest []byte) {
	var message word
	err := json.Unmarshal(rest, &message)
	if err != nil || message.Jid == "" {
		c.writeLine(replyMalformed + "START: a jid is needed")
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

// handleCompletion takes an ACK or a FAIL: the outcome of a job. One for a job
// that is not handed out, or not any more, changes no answer and is accepted
// all the same.
func (c *connection) handleCompletion(verb string, rest []byte) {
	var message word
	err := json.Unmarshal(rest, &message)
	if err != nil || message.Jid == "" {
		c.writeLine(replyMalformed + verb + ": a jid is needed")
		return
	}
	server := c.server
	if server.durable != nil {
		job, known := server.durable.Get(message.Jid)
		if known {
			c.completeDurable(verb, job, message)
			return
		}
	}
	c.writeLine(replyOK)
	delivery := server.findHandedOut(c.worker, message.Jid)
	if delivery == nil {
		if verb == commandAck {
			server.jids.confirm(message.Jid, server.dispatcher.Loop.Now())
		}
		return
	}
	outcome := decision.Completed
	if verb == commandFail {
		outcome = decision.Failed
	}
	server.endAttempt(delivery, outcome)
}

// completeDurable handles the ACK or FAIL of a durable job.
func (c *connection) completeDurable(verb string, job jobs.Job, message word) {
	server := c.server
	fence := c.fenceOf(job, message)
	reply := c.deferReply()
	onStored := func(err error) { reply(leaseResultLine(err)) }
	outcome := decision.Completed
	if verb == commandAck {
		server.durable.Ack(message.Jid, fence, nil, onStored)
	} else {
		outcome = decision.Failed
		started := message.Started == nil || *message.Started
		server.durable.Fail(message.Jid, fence, failureReason(message), started, onStored)
	}
	delete(server.durable.progress, message.Jid)
	server.endLease(message.Jid, fence, outcome)
}

// fenceOf returns the fence of the lease that a worker's message is about.
// Without a fence in the message it is the lease that the connection's worker
// holds, or held last; no message counts for the lease of another worker.
func (c *connection) fenceOf(job jobs.Job, message word) uint64 {
	if message.Fence == 0 && c.worker != nil && c.worker.name == job.Worker {
		return job.Fence
	}
	return message.Fence
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
