package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// This file has the clients of the dispatchers with durable queues that take more than their share, and the producers of
// direct queues.

const (
	directProducers = 4
	directWorkers   = 4
	maxDirectRun    = 150 * time.Millisecond // longest run time of a direct job

	unrulyPause     = 300 * time.Millisecond // between two unruly clients of a queue
	halfPushBytes   = 60_000
	halfPushStay    = 500 * time.Millisecond
	floodTime       = 100 * time.Millisecond
	floodCommands   = 200 // written at once
	pipelinedPushes = 20
	pipelinedStay   = 10 * time.Millisecond
	largePushes     = 10 // of halfPushBytes each

	// clientTimeLimitSlack is by how much time limits on sockets are longer.
	clientTimeLimitSlack = 50 * time.Millisecond
)

// directPush is a PUSH to a direct queue, as its producer has seen it.
type directPush struct {
	jid      string
	sentAt   time.Time
	endedAt  time.Time
	answered bool
}

// directJobs holds what the producers and workers of a direct queue have seen.
type directJobs struct {
	mutex  sync.Mutex
	pushes []directPush
	runs   map[string]int // by jid
}

// runDirectProducer pushes status-checks to a direct queue one after the other on connections that it keeps, until ctx
// ends.
func (q *durableQueue) runDirectProducer(ctx context.Context, producer int) {
	for number := 0; ctx.Err() == nil; {
		conn := q.connect(ctx, "")
		for conn != nil && ctx.Err() == nil {
			number++
			push := directPush{jid: fmt.Sprintf("%s-d%d-%05d", q.name, producer, number), sentAt: time.Now()}
			_, err := conn.do(fmt.Sprintf(`PUSH {"jid":%q,"queue":%q,"jobtype":"x","args":[1]}`, push.jid, classStatusCheck))
			push.endedAt = time.Now()
			push.answered = err == nil
			q.direct.mutex.Lock()
			q.direct.pushes = append(q.direct.pushes, push)
			q.direct.mutex.Unlock()
			if err != nil {
				break
			}
		}
		if conn != nil {
			conn.close()
		}
	}
}

// runDirectWorker fetches and runs jobs of the direct queue until ctx ends.
func (q *durableQueue) runDirectWorker(ctx context.Context, wid string, random *rand.Rand) {
	for ctx.Err() == nil {
		conn := q.connect(ctx, wid)
		if conn == nil {
			return
		}
		for ctx.Err() == nil {
			job, found, err := conn.fetch(classStatusCheck)
			if err != nil {
				break
			}
			if !found {
				continue
			}
			q.direct.mutex.Lock()
			q.direct.runs[job.Jid]++
			q.direct.mutex.Unlock()
			time.Sleep(time.Duration(random.Int64N(int64(maxDirectRun))))
			if _, err := conn.do(fmt.Sprintf(`ACK {"jid":%q}`, job.Jid)); err != nil {
				break
			}
		}
		conn.close()
	}
}

// directViolations describes each job of the direct queue that was run and has no reply, unless its dispatcher was killed
// meanwhile. A kill after SIGTERM excuses only a PUSH that arrived within readAfterTerm.
func (q *durableQueue) directViolations() (found []string) {
	for _, push := range q.direct.pushes {
		if push.answered || q.direct.runs[push.jid] == 0 || q.wasKilled(push.sentAt, push.endedAt) {
			continue
		}
		killed, wasKilled := q.killedAfterTerm(push.sentAt, push.endedAt.Add(clientTimeLimitSlack))
		if wasKilled && push.sentAt.Sub(killed.terminatedAt) <= readAfterTerm+clientTimeLimitSlack {
			continue
		}
		found = append(found, fmt.Sprintf("%s: %s was run and has no reply; it was sent %v after the last SIGTERM",
			ruleLost, push.jid, push.sentAt.Sub(killed.terminatedAt)))
	}
	return found
}

// runUnrulyClients runs clients of the queue until ctx ends that stop half way through a command, send unsound commands at
// full speed without reading, leave over unread commands, or push large jobs.
func (q *durableQueue) runUnrulyClients(ctx context.Context, random *rand.Rand) {
	plays := []func(conn *faktoryConn, number int){q.stopHalfWay, q.flood, q.leaveOverUnread, q.pushLarge}
	for number := 0; sleep(ctx, unrulyPause); number++ {
		conn := q.connect(ctx, "")
		if conn == nil {
			return
		}
		conn.conn.SetDeadline(time.Now().Add(faktoryTimeout))
		plays[random.IntN(len(plays))](conn, number)
		conn.close()
	}
}

// unrulyPush returns the PUSH of a job whose arguments have a size.
func (q *durableQueue) unrulyPush(number, part, size int) string {
	jid := fmt.Sprintf("%s-u%05d-%02d", q.name, number, part)
	q.recordPush(jid)
	return fmt.Sprintf("PUSH {\"jid\":%q,\"queue\":%q,\"jobtype\":\"x\",\"args\":[%q]}\r\n", jid, classRenewal, strings.Repeat("a", size))
}

func (q *durableQueue) stopHalfWay(conn *faktoryConn, number int) {
	command := q.unrulyPush(number, 0, halfPushBytes)
	io.WriteString(conn.conn, command[:len(command)/2])
	time.Sleep(halfPushStay)
}

func (q *durableQueue) flood(conn *faktoryConn, number int) {
	commands := strings.Repeat(fmt.Sprintf("WHAT%d {}\r\n", number), floodCommands)
	for end := time.Now().Add(floodTime); time.Now().Before(end); {
		if _, err := io.WriteString(conn.conn, commands); err != nil {
			return
		}
	}
}

func (q *durableQueue) leaveOverUnread(conn *faktoryConn, number int) {
	var commands strings.Builder
	for part := range pipelinedPushes {
		commands.WriteString(q.unrulyPush(number, part, 1))
	}
	io.WriteString(conn.conn, commands.String())
	time.Sleep(pipelinedStay)
}

func (q *durableQueue) pushLarge(conn *faktoryConn, number int) {
	for part := range largePushes {
		command := q.unrulyPush(number, part, halfPushBytes)
		if _, err := conn.do(strings.TrimSuffix(command, "\r\n")); err != nil {
			return
		}
	}
}
