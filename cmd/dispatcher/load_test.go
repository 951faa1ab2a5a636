package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// clientLoad is a number of clients, each of which sends renewals one after the other.
type clientLoad struct {
	address string
	stop    chan struct{}
	clients sync.WaitGroup

	mu     sync.Mutex
	sent   int
	failed []string
}

func startLoad(address string, clients int) *clientLoad {
	load := &clientLoad{address: address, stop: make(chan struct{})}
	for number := range clients {
		load.clients.Go(func() { load.runClient(number) })
	}
	return load
}

// runClient sends renewals until the load is stopped, and opens a new connection after each
// requestsPerConnection.
func (l *clientLoad) runClient(number int) {
	const requestsPerConnection = 20
	client := &http.Client{Timeout: testTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for i := 0; ; i++ {
		select {
		case <-l.stop:
			return
		case <-time.After(time.Millisecond):
		}
		id := fmt.Sprintf("load-%d-%d", number, i)
		status, err := sendRenewal(client, l.address, id, "")
		l.record(id, status, err)
		if i%requestsPerConnection == requestsPerConnection-1 {
			client.CloseIdleConnections()
		}
	}
}

// record counts a request that has ended, and records it as failed unless it was answered with
// 200.
func (l *clientLoad) record(id string, status int, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	if err != nil || status != http.StatusOK {
		l.failed = append(l.failed, fmt.Sprintf("%s: %d, %v", id, status, err))
	}
}

// sentSoFar returns how many requests have ended.
func (l *clientLoad) sentSoFar() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}

// stopAndReport stops the clients, and returns how many requests were sent and which
// failed.
func (l *clientLoad) stopAndReport() (sent int, failed []string) {
	close(l.stop)
	l.clients.Wait()
	return l.sent, l.failed
}

// sendRenewal sends a renewal, with an idempotency key unless key is empty.
func sendRenewal(client *http.Client, address, id, key string) (status int, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/renewal/k", strings.NewReader("x"))
	if err != nil {
		return 0, err
	}
	request.Header.Set("X-Correlation-Id", id)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
