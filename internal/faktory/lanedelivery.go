package faktory

import (
	"encoding/json"
	"fmt"

	"hollyyoke.example/hollyyoke/internal/dispatch"
)

// handleJob runs a job that was delivered, or closes the delivery at once if
// its jid is known. It returns true if the job keeps the buffer of raw, until
// it calls release.
func (l *lane) handleJob(raw []byte, release func()) (retained bool) {
	source := l.source
	now := source.dispatcher.Loop.Now()
	request, payload, err := parseJob(raw, source.classIndexes, now)
	if payload.scheduledAt > 0 {
		err = errScheduledOnDirectQueue
	}
	if err != nil {
		l.rejectJob(raw, err)
		return false
	}
	l.jid = request.ID
	l.jobOpen = true
	l.state = laneWorking
	source.dispatcher.Loop.Clear(&l.deadline)
	switch source.jids.status(l.jid) {
	case jidServed:
		l.closeDelivery(commandAck, closeMessage{})
		return false
	case jidMayHaveRun:
		l.closeDelivery(commandFail, closeMessage{Type: "Failed", Message: "it may have run before; it does not run again under this jid"})
		return false
	case jidInProgress: // delivered twice: both are closed by what becomes of the first
		source.jids.whenFinished(l.jid, l.closeWith)
		return false
	}
	source.jids.begin(l.jid, now)
	l.class = request.Class
	request.Release = release
	source.dispatcher.Accept(source, uint64(l.number), request)
	return true
}

// rejectJob closes the delivery of a job that cannot be read.
func (l *lane) rejectJob(raw []byte, reason error) {
	var job struct {
		Jid string `json:"jid"`
	}
	err := json.Unmarshal(raw, &job)
	if err != nil || job.Jid == "" {
		l.reconnect(errJobWithoutJid)
		return
	}
	l.jid = job.Jid
	l.closeDelivery(commandFail, closeMessage{Type: "Malformed", Message: reason.Error()})
}

// closeWith closes the delivery of the lane with the final answer of its job.
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

// closeDelivery closes the delivery of the lane by ACK or FAIL, now or once it
// is connected again.
func (l *lane) closeDelivery(verb string, message closeMessage) {
	l.jobOpen = false
	message.Jid = l.jid
	raw, _ := json.Marshal(message) // strings always marshal
	l.pendingClose = verb + " " + string(raw)
	if l.state == laneWorking || l.state == laneFetching {
		l.advance()
	}
}
