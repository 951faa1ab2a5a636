package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	keyedClients      = 12 // of the durable queue whose process is replaced, in an ordinary run
	keyedCrowdClients = 80 // in a run with a crowd
	keyedCrowdShare   = 4  // one even seed in this many has a crowd

	maxKeyedPause = 400 * time.Millisecond // between two requests of a client
	askAgainShare = 2                      // one client in this many asks again with its key until its job has ended

	// crossingTime is how long after a request the close of its connection may have crossed it.
	crossingTime = 500 * time.Millisecond
)

// keyedTimeouts are the times that clients of requests with keys wait.
var keyedTimeouts = []time.Duration{renewalTimeout, 2 * time.Second, 600 * time.Millisecond, 30 * time.Millisecond}

// keyedRequest is a renewal with an idempotency key, and all that its client has sent of it.
type keyedRequest struct {
	key  string
	sent []request
}

// jid returns the id of the job of the request.
func (k *keyedRequest) jid() string { return "idem:" + k.key }

// hasStatus reports whether any of the statuses was the response to any of the sent requests.
func (k *keyedRequest) hasStatus(statuses ...int) bool {
	for i := range k.sent {
		for _, status := range statuses {
			if k.sent[i].status == status {
				return true
			}
		}
	}
	return false
}

// accepted reports whether a response has said that the job is stored.
func (k *keyedRequest) accepted() bool { return k.hasStatus(http.StatusOK, http.StatusAccepted) }

// refused reports whether each response has said that nothing was stored.
func (k *keyedRequest) refused() bool {
	for i := range k.sent {
		if k.sent[i].status != http.StatusServiceUnavailable {
			return false
		}
	}
	return len(k.sent) > 0
}

// runKeyedClients runs the HTTP clients of a durable queue whose process is replaced, until ctx ends.
func (r *run) runKeyedClients(ctx context.Context, queue *durableQueue, random *rand.Rand) {
	count := keyedClients
	if r.config.Seed/2%keyedCrowdShare == 0 {
		count = keyedCrowdClients
	}
	var clients sync.WaitGroup
	for number := range count {
		client := keyedClient{
			queue:    queue,
			idPrefix: fmt.Sprintf("%s%s-k%02d", r.idPrefix, queue.name, number),
			random:   rand.New(rand.NewPCG(random.Uint64(), random.Uint64())),
		}
		clients.Go(func() { client.run(ctx) })
	}
	clients.Wait()
}

// keyedClient sends requests with keys, one after the other, and uses its connection for as long as that stays open.
type keyedClient struct {
	queue    *durableQueue
	idPrefix string
	random   *rand.Rand
	conn     *clientConnection // nil if there is none
	sends    int
}

// run sends requests until ctx ends.
func (c *keyedClient) run(ctx context.Context) {
	defer c.closeConnection()
	pause := func() time.Duration { return time.Duration(c.random.Int64N(int64(maxKeyedPause))) }
	for number := 0; sleep(ctx, pause()); number++ {
		keyed := keyedRequest{key: fmt.Sprintf("%s-%05d", c.idPrefix, number)}
		timeout := keyedTimeouts[c.random.IntN(len(keyedTimeouts))]
		asksAgain := c.random.IntN(askAgainShare) == 0
		for {
			sent, connected := c.send(keyed.key, timeout)
			if !connected {
				break
			}
			keyed.sent = append(keyed.sent, sent)
			if !needsRepeat(&sent, asksAgain) || !sleep(ctx, retryPause) {
				break
			}
		}
		c.queue.recordKeyed(keyed)
	}
}

// needsRepeat reports whether a client sends its request again after a response, or the lack of one.
func needsRepeat(sent *request, asksAgain bool) bool {
	switch sent.status {
	case 0, http.StatusBadGateway: // the client doesn't know whether its job is stored
		return true
	case http.StatusAccepted, http.StatusServiceUnavailable:
		return asksAgain
	}
	return false
}

