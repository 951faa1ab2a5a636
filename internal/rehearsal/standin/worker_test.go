package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

const (
	jobPath = "/renewal/m1"
	jobBody = "xy"
)

// submittedJob is a job that was sent to a worker, with the answer that is being read.
type submittedJob struct {
	t      *testing.T
	answer *http.Response
	lines  *bufio.Scanner
	cancel context.CancelFunc // cancels the request, as when a client leaves
}

// submit sends a job to a worker and waits for the header of the answer. The request is canceled
// when the test ends.
func submit(t *testing.T, worker *Worker, id string, slots float64) *submittedJob {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+worker.Addr+jobPath, strings.NewReader(jobBody))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("X-Correlation-Id", id)
	request.Header.Set("X-Facts", fmt.Sprintf("slots=%g", slots))
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	return &submittedJob{t: t, answer: answer, lines: bufio.NewScanner(answer.Body), cancel: cancel}
}

// receivedUpdate is a jobUpdate as a client decodes it.
type receivedUpdate struct {
	State string             `json:"state"` // empty if there are no more updates
	Load  map[string]float64 `json:"load"`
}

// next reads the next update. It returns an empty one at the end of the answer.
func (j *submittedJob) next() (update receivedUpdate) {
	j.t.Helper()
	if !j.lines.Scan() {
		return receivedUpdate{}
	}
	if err := json.Unmarshal(j.lines.Bytes(), &update); err != nil {
		j.t.Fatalf("%s: %v", j.lines.Bytes(), err)
	}
	return update
}

// awaitState reads updates until one has the given state, and returns it. It returns an empty one
// if the answer ends first.
func (j *submittedJob) awaitState(state string) receivedUpdate {
	j.t.Helper()
	for {
		update := j.next()
		if update.State == "" || update.State == state {
			return update
		}
	}
}

// startWorker announces jobs to a new ledger and starts a worker with it. The worker is closed when
// the test ends.
func startWorker(t *testing.T, config WorkerConfig, jobs ...Job) (*Worker, *Ledger) {
	t.Helper()
	ledger := &Ledger{}
	for _, job := range jobs {
		job.Path = jobPath
		job.BodyBytes = len(jobBody)
		ledger.Announce(job)
	}
	config.Name = "s-1"
	config.SendsReports = true
	worker, err := StartWorker(config, ledger, []byte("secret"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { worker.Close() })
	return worker, ledger
}

// reportedFreeSlots returns the number of free slots in the worker's load report, or -1 if there is
// no report.
func reportedFreeSlots(worker *Worker) float64 {
	report, ok := worker.report()
	if !ok {
		return -1
	}
	return report.FreeSlots
}

// waitFor polls until the condition holds, and fails the test after 10 s.
func waitFor(t *testing.T, description string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not within 10 s:", description)
		}
	}
}

// awaitQueued waits until a worker has the given number of queued jobs.
func awaitQueued(t *testing.T, worker *Worker, count int) {
	t.Helper()
	waitFor(t, fmt.Sprintf("%d jobs are queued", count), func() bool {
		_, queued := worker.Free()
		return queued == count
	})
}

// checkRejected checks that a job was rejected as not processed.
func checkRejected(t *testing.T, name string, job *submittedJob) {
	t.Helper()
	if job.answer.StatusCode != http.StatusServiceUnavailable || job.answer.Header.Get("X-Unprocessed") != "1" {
		t.Errorf("%s: %+v, want status 503 and X-Unprocessed", name, job.answer)
	}
}

// Jobs start strictly in order: a waiting large job delays a small one that would fit. A job that
// needs more slots than the worker has is rejected, and so is a job that finds the queue full.
func TestWorkerStartsJobsInOrder(t *testing.T) {
	worker, ledger := startWorker(t, WorkerConfig{Slots: 2, QueueLimit: 2},
		Job{ID: "first", ServiceTime: 300 * time.Millisecond},
		Job{ID: "large", ServiceTime: time.Millisecond},
		Job{ID: "small", ServiceTime: time.Millisecond},
		Job{ID: "excess"},
		Job{ID: "huge"},
	)
	first := submit(t, worker, "first", 1)
	if state := first.next().State; state != stateStarted {
		t.Fatalf("the first job is %q, want %q", state, stateStarted)
	}
	large := submit(t, worker, "large", 2)
	small := submit(t, worker, "small", 1)
	awaitQueued(t, worker, 2)
	excess := submit(t, worker, "excess", 1)
	checkRejected(t, "a job that finds the queue full", excess)
	if report := excess.answer.Header.Get("X-Backend-Load"); !strings.Contains(report, `"queue":`) {
		t.Errorf("the rejection's load report is %q", report)
	}
	checkRejected(t, "a job that never fits", submit(t, worker, "huge", 3))
	for _, job := range []*submittedJob{first, large, small} {
		if state := job.awaitState(stateDone).State; state != stateDone {
			t.Fatalf("an answer ended without %q", stateDone)
		}
	}
	run := func(id string) Execution { return ledger.jobs[id].runs[0] }
	if run("small").Start.Before(run("large").Start) || run("large").Start.Before(run("first").End) {
		t.Error("the jobs were not started in order")
	}
	if findings := ledger.Findings(); findings.Executed != 3 || len(findings.Duplicated) != 0 || len(findings.Unexpected) != 0 {
		t.Errorf("%+v, want 3 executed and nothing else", findings)
	}
}

