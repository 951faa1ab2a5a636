//go:build review

package harness

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Client is a client's connection to the dispatcher.
type Client struct {
	run    *Run
	name   string
	conn   net.Conn
	reader *bufio.Reader
}

// Connect opens a client's connection.
func (r *Run) Connect(name, address string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		r.Log("client %s: cannot connect: %v", name, err)
		return nil, err
	}
	return &Client{run: r, name: name, conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Close closes the connection.
func (c *Client) Close() { c.conn.Close() }

// Answer is a response, or the error in place of one.
type Answer struct {
	Status     int
	Body       string
	RetryAfter string
	Close      bool // the dispatcher closes the connection with the response
	Err        error
	After      time.Duration // since the request was sent
}

// Post sends a job and waits for the answer until the client's time is over, and 0.6 s more.
func (c *Client) Post(path, id, key string, left time.Duration, body string) Answer {
	var head strings.Builder
	fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: %s\r\nX-Time-Left-Ms: %d\r\n", path, id, left.Milliseconds())
	if key != "" {
		fmt.Fprintf(&head, "Idempotency-Key: %s\r\n", key)
	}
	fmt.Fprintf(&head, "X-Weight-Hint: 300000\r\nContent-Length: %s\r\n\r\n%s", strconv.Itoa(len(body)), body)
	c.run.Log("client %s: POST %s id=%s key=%q time-left=%v", c.name, path, id, key, left)
	sent := time.Now()
	_, err := io.WriteString(c.conn, head.String())
	var answer Answer
	if err != nil {
		answer = Answer{Err: fmt.Errorf("write: %w", err)}
	} else {
		c.conn.SetReadDeadline(sent.Add(left + 600*time.Millisecond))
		answer = c.read()
	}
	answer.After = time.Since(sent)
	if answer.Err != nil {
		c.run.Log("client %s: id=%s: NO ANSWER after %.3f s: %v", c.name, id, answer.After.Seconds(), answer.Err)
	} else {
		c.run.Log("client %s: id=%s: %d after %.3f s, Retry-After %q, %q", c.name, id, answer.Status, answer.After.Seconds(),
			answer.RetryAfter, answer.Body)
	}
	return answer
}

func (c *Client) read() Answer {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return Answer{Err: err}
	}
	body, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Body: string(body), RetryAfter: response.Header.Get("Retry-After"),
		Close: response.Close, Err: err}
}

// Healthy reports whether GET /healthz at an address answers 200.
func Healthy(address string) bool { return getOK("http://" + address + "/healthz") }

// Ready reports whether the admin API at an address says that the process takes clients.
func Ready(admin string) bool { return getOK("http://" + admin + "/control/ready") }

// Get fetches a page of the admin API.
func Get(url string) string {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(url)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return string(body)
}

func getOK(url string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(url)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// WaitUntil polls a condition, and ends the run as not run if it does not hold in time.
func (r *Run) WaitUntil(what string, limit time.Duration, holds func() bool) {
	for end := time.Now().Add(limit); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			r.NotRun("%s: not within %v", what, limit)
		}
	}
}
