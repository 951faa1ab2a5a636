package faktory

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// errBulkDirectQueue rejects a job of PUSHB.
var errBulkDirectQueue = errors.New("its queue is direct, and is answered job by job: PUSH it")

// bulkPush is a PUSHB that is not answered yet.
type bulkPush struct {
	pending  int               // jobs that are not on disk yet, and 1 until all jobs of the list have been read
	rejected map[string]string // reasons, by jid, or by index in brackets where no valid jid of a job could be read
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

// completeOne answers the PUSHB once nothing of it is pending.
func (b *bulkPush) completeOne() {
	b.pending--
	if b.pending > 0 {
		return
	}
	raw, _ := json.Marshal(b.rejected) // strings always marshal
	answer := appendBulk(nil, raw)
	b.reply(strings.TrimSuffix(string(answer), "\r\n")) // reply ends the line
}
