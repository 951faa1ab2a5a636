package faktory

import (
	"net"
	"strings"
	"testing"
	"time"
)

// Connections that send nothing use up the front end's connection limit, and more of them wait to be accepted. A producer
// that connects after them must be answered in time. If their eviction is tried only when they are new, and not
// again, the producer must wait until helloTimeout (5 s) closes the first of them, and is answered after 6.3 s. The HTTP
// front end has a test like this in cmd/dispatcher.
func TestIdleConnectionsDoNotDelayProducer(t *testing.T) {
	const (
		idle     = 300 // the front end of these tests accepts 200
		timeLeft = 400 * time.Millisecond
		slack    = 500 * time.Millisecond
	)
	address, _ := openFrontEnd(t, serverConfig, nil)
	worker := dialWorker(t, address, "w1")
	go worker.serveJobs(func(string) {})
	for range idle {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	began := time.Now()
	producer := dialProducer(t, address)
	got := producer.do(pushCommand("crowded-01", "renewal", `"time_left_ms":400`))
	if took := time.Since(began); took > timeLeft+slack {
		t.Errorf("answered %v after connecting, want at most %v", took, timeLeft+slack)
	}
	if got != "+OK" && !strings.HasPrefix(got, "-ERR REFUSED") {
		t.Errorf("answered %q", got)
	}
}
