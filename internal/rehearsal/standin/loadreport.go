package standin

import (
	"encoding/json"
	"net/http"
	"time"
)

// loadReport is a worker's load report in the JSON form of its protocol.
type loadReport struct {
	Errors     float64 `json:"eps"` // per second; always 0, because a stand-in has no errors
	Queue      float64 `json:"queue"`
	FreeSlots  float64 `json:"x0"`
	FreeMemory float64 `json:"x1"`
}

// loadSnapshot is a load report with the time at which it was made.
type loadSnapshot struct {
	madeAt time.Time
	report loadReport
}

// report returns the load report to send: the latest one that is at least ReportLag old, or the
// oldest one if none is. It makes a new one if that is due and the worker is not stalled. ok is
// false if there is none, because the worker has been stalled since before its first report.
func (w *Worker) report() (report loadReport, ok bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := time.Now()
	if w.reportIsDue(now) && !now.Before(w.stalledUntil) {
		w.reports = append(w.reports, loadSnapshot{madeAt: now, report: loadReport{
			Queue:      float64(len(w.queue)),
			FreeSlots:  w.Slots - w.usedSlots,
			FreeMemory: w.Memory - w.usedMemory,
		}})
	}
	for len(w.reports) > 1 && now.Sub(w.reports[1].madeAt) >= w.ReportLag {
		w.reports = w.reports[1:]
	}
	if len(w.reports) == 0 {
		return loadReport{}, false
	}
	return w.reports[0].report, true
}

// reportIsDue reports whether it is time for the next load report. The caller holds the lock.
func (w *Worker) reportIsDue(now time.Time) bool {
	if len(w.reports) == 0 {
		return true
	}
	latest := w.reports[len(w.reports)-1]
	return now.Sub(latest.madeAt) >= w.ReportInterval
}

// encodedReport returns the load report as JSON, or an empty object if there is none.
func (w *Worker) encodedReport() json.RawMessage {
	report, ok := w.report()
	if !ok {
		return json.RawMessage("{}")
	}
	text, _ := json.Marshal(report) // cannot fail for finite numbers
	return text
}

// setReportHeader adds the load report to the header of a rejection, if the worker sends any.
func (w *Worker) setReportHeader(header http.Header) {
	if !w.SendsReports {
		return
	}
	header.Set("X-Backend-Load", string(w.encodedReport()))
}
