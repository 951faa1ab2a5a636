package faktory

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"path"
	"slices"
	"strings"

	"hollyyoke.example/hollyyoke/internal/jobs"
)

// Operations of QUEUE.
const (
	queuePause  = "PAUSE"
	queueResume = "RESUME"
	queueRemove = "REMOVE"
	allQueues   = "*" // in place of a queue: all durable ones
)

// mutateClear is the operation of MUTATE that ignores its filter.
const mutateClear = "clear"

// mutateStates are the states that MUTATE's targets name.
var mutateStates = map[string]jobs.State{
	"scheduled": jobs.Scheduled,
	"retries":   jobs.Waiting,
	"dead":      jobs.Dead,
}

// mutateMoves are the moves that MUTATE's operations make.
var mutateMoves = map[string]jobs.Move{
	mutateClear: jobs.Discard,
	"discard":   jobs.Discard,
	"kill":      jobs.Kill,
	"requeue":   jobs.Requeue,
}

// errInvalidMutation rejects a MUTATE.
var errInvalidMutation = errors.New("cmd is clear, discard, kill or requeue, target is scheduled, retries or dead, regexp has * for any text")

// unknownQueueError rejects a QUEUE command that names no durable queue.
type unknownQueueError struct{ queue string }

func (e *unknownQueueError) Error() string {
	return fmt.Sprintf("queue %s: no durable one", singleLine(fmt.Sprintf("%.*s", maxVerbShown, e.queue)))
}

// handleQueue handles QUEUE PAUSE, RESUME and REMOVE.
func (c *connection) handleQueue(rest []byte) {
	fields := strings.Fields(string(rest))
	if len(fields) < 2 {
		c.writeLine(replyMalformed + "QUEUE: PAUSE, RESUME or REMOVE, and queues")
		return
	}
	names, err := c.server.durableQueueNames(fields[1:])
	if err != nil {
		c.writeLine(replyUnknown + err.Error())
		return
	}
	switch operation := strings.ToUpper(fields[0]); operation {
	case queuePause, queueResume:
		c.pauseQueues(names, operation == queuePause)
	case queueRemove:
		c.discardAll("QUEUE REMOVE", func(job jobs.Job) bool {
			return job.State == jobs.Ready && slices.Contains(names, job.Class)
		})
	default:
		c.deferReply()(replyMalformed + "QUEUE: PAUSE, RESUME or REMOVE")
	}
}

// durableQueueNames checks that all queues are durable. All durable queues take
// the place of "*", in alphabetical order.
func (s *Server) durableQueueNames(queues []string) (names []string, err error) {
	for _, queue := range queues {
		if queue == allQueues {
			for name, class := range s.classNumbers {
				if s.isDurable(class) {
					names = append(names, name)
				}
			}
			slices.Sort(names)
			continue
		}
		class, known := s.classNumbers[queue]
		if !known || !s.isDurable(class) {
			return nil, &unknownQueueError{queue: queue}
		}
		names = append(names, queue)
	}
	return names, nil
}

// pauseQueues pauses or resumes queues, and answers once that is on disk.
func (c *connection) pauseQueues(names []string, pause bool) {
	reply := c.deferReply()
	if len(names) == 0 {
		reply(replyOK)
		return
	}
	last := len(names) - 1
	for i, name := range names {
		c.server.durable.scheduler.Pause(name, pause, func(err error) {
			if i == last { // changes reach the disk in order, so all have
				reply(resultLine(err))
			}
		})
	}
}

// handleMutate handles MUTATE: it moves the jobs of a state that match a filter.
func (c *connection) handleMutate(rest []byte) {
	var message mutateMessage
	err := json.Unmarshal(rest, &message)
	if err != nil {
		c.writeLine(replyMalformed + "MUTATE: " + singleLine(err.Error()))
		return
	}
	state, targetKnown := mutateStates[message.Target]
	move, operationKnown := mutateMoves[message.Cmd]
	_, patternError := path.Match(message.Filter.Regexp, "")
	if !targetKnown || !operationKnown || patternError != nil {
		c.writeLine(replyMalformed + "MUTATE: " + errInvalidMutation.Error())
		return
	}
	reply := c.deferReply()
	queues := c.server.durable
	moveError := queues.moveAll(move, jobs.Reason("MUTATE "+message.Cmd), func(job jobs.Job) bool {
		if job.State != state {
			return false
		}
		return message.Cmd == mutateClear || matchesFilter(job, &message)
	})
	queues.AfterSync(func(err error) {
		if err == nil && moveError != nil {
			err = fmt.Errorf("REFUSED %w", moveError)
		}
		reply(resultLine(err))
	})
}

// matchesFilter reports whether a job matches all parts of the filter that a
// MUTATE gives.
func matchesFilter(job jobs.Job, message *mutateMessage) bool {
	filter := &message.Filter
	if filter.Jobtype != "" {
		var payload work
		json.Unmarshal(job.Payload, &payload) // a job that cannot be read has its class for a type
		if filter.Jobtype != cmp.Or(payload.Jobtype, job.Class) {
			return false
		}
	}
	if filter.Jids != nil && !slices.Contains(filter.Jids, job.ID) {
		return false
	}
	if filter.Regexp == "" {
		return true
	}
	text := strings.ReplaceAll(string(job.Payload), "/", " ") // no * of path.Match matches a slash
	matches, _ := path.Match(filter.Regexp, text)
	return matches
}

// handleFlush handles FLUSH where the operator allows it: all jobs that wait
// are discarded. Those that are leased or in doubt stay.
func (c *connection) handleFlush() {
	if !c.server.durable.flushAllowed {
		c.writeLine(replyError + "REFUSED FLUSH is off here: durable.flush in the operator's file")
		return
	}
	c.discardAll("FLUSH", func(job jobs.Job) bool { return job.State.IsMovable() })
}

// discardAll discards the jobs that match, and answers once that is on disk.
func (c *connection) discardAll(reason jobs.Reason, matches func(jobs.Job) bool) {
	reply := c.deferReply()
	queues := c.server.durable
	queues.moveAll(jobs.Discard, reason, matches)
	queues.AfterSync(func(err error) { reply(resultLine(err)) })
}
