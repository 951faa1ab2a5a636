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

const (
	renewalShare = 3                      // one in so many requests is a renewal
	leavingShare = 20                     // one in so many clients closes its connection early,
	maxLeaveTime = 200 * time.Millisecond // within this time
	dialTimeout  = time.Second
)

// sendRequests sends requests to one dispatcher in an open loop, and waits for all answers.
func (r *run) sendRequests(ctx context.Context, d *daemon, random *rand.Rand) {
	var open sync.WaitGroup
	defer open.Wait()
	for n := 0; ; n++ {
		pause := time.Duration(random.ExpFloat64() / r.Rate * float64(time.Second))
		if !sleep(ctx, pause) {
			return
		}
		q := request{id: fmt.Sprintf("%s-%06d", d.name, n), class: classStatusCheck, daemon: d, timeout: statusCheckTimeout}
		if random.IntN(renewalShare) == 0 {
			q.class = classRenewal
			q.timeout = renewalTimeout
		}
		leaveAfter := time.Duration(0)
		if random.IntN(leavingShare) == 0 {
			leaveAfter = time.Duration(random.Int64N(int64(maxLeaveTime)))
		}
		open.Add(1)
		go func() {
			defer open.Done()
			r.records.addRequest(sendRequest(q, leaveAfter, r.slackFor(d)))
		}()
	}
}

// sendRequest sends one request on a connection of its own and returns it with its answer.
// leaveAfter is the time after which its client closes the connection; 0: it waits.
func sendRequest(q request, leaveAfter, slack time.Duration) request {
	conn, err := net.DialTimeout("tcp", q.daemon.addr, dialTimeout)
	if err != nil {
		q.sent = time.Now()
		return q
	}
	defer conn.Close()
	const body = "job"
	q.sent = time.Now()
	fmt.Fprintf(conn, "POST /%s/key HTTP/1.1\r\nHost: d\r\nX-Correlation-Id: %s\r\nX-Time-Left-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		q.class, q.id, q.timeout.Milliseconds(), len(body), body)
	if leaveAfter > 0 {
		conn.SetReadDeadline(time.Now().Add(leaveAfter))
	} else {
		conn.SetReadDeadline(time.Now().Add(q.timeout + 4*answerSlack + slack))
	}
	status, err := readStatus(conn)
	switch {
	case err == nil:
		q.status = status
		q.answered = time.Now()
	case leaveAfter > 0:
		conn.Close()
		q.clientLeft = time.Now()
	}
	return q
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
