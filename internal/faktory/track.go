package faktory

import (
	"encoding/json"
	"time"

	"hollyyoke.example/hollyyoke/internal/jobs"
)

// maxProgressEntries bounds the number of jobs whose progress is remembered.
const maxProgressEntries = 10_000

// Subcommands of TRACK.
const (
	trackGet = "GET"
	trackSet = "SET"
)

// jobProgress is the progress of a job that its worker has reported. It is not
// stored.
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

// trackStateUnknown is the state that TRACK reports for a jid that is not stored.
const trackStateUnknown = "unknown"

// trackStateNames are the names that TRACK uses for states.
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

// handleTrackSet records the progress of a job that the connection's worker holds,
// and extends its lease if the message has a reserve_until.
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
	fence := c.fenceOf(job, message)
	if fence != job.Fence {
		c.writeLine(leaseResultReply(jobs.ErrLeaseVoid))
		return
	}
	now := c.server.dispatcher.Loop.Now()
	until, err := time.Parse(time.RFC3339Nano, message.Until)
	if err == nil {
		queues.Extend(message.Jid, fence, min(time.Duration(until.UnixNano()), now+maxLease))
	}
	if len(queues.progress) >= maxProgressEntries {
		clear(queues.progress) // most are of jobs that were never closed by ACK or FAIL
	}
	queues.progress[message.Jid] = jobProgress{
		Percent:   message.Percent,
		Desc:      message.Desc,
		UpdatedAt: time.Unix(0, int64(now)).UTC().Format(time.RFC3339),
	}
	c.writeLine(replyOK)
}
