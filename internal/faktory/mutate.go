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

// mutateClear is the operation of MUTATE that ignores the filter.
const mutateClear = "clear"

// mutateStates are the states of the jobs that each target of MUTATE selects.
var mutateStates = map[string]jobs.State{
	"scheduled": jobs.Scheduled,
	"retries":   jobs.Waiting,
	"dead":      jobs.Dead,
}

// mutateMoves are the moves of the operations of MUTATE.
var mutateMoves = map[string]jobs.Move{
	mutateClear: jobs.Discard,
	"discard":   jobs.Discard,
	"kill":      jobs.Kill,
	"requeue":   jobs.Requeue,
}

// errInvalidMutation rejects a MUTATE whose operation, target or pattern is
// invalid.
var errInvalidMutation = errors.New("cmd is clear, discard, kill or requeue, target is scheduled, retries or dead, regexp has * for any text")

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
	candidates := queues.jobsThat(func(job jobs.Job) bool { return job.State == state })
	matches := func(job jobs.Job) bool { return message.Cmd == mutateClear || matchesFilter(job, &message) }
	queues.Select(candidates, matches, func(jids []string) {
		moveError := queues.moveAll(move, jobs.Reason("MUTATE "+message.Cmd), jids)
		queues.AfterSync(func(err error) {
			if err == nil && moveError != nil {
				err = fmt.Errorf("REFUSED %w", moveError)
			}
			reply(resultReply(err))
		})
	})
}

// matchesFilter reports whether a job matches all fields that are set in the
// filter of a MUTATE.
func matchesFilter(job jobs.Job, message *mutateMessage) bool {
	filter := &message.Filter
	if filter.Jobtype != "" {
		var payload work
		json.Unmarshal(job.Payload, &payload) // if this fails, the class is used as the job's type
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
	text := strings.ReplaceAll(string(job.Payload), "/", " ") // the * of path.Match does not match a slash
	matches, _ := path.Match(filter.Regexp, text)
	return matches
}

// handleFlush handles FLUSH, if the operator allows it: all jobs that wait or are
// dead are discarded. Those that are leased or in doubt stay.
func (c *connection) handleFlush() {
	if !c.server.durable.flushAllowed {
		c.writeLine(replyError + "REFUSED FLUSH is off here: durable.flush in the operator's file")
		return
	}
	c.discardAll("FLUSH", func(job jobs.Job) bool { return job.State.IsMovable() })
}

// discardAll discards the jobs that match, and answers once the changes are on
// disk.
func (c *connection) discardAll(reason jobs.Reason, matches func(jobs.Job) bool) {
	reply := c.deferReply()
	queues := c.server.durable
	var jids []string
	for _, job := range queues.jobsThat(matches) {
		jids = append(jids, job.ID)
	}
	queues.moveAll(jobs.Discard, reason, jids)
	queues.AfterSync(func(err error) { reply(resultReply(err)) })
}

// jobsThat lists the jobs that match.
func (q *durableQueues) jobsThat(match func(jobs.Job) bool) (list []jobs.Job) {
	q.Each(func(job jobs.Job) {
		if match(job) {
			list = append(list, job)
		}
	})
	return list
}

// moveAll moves jobs. If some cannot be moved, it returns the last error.
func (q *durableQueues) moveAll(move jobs.Move, reason jobs.Reason, jids []string) (lastError error) {
	for _, jid := range jids {
		err := q.Move(jid, move, reason, false)
		if err != nil {
			lastError = err
		}
	}
	return lastError
}
