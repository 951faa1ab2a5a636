package faktory

import (
	"fmt"
	"slices"
	"strings"

	"hollyyoke.example/hollyyoke/internal/jobs"
)

// Operations of QUEUE.
const (
	queuePause  = "PAUSE"
	queueResume = "RESUME"
	queueRemove = "REMOVE"
	allQueues   = "*" // stands for all durable queues
)

// handleQueue handles QUEUE PAUSE, RESUME and REMOVE.
func (c *connection) handleQueue(rest []byte) {
	fields := strings.Fields(string(rest))
	if len(fields) < 2 {
		c.writeLine(replyMalformed + "QUEUE: PAUSE, RESUME or REMOVE, and queues")
		return
	}
	operation := strings.ToUpper(fields[0])
	if !slices.Contains([]string{queuePause, queueResume, queueRemove}, operation) {
		c.writeLine(replyMalformed + "QUEUE: PAUSE, RESUME or REMOVE")
		return
	}
	names, err := c.server.durableQueueNames(fields[1:])
	if err != nil {
		c.writeLine(replyUnknown + err.Error())
		return
	}
	if operation != queueRemove {
		c.pauseQueues(names, operation == queuePause)
		return
	}
	c.discardAll("QUEUE REMOVE", func(job jobs.Job) bool {
		return job.State == jobs.Ready && slices.Contains(names, job.Class)
	})
}

// durableQueueNames checks that all queues are durable and returns their names. It
// replaces "*" by all durable queues, and then sorts the names collected so far.
func (s *Server) durableQueueNames(queues []string) (names []string, err error) {
	for _, queue := range queues {
		if queue == allQueues {
			names = append(names, s.allDurableQueues()...)
			slices.Sort(names)
			continue
		}
		class, known := s.classIndexes[queue]
		if !known || !s.isDurable(class) {
			return nil, fmt.Errorf("queue %s: no durable one", singleLine(fmt.Sprintf("%.*s", maxQuotedLength, queue)))
		}
		names = append(names, queue)
	}
	return names, nil
}

// allDurableQueues returns the names of the durable queues.
func (s *Server) allDurableQueues() (names []string) {
	for name, class := range s.classIndexes {
		if s.isDurable(class) {
			names = append(names, name)
		}
	}
	return names
}

// pauseQueues pauses or resumes queues, and answers once the changes are on disk.
func (c *connection) pauseQueues(names []string, pause bool) {
	reply := c.deferReply()
	if len(names) == 0 {
		reply(replyOK)
		return
	}
	last := len(names) - 1
	for i, name := range names {
		c.server.durable.scheduler.Pause(name, pause, func(err error) {
			if i == last { // changes are stored in order, so all are on disk
				reply(resultReply(err))
			}
		})
	}
}
