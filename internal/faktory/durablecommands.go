package faktory

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/jobs"
)

// maxProgressEntries bounds the memory of jobs' progress.
const maxProgressEntries = 10_000

// Subcommands of TRACK.
const (
	trackGet = "GET"
	trackSet = "SET"
)

// errBulkDirectQueue rejects a job of PUSHB.
var errBulkDirectQueue = errors.New("its queue is direct, and is answered job by job: PUSH it")

// jobProgress is how far a worker says it is with a job; a restart forgets it.
type jobProgress struct {
	Percent   int    `json:"percent"`
	Desc      string `json:"desc"`
	UpdatedAt string `json:"updated_at"`
}

// trackReply is the JSON of the answer to TRACK GET.
type trackReply struct {
	Jid    string      `json:"jid"`
	State  string      `json:"state"`
	Reason jobs.Reason `json:"why,omitempty"`
	jobProgress
}

// trackStateUnknown is TRACK's name for the state of a jid that is not stored.
const trackStateUnknown = "unknown"

// trackStateNames are TRACK's names of states.
var trackStateNames = map[jobs.State]string{
	jobs.Accepted:  "enqueued",
	jobs.Scheduled: "scheduled",
	jobs.Ready:     "enqueued",
	jobs.Leased:    "working",
	jobs.Started:   "working",
	jobs.Waiting:   "failed",
	jobs.Done:      "success",
	jobs.Dead:      "dead",
	jobs.Discarded: "discarded",
	jobs.InDoubt:   "in doubt",
}

// handleDurableCommand handles the commands that need stored jobs.
func (c *connection) handleDurableCommand(verb string, rest []byte) {
	if c.server.durable == nil {
		c.writeLine(replyError + "Unknown command " + verb + ": no queue is durable here")
		return
	}
	switch verb {
	case commandStart:
		c.handleStart(rest)
	case commandPushBulk:
		c.handlePushBulk(rest)
	case commandQueue:
		c.handleQueue(rest)
	case commandMutate:
		c.handleMutate(rest)
	case commandFlush:
		c.handleFlush()
	case commandTrack:
		c.handleTrack(rest)
	}
}

// bulkPush is a PUSHB of which some jobs are not on disk yet.
type bulkPush struct {
	pending  int               // jobs, and the reading of the list itself
	rejected map[string]string // reasons, by jid
	reply    func(line string)
}

// handlePushBulk stores many jobs at once. The answer lists, by jid, which are
// rejected.
func (c *connection) handlePushBulk(rest []byte) {
	var list []json.RawMessage
	err := json.Unmarshal(rest, &list)
	if err != nil {
		c.writeLine(replyMalformed + "PUSHB: " + singleLine(err.Error()))
		return
	}
	bulk := &bulkPush{pending: 1, rejected: map[string]string{}, reply: c.deferReply()}
	for i, raw := range list {
		c.storeBulkJob(bulk, i, raw)
	}
	bulk.completeOne()
}

// storeBulkJob stores a job of a PUSHB.
func (c *connection) storeBulkJob(bulk *bulkPush, index int, raw []byte) {
	server := c.server
	request, payload, err := parseJob(raw, server.classNumbers, server.dispatcher.Loop.Now())
	if err == nil && !server.isDurable(request.Class) {
		err = errBulkDirectQueue
	}
	id := cmp.Or(request.ID, fmt.Sprintf("[%d]", index))
	if err != nil {
		bulk.rejected[id] = err.Error()
		return
	}
	bulk.pending++
	c.storeJob(request, raw, &payload, func(err error) {
		if err != nil {
			bulk.rejected[id] = err.Error()
		}
		bulk.completeOne()
	})
}

// completeOne answers the PUSHB once nothing of it is pending.
func (b *bulkPush) completeOne() {
	b.pending--
	if b.pending > 0 {
		return
	}
	raw, _ := json.Marshal(b.rejected) // strings always marshal
	bulk := appendBulk(nil, raw)
	b.reply(strings.TrimSuffix(string(bulk), "\r\n")) // reply ends the line
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

// handleTrack handles TRACK GET and TRACK SET.
func (c *connection) handleTrack(rest []byte) {
	verb, rest := parseCommand(rest)
	switch verb {
	case trackGet:
		c.handleTrackGet(string(rest))
	case trackSet:
		c.handleTrackSet(rest)
	default:
		c.writeLine(replyMalformed + "TRACK: GET and a jid, or SET")
	}
}

// handleTrackGet answers with the state and progress of a job.
func (c *connection) handleTrackGet(jid string) {
	queues := c.server.durable
	answer := trackReply{Jid: jid, State: trackStateUnknown, jobProgress: queues.progress[jid]}
	job, known := queues.Get(jid)
	if known {
		answer.State = trackStateNames[job.State]
		answer.Reason = job.Reason
	}
	raw, _ := json.Marshal(answer) // strings and numbers always marshal
	c.writeBulk(raw)
}

// handleTrackSet records the progress of a job, and extends its lease if it
// says until when.
func (c *connection) handleTrackSet(rest []byte) {
	var message word
	err := json.Unmarshal(rest, &message)
	if err != nil {
		c.writeLine(replyMalformed + "TRACK: " + singleLine(err.Error()))
		return
	}
	queues := c.server.durable
	job, known := queues.Get(message.Jid)
	if !known || !job.State.IsHeld() {
		c.writeLine(replyUnknown + "jid: no such job is in work")
		return
	}
	now := c.server.dispatcher.Loop.Now()
	until, err := time.Parse(time.RFC3339Nano, message.Until)
	if err == nil {
		queues.Extend(message.Jid, c.fenceOf(job, message), min(time.Duration(until.UnixNano()), now+maxLease))
	}
	if len(queues.progress) >= maxProgressEntries {
		clear(queues.progress) // of jobs whose workers never closed them
	}
	queues.progress[message.Jid] = jobProgress{
		Percent:   message.Percent,
		Desc:      message.Desc,
		UpdatedAt: time.Unix(0, int64(now)).UTC().Format(time.RFC3339),
	}
	c.writeLine(replyOK)
}
