package decision

import (
	"maps"
	"slices"
	"testing"
	"time"
)

// A worker that rejects all requests of one class while it accepts others gets that class at increasing
// intervals, and the other classes as before. Once it accepts the class again, the class is no longer
// blocked.
func TestClassThatAWorkerRejectsGoesElsewhere(t *testing.T) {
	settings := testSettings()
	settings.StartNotices = true
	rig := &selectiveRig{rig: newRig(t, settings, 4), selective: true}
	for range 120 {
		rig.arrive(0)
		rig.serve()
		rig.arrive(1)
		rig.serve()
	}
	if rig.rejections < 4 || rig.rejections > 30 {
		t.Errorf("%d of 120 requests were rejected by workers that do not take them", rig.rejections)
	}
	rig.now += 5 * time.Second
	rig.selective = false
	for range 40 {
		for range 4 { // more at a time than the two workers that accepted the class before can serve
			rig.arrive(1)
		}
		rig.serve()
	}
	for _, worker := range rig.fleet {
		rejections := worker.rejectionsOf(&rig.settings.Classes[1])
		if rejections.count != 0 || rejections.blockedUntil != 0 {
			t.Errorf("%s accepts the class again, and is still blocked: %+v", worker.Name, *rejections)
		}
	}
}

// selectiveRig is a rig whose workers w0 and w1 reject class 1 while selective.
type selectiveRig struct {
	*rig
	selective  bool
	rejections int
}

// serve ends all outstanding attempts, including those that are assigned meanwhile.
func (r *selectiveRig) serve() {
	for _, id := range slices.Sorted(maps.Keys(r.requests)) {
		for number := 0; r.requests[id] != nil && number < len(r.requests[id].attempts); number++ {
			if !r.requests[id].attempts[number].ended {
				r.serveAttempt(id, number)
			}
		}
	}
}

// serveAttempt ends an attempt: its worker rejects or completes it.
func (r *selectiveRig) serveAttempt(id uint64, number int) {
	request := r.requests[id]
	worker := request.attempts[number].worker.Name
	rejecting := r.selective && (worker == "w0" || worker == "w1")
	if rejecting && request.class == &r.settings.Classes[1] {
		r.rejections++
		r.endAttempt(id, number, Saturated, time.Millisecond)
		return
	}
	started := Event{Kind: AttemptStarted, Request: id, Attempt: number, Worker: worker}
	r.handle(r.now+time.Millisecond, started)
	r.endAttempt(id, number, Completed, 100*time.Millisecond)
}