// send sends a request with a key on the client's connection, or on a new one if that has been closed.
func (c *keyedClient) send(key string, timeout time.Duration) (sent request, connected bool) {
	if c.conn != nil && !c.conn.isOpen() {
		c.closeConnection()
	}
	if c.conn == nil {
		conn, err := dialClient(c.queue.daemon)
		if err != nil {
			return sent, false
		}
		c.conn = conn
	}
	c.sends++
	sent = request{
		id:             fmt.Sprintf("%s-s%05d", c.idPrefix, c.sends),
		class:          classRenewal,
		daemon:         c.queue.daemon,
		timeout:        timeout,
		idempotencyKey: key,
	}
	c.conn.exchange(&sent, timeout+answerSlack+extraAnswerWait)
	if c.conn.isClosed() {
		c.conn = nil
	}
	return sent, true
}

func (c *keyedClient) closeConnection() {
	if c.conn != nil {
		c.conn.close()
		c.conn = nil
	}
}

// recordKeyed records a request with a key. Its job counts as pushed, and as accepted if a response has said so.
func (q *durableQueue) recordKeyed(keyed keyedRequest) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.keyed = append(q.keyed, keyed)
	q.pushed = append(q.pushed, keyed.jid())
	if keyed.accepted() {
		q.accepted[keyed.jid()] = true
	}
}

// checkKeyed checks the requests with keys to a durable queue. That accepted ones are stored and run is checked with the
// other jobs of the queue.
func (c *ruleChecker) checkKeyed(queue *durableQueue) {
	c.report.Keyed += len(queue.keyed)
	for i := range queue.keyed {
		keyed := &queue.keyed[i]
		for number := range keyed.sent {
			c.checkKeyedSend(keyed, &keyed.sent[number])
		}
		if !keyed.refused() {
			continue
		}
		c.report.KeyedRefused++
		if state := queue.stateOf(keyed.jid()); state != "unknown" || queue.runs[keyed.jid()] > 0 {
			c.addViolation(ruleLost, keyed.sent[0].sentAt, "%s was answered with 503 each time, and is %q and ran %d times",
				keyed.jid(), state, queue.runs[keyed.jid()])
		}
	}
}

// checkKeyedSend checks that a request with a key has a whole answer in time, unless the close of its connection has
// crossed it.
func (c *ruleChecker) checkKeyedSend(keyed *keyedRequest, sent *request) {
	latest := sent.sentAt.Add(sent.timeout + answerSlack)
	switch {
	case sent.status != 0 && c.exceeds(sent.answeredAt.Sub(latest), sent.daemon, sent.sentAt, sent.answeredAt):
		c.addViolation(ruleLost, sent.sentAt, "%s, %v left, was answered with %d after %v",
			keyed.jid(), sent.timeout, sent.status, sent.answeredAt.Sub(sent.sentAt))
	case sent.status != 0:
		c.checkKeyedStatus(keyed, sent)
	case sent.closedAt.IsZero():
		c.addViolation(ruleLost, sent.sentAt, "%s, %v left, has no answer", keyed.jid(), sent.timeout)
	case !sent.reusedConnection || c.exceeds(sent.closedAt.Sub(sent.sentAt)-crossingTime, sent.daemon, sent.sentAt, sent.closedAt):
		c.addViolation(ruleLost, sent.sentAt, "%s, %v left, was closed with no answer after %v, on a connection that was used before: %v",
			keyed.jid(), sent.timeout, sent.closedAt.Sub(sent.sentAt), sent.reusedConnection)
	default:
		c.report.CrossedClose++
	}
}

// checkKeyedStatus checks that a response is one that a request with a key may get.
func (c *ruleChecker) checkKeyedStatus(keyed *keyedRequest, sent *request) {
	switch sent.status {
	case http.StatusOK, http.StatusAccepted, http.StatusConflict, http.StatusBadGateway, http.StatusServiceUnavailable:
	default:
		c.addViolation(ruleLost, sent.sentAt, "%s was answered with %d", keyed.jid(), sent.status)
	}
}
