package dispatch

import (
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/eventloop"
)

// Guards against requests that are rejected because they waited in the kernel: the decision machine is told the time left
// from the reading on, while the deadline counts from the arrival. A request whose deadline is over has no time left.
func TestWaitInKernelIsNoLateness(t *testing.T) {
	d := newTestDispatcher(t, eventloop.New(), decision.Settings{Classes: []decision.Class{{Deadline: 5 * time.Second}}})
	const now = time.Hour
	for _, test := range []struct{ timeLeft, waited, deadline, told time.Duration }{
		{timeLeft: 3 * time.Second, waited: 0, deadline: 3*time.Second - responseMargin, told: 3*time.Second - responseMargin},
		{timeLeft: 3 * time.Second, waited: time.Second, deadline: 2*time.Second - responseMargin, told: 3*time.Second - responseMargin},
		{timeLeft: time.Second, waited: time.Second, deadline: 0, told: 0},
	} {
		open := &openRequest{Request: Request{TimeLeft: test.timeLeft, ArrivedAt: now - test.waited, ReceivedAt: now}}
		open.deadline = d.deadlineOf(&open.Request, now)
		if deadline, told := open.deadline-now, d.timeLeftToDecide(open, now); deadline != test.deadline || told != test.told {
			t.Errorf("%v left, %v in the kernel: the deadline is in %v and the machine is told %v, want %v and %v",
				test.timeLeft, test.waited, deadline, told, test.deadline, test.told)
		}
	}
}
