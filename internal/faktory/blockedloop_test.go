package faktory

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a producer that waits longer than its time_left_ms: a job that was pushed while the event loop was
// blocked was dated when the loop read it, so the time before that was not subtracted.
func TestPushWhileLoopIsBlockedIsAnsweredInTime(t *testing.T) {
	const (
		timeLeft = 600 * time.Millisecond
		blocked  = 400 * time.Millisecond
		slack    = 150 * time.Millisecond
	)
	address, rig := openFrontEnd(t, serverConfig, nil)
	producer := dialProducer(t, address)
	release := rig.BlockLoop()
	pushedAt := time.Now()
	fmt.Fprint(producer.conn, pushCommand("held-00001", "renewal", `"time_left_ms":600`)+"\r\n")
	time.Sleep(blocked)
	release()
	answer, err := producer.readReply()
	if took := time.Since(pushedAt); err != nil || took > timeLeft+slack {
		t.Errorf("%q, %v after %v, at most %v", answer, err, took, timeLeft+slack)
	}
}
