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

// jobsPerTurn is how many jobs of a PUSHB are handled before the event loop handles other events.
const jobsPerTurn = 16

// bulkPush is a PUSHB that is not answered yet.
type bulkPush struct {
	connection *connection
	list       []json.RawMessage
	next       int               // index in list of the first job that has not been handled
	pending    int               // jobs that are not on disk yet, plus 1 until the whole list has been handled
	rejected   map[string]string // reasons, by jid, or by index in brackets if a job has no valid jid
	reply      func(line string)
}

// bulkTurns handles the PUSHBs of all connections in turn, some jobs at a time, so that neither other connections nor
// other PUSHBs wait for a long one.
type bulkTurns struct {
	queue  []*bulkPush
	posted bool // takeTurn is in the loop's queue
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
	bulk := &bulkPush{connection: c, list: list, pending: 1, rejected: map[string]string{}, reply: c.deferReply()}
	c.server.bulkTurns.queue = append(c.server.bulkTurns.queue, bulk)
	c.server.postBulkTurn()
}

// postBulkTurn posts takeBulkTurn to the loop, unless it is already posted or there is nothing to do.
func (s *Server) postBulkTurn() {
	turns := &s.bulkTurns
	if turns.posted || len(turns.queue) == 0 {
		return
	}
	turns.posted = true
	s.dispatcher.Loop.Post(s.takeBulkTurn)
}

// takeBulkTurn handles some jobs of the first PUSHB, and puts it behind the others if there are more. The rest of a PUSHB
// whose client has left is dropped.
func (s *Server) takeBulkTurn() {
	turns := &s.bulkTurns
	turns.posted = false
	bulk := turns.queue[0]
	turns.queue = turns.queue[1:]
	for range jobsPerTurn {
		if bulk.next == len(bulk.list) || bulk.connection.closed {
			break
		}
		bulk.connection.storeBulkJob(bulk, bulk.next, bulk.list[bulk.next])
		bulk.next++
	}
	if bulk.next == len(bulk.list) {
		bulk.completeOne()
	} else if !bulk.connection.closed {
		turns.queue = append(turns.queue, bulk)
	}
	s.postBulkTurn()
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
