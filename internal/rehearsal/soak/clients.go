package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// The classes of the requests, as the dispatchers' settings list them.
const (
	classStatusCheck = "status-check"
	classRenewal     = "renewal" // must not be retried

	statusCheckTimeout = 3 * time.Second
	renewalTimeout     = 4 * time.Second
)

// Headers of requests to the dispatcher and of its attempts.
const (
	correlationHeader = "X-Correlation-Id"
	timeLeftHeader    = "X-Time-Left-Ms"
)

const (
	renewalShare = 3                      // one in so many requests is a renewal
	leavingShare = 20                     // one in so many clients closes its connection early,
	maxLeaveTime = 200 * time.Millisecond // within this time
	dialTimeout  = time.Second
)

// clientPlan is what one client is to do.
type clientPlan struct {
	request    request
	leaveAfter time.Duration // the time after which the client closes the connection; 0: it waits for the answer
	slack      time.Duration // how much longer than its timeout and answerSlack it waits
}

// sendRequests sends requests to one dispatcher in an open loop, and waits for all answers.
func (r *run) sendRequests(ctx context.Context, target *daemon, random *rand.Rand) {
	var clients sync.WaitGroup
	defer clients.Wait()
	for number := 0; ; number++ {
		pause := time.Duration(random.ExpFloat64() / r.config.Rate * float64(time.Second))
		if !sleep(ctx, pause) {
			return
		}
		plan := drawClientPlan(fmt.Sprintf("%s-%06d", target.name, number), target, random)
		clients.Go(func() {
			plan.slack = r.slackFor(target)
			r.records.addRequest(plan.execute())
		})
	}
}

// drawClientPlan draws the class of a request, and whether its client leaves early.
func drawClientPlan(id string, target *daemon, random *rand.Rand) clientPlan {
	plan := clientPlan{request: request{id: id, class: classStatusCheck, daemon: target, timeout: statusCheckTimeout}}
	if random.IntN(renewalShare) == 0 {
		plan.request.class = classRenewal
		plan.request.timeout = renewalTimeout
	}
	if random.IntN(leavingShare) == 0 {
		plan.leaveAfter = time.Duration(random.Int64N(int64(maxLeaveTime)))
	}
	return plan
}

// execute sends the request on a connection of its own and returns it with what the client observed.
func (p *clientPlan) execute() request {
	sent := p.request
	conn, err := net.DialTimeout("tcp", sent.daemon.address, dialTimeout)
	if err != nil {
		sent.sentAt = time.Now()
		return sent
	}
	defer conn.Close()
	sent.sentAt = time.Now()
	writeRequest(conn, &sent)
	conn.SetReadDeadline(time.Now().Add(p.waitTime()))
	status, err := readStatus(conn)
	switch {
	case err == nil:
		sent.status = status
		sent.answeredAt = time.Now()
	case p.leaveAfter > 0:
		conn.Close()
		sent.clientLeftAt = time.Now()
	}
	return sent
}

// waitTime is how long the client waits for an answer. A client that does not leave early waits
// longer than the rules allow, so that late and missing answers are reported as what they are.
func (p *clientPlan) waitTime() time.Duration {
	if p.leaveAfter > 0 {
		return p.leaveAfter
	}
	return p.request.timeout + 4*answerSlack + p.slack
}

// writeRequest writes a request; readStatus notices a failure.
func writeRequest(conn net.Conn, sent *request) {
	const body = "job"
	fmt.Fprintf(conn, "POST /%s/key HTTP/1.1\r\nHost: d\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		sent.class, correlationHeader, sent.id, timeLeftHeader, sent.timeout.Milliseconds(), len(body), body)
}

// readStatus reads an answer to its end and returns its status.
func readStatus(conn net.Conn) (int, error) {
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	_, err = io.ReadAll(answer.Body)
	return answer.StatusCode, err
}

// sleep waits. It reports false if ctx ended first.
func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}