// A draining worker returns its queued jobs, completes the running one and rejects new ones.
func TestDrainingWorker(t *testing.T) {
	worker, _ := startWorker(t, WorkerConfig{Slots: 1, ReportInterval: time.Millisecond},
		Job{ID: "running", ServiceTime: 50 * time.Millisecond},
		Job{ID: "queued", ServiceTime: time.Millisecond},
		Job{ID: "late", ServiceTime: time.Hour},
	)
	running := submit(t, worker, "running", 1)
	running.next()
	queued := submit(t, worker, "queued", 1)
	awaitQueued(t, worker, 1)
	worker.Drain()
	if state := queued.next().State; state != stateReturned {
		t.Errorf("the queued job is %q, want %q", state, stateReturned)
	}
	if update := running.next(); update.State != stateDone || update.Load["x0"] != 0 {
		t.Errorf("the running job: %+v, want %q with no free slot", update, stateDone)
	}
	if late := submit(t, worker, "late", 1); late.answer.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("a draining worker did not reject a job: %+v", late.answer)
	}
	waitFor(t, "a report of a free slot", func() bool { return reportedFreeSlots(worker) == 1 })
}

// A stalled worker starts no job, and its load report does not change.
func TestStalledWorker(t *testing.T) {
	const (
		stall     = 300 * time.Millisecond
		tolerance = 10 * time.Millisecond
	)
	worker, _ := startWorker(t, WorkerConfig{Slots: 1, ReportInterval: time.Millisecond}, Job{ID: "a"})
	waitFor(t, "a report of a free slot", func() bool { return reportedFreeSlots(worker) == 1 })
	stalledAt := time.Now()
	worker.Stall(stall)
	job := submit(t, worker, "a", 1)
	if slots := reportedFreeSlots(worker); slots != 1 {
		t.Errorf("a stalled worker reports %g free slots, want 1 as before", slots)
	}
	state := job.next().State
	if startedAfter := time.Since(stalledAt); state != stateStarted || startedAfter < stall-tolerance {
		t.Errorf("the job is %q %v after the beginning of a stall of %v", state, startedAfter, stall)
	}
}

// A job that is canceled after its start counts as started but not completed, and its slot becomes
// free.
func TestCanceledJob(t *testing.T) {
	worker, ledger := startWorker(t, WorkerConfig{Slots: 1}, Job{ID: "a", ServiceTime: time.Hour})
	job := submit(t, worker, "a", 1)
	job.next()
	job.cancel()
	waitFor(t, "the slot is free again", func() bool {
		free, _ := worker.Free()
		return free == 1
	})
	if started, completed := ledger.Runs("a"); started != 1 || completed != 0 {
		t.Errorf("canceled: started %d times, completed %d times, want 1 and 0", started, completed)
	}
}

// Speed, warm-up and slowdown change the duration of a job. The ledger reports a second execution of
// a job that must not be retried.
func TestWorkerSpeed(t *testing.T) {
	const (
		serviceTime = 50 * time.Millisecond
		slowdown    = 4
		tolerance   = 0.01 // the worker warms up a little while the test runs
	)
	config := WorkerConfig{Speed: 2, WarmupShare: 0.5, Warmup: time.Hour}
	worker, ledger := startWorker(t, config, Job{ID: "a", ServiceTime: serviceTime})
	for run, wantSpeed := range []float64{1, 1. / slowdown} {
		if speed := worker.currentSpeed(); math.Abs(speed/wantSpeed-1) > tolerance {
			t.Errorf("run %d: the speed is %v, want %v", run, speed, wantSpeed)
		}
		submit(t, worker, "a", 1).awaitState(stateDone)
		worker.SlowDown(slowdown)
	}
	runs := ledger.jobs["a"].runs
	if warmingUp := runs[0].End.Sub(runs[0].Start); warmingUp < serviceTime {
		t.Errorf("the run during the warm-up took %v, want at least %v", warmingUp, serviceTime)
	}
	if slowedDown := runs[1].End.Sub(runs[1].Start); slowedDown < slowdown*serviceTime*99/100 {
		t.Errorf("the slowed-down run took %v, want about %v or more", slowedDown, slowdown*serviceTime)
	}
	if findings := ledger.Findings(); !slices.Equal(findings.Duplicated, []string{"a"}) {
		t.Errorf("%+v, want job a as duplicated", findings)
	}
}

// A request that was not announced, or that arrives changed, is recorded and not executed.
func TestUnexpectedJobs(t *testing.T) {
	worker, ledger := startWorker(t, WorkerConfig{}, Job{ID: "a"})
	if status := submit(t, worker, "unknown", 1).answer.StatusCode; status != http.StatusBadRequest {
		t.Errorf("an unknown id: status %d, want 400", status)
	}
	for id, want := range map[string]int{"": http.StatusNotFound, "a": http.StatusBadRequest} {
		request, err := http.NewRequest(http.MethodPost, "http://"+worker.Addr+"/renewal/m2", strings.NewReader(jobBody))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("X-Correlation-Id", id)
		answer, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Errorf("id %q on another path: %v", id, err)
			continue
		}
		answer.Body.Close()
		if answer.StatusCode != want {
			t.Errorf("id %q on another path: status %d, want %d", id, answer.StatusCode, want)
		}
	}
	if findings := ledger.Findings(); len(findings.Unexpected) != 2 || findings.Executed != 0 {
		t.Errorf("%+v, want 2 unexpected and none executed", findings)
	}
}
