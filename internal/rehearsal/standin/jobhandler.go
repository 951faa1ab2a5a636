package standin

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxBodyBytes is the size of the longest request body that is read completely.
const maxBodyBytes = 64 << 10

// ServeHTTP handles requests for jobs and challenges.
func (w *Worker) ServeHTTP(out http.ResponseWriter, request *http.Request) {
	if request.URL.Path == challengePath {
		answerChallenge(out, request, w.secret, w.Name)
		return
	}
	id := request.Header.Get("X-Correlation-Id")
	if id == "" || request.Method != http.MethodPost {
		http.Error(out, "no id", http.StatusNotFound)
		return
	}
	body, err := io.ReadAll(io.LimitReader(request.Body, maxBodyBytes+1))
	if err != nil {
		return // an incomplete request is not executed
	}
	job, ok := w.ledger.accept(id, request.URL.EscapedPath(), len(body))
	if !ok {
		http.Error(out, "no client sent this", http.StatusBadRequest)
		return
	}
	slots := requestedSlots(request.Header, job)
	queued, ok := w.enqueue(slots)
	if !ok {
		w.setReportHeader(out.Header())
		out.Header().Set("X-Unprocessed", "1")
		http.Error(out, "no room", http.StatusServiceUnavailable)
		return
	}
	updates := startUpdates(out, id, w.Name)
	if !w.awaitStart(request.Context(), queued, updates) {
		return
	}
	defer w.release(slots)
	w.execute(request.Context(), job, updates)
}

// requestedSlots returns the number of slots that a request asks for in its header, or that were
// announced for its job if the header has none.
func requestedSlots(header http.Header, job Job) float64 {
	slots := max(job.Slots, 1)
	for property := range strings.SplitSeq(header.Get("X-Facts"), ",") {
		name, value, _ := strings.Cut(property, "=")
		if name != "slots" {
			continue
		}
		if number, err := strconv.ParseFloat(value, 64); err == nil {
			slots = number
		}
	}
	return slots
}

// awaitStart waits until a queued job may start. It returns false if the worker returns the job, or
// if the request is canceled first.
func (w *Worker) awaitStart(ctx context.Context, queued *queuedJob, updates *updateStream) bool {
	select {
	case start := <-queued.begin:
		if !start {
			updates.send(jobUpdate{State: stateReturned, Load: w.encodedReport()})
		}
		return start
	case <-ctx.Done():
		if w.abandon(queued) {
			return false
		}
		return <-queued.begin
	}
}

// execute runs a job, records it in the ledger and sends its updates.
func (w *Worker) execute(ctx context.Context, job Job, updates *updateStream) {
	run := w.ledger.startRun(job.ID, w.Name, time.Now())
	updates.send(jobUpdate{State: stateStarted})
	completed := w.run(ctx, job, run, func(share float64) {
		rounded := math.Round(share*100) / 100
		updates.send(jobUpdate{State: stateRunning, Share: &rounded})
	})
	w.ledger.endRun(job.ID, run, time.Now(), completed)
	if !completed {
		return
	}
	last := jobUpdate{State: stateDone, Result: w.Name + " " + job.ID}
	if w.SendsReports {
		last.Load = w.encodedReport()
	}
	updates.send(last)
}

// Values of jobUpdate.State.
const (
	stateReturned = "returned" // the job was not executed
	stateStarted  = "started"
	stateRunning  = "running"
	stateDone     = "done"
)

// jobUpdate is a line of the answer to a request.
type jobUpdate struct {
	From   string          `json:"from"` // name of the worker
	ID     string          `json:"id"`
	Load   json.RawMessage `json:"load,omitempty"` // a loadReport
	Result string          `json:"result,omitempty"`
	Share  *float64        `json:"share,omitempty"` // share of the job that is completed
	State  string          `json:"state"`
}

// updateStream is the streamed answer to a request.
type updateStream struct {
	out    http.ResponseWriter
	id     string
	worker string
}

// startUpdates sends the header of an answer and returns its stream.
func startUpdates(out http.ResponseWriter, id, worker string) *updateStream {
	out.Header().Set("Content-Type", "application/x-ndjson")
	out.WriteHeader(http.StatusOK)
	out.(http.Flusher).Flush()
	return &updateStream{out: out, id: id, worker: worker}
}

// send sends an update without buffering it.
func (s *updateStream) send(update jobUpdate) {
	update.ID = s.id
	update.From = s.worker
	line, _ := json.Marshal(update) // cannot fail for strings, numbers and valid JSON
	s.out.Write(append(line, '\n'))
	s.out.(http.Flusher).Flush()
}
