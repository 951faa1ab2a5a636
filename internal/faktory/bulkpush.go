package faktory

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// errBulkDirectQueue rejects a job of PUSHB whose queue is direct.
var errBulkDirectQueue = errors.New("its queue is direct, and is answered job by job: PUSH it")

// bulkPush is a PUSHB that is not answered yet.
type bulkPush struct {
	pending  int               // jobs that are not on disk yet, plus 1 until the whole list has been read
	rejected map[string]string // reasons, by jid, or by index in brackets if a job has no valid jid
	reply    func(line string)
}

// handlePushBulk stores a list of jobs. The answer lists the rejected ones by
// jid.
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

// storeBulkJob stores a job of a PUSHB, or records why it is rejected.
func (c *connection) storeBulkJob(bulk *bulkPush, index int, raw []byte) {
	server := c.server
	job, err := parseJob(raw, server.classIndexes, server.dispatcher.Loop.Now())
	if err == nil && !server.isDurable(job.request.Class) {
		err = errBulkDirectQueue
	}
	id := cmp.Or(job.request.ID, fmt.Sprintf("[%d]", index))
	if err != nil {
		bulk.rejected[id] = err.Error()
		return
	}
	bulk.pending++
	c.storeJob(&job, func(err error) {
		if err != nil {
			bulk.rejected[id] = err.Error()
		}
		bulk.completeOne()
	})
}

// completeOne decreases pending and answers the PUSHB when nothing is pending.
func (b *bulkPush) completeOne() {
	b.pending--
	if b.pending > 0 {
		return
	}
	raw, _ := json.Marshal(b.rejected) // strings always marshal
	answer := appendBulk(nil, raw)
	b.reply(strings.TrimSuffix(string(answer), "\r\n")) // reply appends the line end
}
