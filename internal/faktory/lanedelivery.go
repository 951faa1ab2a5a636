package faktory

import (
	"encoding/json"
	"fmt"
	"time"

	"hollyyoke.example/hollyyoke/internal/dispatch"
)

// rejectedJobRetryAfter is the wait that a FAIL names for a job that was delivered to a source which is ending.
const rejectedJobRetryAfter = time.Second

// upstreamDelivery is a job that upstream has delivered to a lane. The zero value
// means that there is none.
type upstreamDelivery struct {
	state        deliveryState
	jid          string
	class        int
	closeCommand string // the ACK or FAIL to send, in state deliveryClosing
}

// deliveryState is the state of a delivery.
type deliveryState uint8

const (
	noDelivery         deliveryState = iota
	deliveryInProgress               // its job has no final result yet
	deliveryClosing                  // its ACK or FAIL has not been answered yet
)

// handleJob passes a delivered job to the dispatcher. If its jid is known, it does
// not run the job: it closes the delivery at once or, while the job is in
// progress, later with the same result. It returns true if the request keeps the
// buffer of raw until it calls release.
func (l *lane) handleJob(raw []byte, release func()) (retained bool) {
	source := l.source
	now := source.dispatcher.Loop.Now()
	job, err := parseJob(raw, source.classIndexes, now)
	if job.scheduledAt > 0 {
		err = errScheduledOnDirectQueue
	}
	if err != nil {
		l.rejectJob(raw, err)
		return false
	}
	request := job.request
	jid := request.ID
	l.delivery = upstreamDelivery{state: deliveryInProgress, jid: jid, class: request.Class}
	l.state = laneWorking
	source.dispatcher.Loop.Clear(&l.deadline)
	switch source.jids.status(jid) {
	case jidServed:
		l.closeDelivery(commandAck, closeMessage{})
		return false
	case jidMayHaveRun:
		l.closeDelivery(commandFail, closeMessage{Type: "Failed", Message: "it may have run before; it does not run again under this jid"})
		return false
	case jidInProgress: // delivered twice: both are closed with the result of the first
		source.jids.whenFinished(jid, l.closeWith)
		return false
	}
	if source.rejectsJobs {
		l.closeWith(dispatch.Response{Outcome: dispatch.Rejected, RetryAfter: rejectedJobRetryAfter})
		return false
	}
	source.jids.begin(jid, now)
	request.Release = release
	source.dispatcher.Accept(source, uint64(l.number), request)
	return true
}

// rejectJob closes the delivery of a job that cannot be accepted.
func (l *lane) rejectJob(raw []byte, reason error) {
	var job struct {
		Jid string `json:"jid"`
	}
	err := json.Unmarshal(raw, &job)
	if err != nil || job.Jid == "" {
		l.reconnect(errJobWithoutJid)
		return
	}
	l.delivery.jid = job.Jid
	l.closeDelivery(commandFail, closeMessage{Type: "Malformed", Message: reason.Error()})
}

// closeWith closes the delivery of the lane with the final result of its job: by
// ACK if it was served, and otherwise by FAIL.
func (l *lane) closeWith(response dispatch.Response) {
	switch response.Outcome {
	case dispatch.Served:
		l.closeDelivery(commandAck, closeMessage{})
	case dispatch.Rejected:
		text := fmt.Sprintf("not run; come back after %.3f s", response.RetryAfter.Seconds())
		l.closeDelivery(commandFail, closeMessage{Type: "Refused", Message: text})
	default:
		l.closeDelivery(commandFail, closeMessage{Type: "Failed", Message: "it may have run"})
	}
}

// closeDelivery closes the delivery of the lane by ACK or FAIL, at once or after
// it has reconnected.
func (l *lane) closeDelivery(verb string, message closeMessage) {
	message.Jid = l.delivery.jid
	raw, _ := json.Marshal(message) // strings always marshal
	l.delivery.state = deliveryClosing
	l.delivery.closeCommand = verb + " " + string(raw)
	if l.state == laneWorking || l.state == laneFetching {
		l.advance()
	}
}
