package faktory

import (
	"net"
	"strings"
	"testing"
	"time"
)

// Connections that send nothing fill the front end's limit, and more wait. A producer that connects behind them waited
// until the first of them was closed for its silence, 5 s later: their eviction was tried once, when they were new, and
// not again (6.3 s to the answer, where HELLO is due after 5 s). See TestSilentCrowdHoldsNobodyUp of cmd/dispatcher for
// the HTTP front end.
func TestSilentCrowdHoldsNoProducerUp(t *testing.T) {
	const (
		crowd    = 300 // the front end of these tests takes 200
		timeLeft = 400 * time.Millisecond
		slack    = 500 * time.Millisecond
	)
	address, _ := openFront(t, serverConfig, nil)
	worker := dialWorker(t, address, "w1")
	go worker.serveJobs(func(string) {})
	for range crowd {
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
		t.Errorf("connected and pushed beside a crowd: answered after %v, at most %v", took, timeLeft+slack)
	}
	if got != "+OK" && !strings.HasPrefix(got, "-ERR REFUSED") {
		t.Errorf("answered %q", got)
	}
}
