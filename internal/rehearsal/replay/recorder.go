package replay

import (
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hollyyoke.example/hollyyoke/internal/rehearsal/recording/recordingpb"
)

// recorder records the outcomes and the times of the requests. Its methods are safe for concurrent use.
// Times are since the start of the replay.
type recorder struct {
	latencyObjectives map[string]time.Duration // by class; without one, each served request counts as within the objective

	mutex     sync.Mutex // protects the fields below and the tallies
	result    *Result
	series    *series
	idsHash   uint64 // hash of the set of the ids that were sent, independent of their order
	completed int    // requests with an outcome
}

func newRecorder(classes []*recordingpb.Class, latencyObjectives map[string]time.Duration) *recorder {
	result := &Result{Classes: map[string]*Tally{}, Rejections: map[string]int{}, Failures: map[string]int{}}
	for _, class := range classes {
		result.Classes[class.Name] = &Tally{latencyFromDue: newHistogram(), latencyFromWrite: newHistogram()}
	}
	return &recorder{latencyObjectives: latencyObjectives, result: result, series: newSeries()}
}

// tally returns the tally of a class.
func (r *recorder) tally(class string) *Tally { return r.result.Classes[class] }

// addWithheld counts a request that is not sent because the workers are not verified to be stand-ins.
func (r *recorder) addWithheld(withheld *request) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	withheld.tally.Withheld++
}

// addSent counts a request that is about to be sent.
func (r *recorder) addSent(sent *request) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	sent.tally.Sent++
	r.idsHash ^= xxhash.Sum64String(sent.id)
}

// removeSent reverts addSent, for a request whose connection could not be opened.
func (r *recorder) removeSent(unsent *request) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	unsent.tally.Sent--
	r.idsHash ^= xxhash.Sum64String(unsent.id)
}

// addRetried counts a request that is sent again on a new connection.
func (r *recorder) addRetried(retried *request) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	retried.tally.Retried++
}

// addDuplicateAnswer counts a further answer to a request that has been answered.
func (r *recorder) addDuplicateAnswer(answered *request) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	answered.tally.DuplicateAnswers++
}

// addStrayAnswer counts an answer on a connection on which no request has been answered and none is pending.
func (r *recorder) addStrayAnswer() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.result.StrayAnswers++
}

// addOutcome records the outcome of a request at the time now, and returns the number of requests that
// have an outcome.
func (r *recorder) addOutcome(done *request, outcome Outcome, reason Reason, now time.Duration) (completed int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	second := r.series.second(now)
	switch outcome {
	case Served:
		done.tally.Served++
		second.Served++
		r.recordLatency(done, now)
	case Rejected:
		done.tally.Rejected++
		second.Rejected++
		countReason(r.result.Rejections, done.class, reason)
	case Failed:
		done.tally.Failed++
		second.Failed++
		countReason(r.result.Failures, done.class, reason)
	case Lost:
		done.tally.Lost++
		second.Lost++
		countReason(r.result.Failures, done.class, reason)
	case Unsent:
		done.tally.Unsent++
		countReason(r.result.Failures, done.class, reasonUnsent)
	}
	if outcome != Unsent {
		r.series.addWritten(done.due, done.written)
	}
	r.series.add(done.due, done.sendBegan)
	r.completed++
	return r.completed
}

// recordLatency records the latency of a served request. The caller holds the lock.
func (r *recorder) recordLatency(served *request, now time.Duration) {
	latency := now - served.due
	if objective := r.latencyObjectives[served.class]; objective == 0 || latency <= objective {
		served.tally.WithinObjective++
	}
	served.tally.latencyFromDue.RecordValue(max(latency.Microseconds(), 1))
	served.tally.latencyFromWrite.RecordValue(max((now - served.written).Microseconds(), 1))
	dueSecond := r.series.second(served.due)
	dueSecond.latencies = append(dueSecond.latencies, latency.Microseconds())
	r.result.ServedIDs = append(r.result.ServedIDs, served.id)
}

// finish completes the result. It is called once, after the last outcome.
func (r *recorder) finish() *Result {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	result := r.result
	for _, tally := range result.Classes {
		tally.Intended = quantiles(tally.latencyFromDue)
		tally.LatencyFromWrite = quantiles(tally.latencyFromWrite)
	}
	result.IDsHash = fmt.Sprintf("%016x", r.idsHash)
	result.Seconds = r.series.finishSeconds()
	result.Fidelity = r.series.fidelity()
	result.SpanSeconds = float64(len(result.Seconds))
	return result
}
