package faktory

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a producer that waits longer than it said: what it pushed while the process was held up was taken for
// new.
func TestPushDuringAHoldUpIsAnsweredInTime(t *testing.T) {
	const (
		timeLeft = 600 * time.Millisecond
		held     = 400 * time.Millisecond
		slack    = 150 * time.Millisecond
	)
	address, rig := openFront(t, serverConfig, nil)
	producer := dialProducer(t, address)
	release := rig.BlockLoop()
	pushedAt := time.Now()
	fmt.Fprint(producer.conn, pushCommand("held-00001", "renewal", `"time_left_ms":600`)+"\r\n")
	time.Sleep(held)
	release()
	answer, err := producer.readReply()
	if took := time.Since(pushedAt); err != nil || took > timeLeft+slack {
		t.Errorf("%q, %v after %v, at most %v", answer, err, took, timeLeft+slack)
	}
}
