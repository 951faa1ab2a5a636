//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// httpClients send requests at a steady rate to the HTTP front end.
type httpClients struct {
	run    *testCase
	prefix string
	client *http.Client
	stop   atomic.Bool
	all    sync.WaitGroup

	mutex   sync.Mutex
	answers map[int]int // by status; 0 stands for none
}

// newClients returns clients that connect to the address that a function returns.
func (c *testCase) newClients(prefix string) *httpClients {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	return &httpClients{run: c, prefix: prefix, answers: map[int]int{}, client: &http.Client{Transport: transport}}
}

// send sends one request and returns the status and the body of its answer, or 0 if there was none.
func (h *httpClients) send(address, class, id string, timeout time.Duration, fields ...string) (status int, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout+time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/"+class+"/member-7", strings.NewReader("renew member 7"))
	request.GetBody = nil // the standard client must not send it again by itself
	request.Header.Set("X-Correlation-Id", id)
	request.Header.Set("X-Time-Left-Ms", fmt.Sprint(timeout.Milliseconds()))
	for i := 0; i+1 < len(fields); i += 2 {
		request.Header.Set(fields[i], fields[i+1])
	}
	response, err := h.client.Do(request)
	if err == nil {
		defer response.Body.Close()
		var text []byte
		text, err = io.ReadAll(response.Body)
		body = string(text)
		status = response.StatusCode
	}
	if err != nil {
		status = 0
		h.run.record("client: %s has no answer: %v", id, err)
	} else {
		h.run.record("client: %s is answered %d", id, status)
	}
	h.mutex.Lock()
	h.answers[status]++
	h.mutex.Unlock()
	return status, body
}

// sendSteadily sends requests of a class at intervals until stop is set.
func (h *httpClients) sendSteadily(address, class string, interval time.Duration) {
	h.all.Go(func() {
		for number := 0; !h.stop.Load(); number++ {
			id := fmt.Sprintf("%s-%05d", h.prefix, number)
			h.all.Go(func() { h.send(address, class, id, 4*time.Second) })
			time.Sleep(interval)
		}
	})
}

// finish stops sending and waits for the answers.
func (h *httpClients) finish() {
	h.stop.Store(true)
	h.all.Wait()
	h.run.record("clients: answers by status %v", h.answers)
}

// isReady reports whether the health check of a dispatcher answers 200.
func isReady(address string) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + address + "/healthz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
