package standin

import (
	"slices"
	"sync"
	"time"
)

// Job is a request, as its sender announces it before sending it.
type Job struct {
	ID          string
	Class       string
	Retryable   bool
	Path        string        // path of the request; if not empty, the path and BodyBytes must arrive unchanged
	BodyBytes   int           // size of the request's body
	ServiceTime time.Duration // duration of an execution at speed 1
	Slots       float64
}

// Execution is one execution of a job, as its worker observed it.
type Execution struct {
	Worker    string
	Start     time.Time
	End       time.Time
	Completed bool // false if the execution was canceled or has not ended
}

// Ledger records every announced job and all its executions. It is safe for concurrent use, and
// the zero value is an empty ledger.
type Ledger struct {
	mutex      sync.Mutex
	jobs       map[string]*jobRecord
	unexpected []string // descriptions of requests that were not announced or arrived changed
}

type jobRecord struct {
	Job
	runs []Execution
}

// maxUnexpected is the number of unexpected requests that are recorded; further ones are dropped.
const maxUnexpected = 100

// Announce records a job that will be sent. It returns false if a job with the same ID was announced.
func (l *Ledger) Announce(job Job) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.jobs == nil {
		l.jobs = map[string]*jobRecord{}
	}
	if l.jobs[job.ID] != nil {
		return false
	}
	l.jobs[job.ID] = &jobRecord{Job: job}
	return true
}

// recordUnexpected records a request that was not announced in the form in which it arrived. The
// caller holds the lock.
func (l *Ledger) recordUnexpected(description string) {
	if len(l.unexpected) < maxUnexpected {
		l.unexpected = append(l.unexpected, description)
	}
}

// accept returns the job of a request that a worker has received completely. It returns false if
// the request was not announced in this form.
func (l *Ledger) accept(id, path string, bodyBytes int) (Job, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	record := l.jobs[id]
	switch {
	case record == nil:
		l.recordUnexpected("id " + id + " was never announced")
		return Job{}, false
	case record.Path != "" && (record.Path != path || record.BodyBytes != bodyBytes):
		l.recordUnexpected("id " + id + " was changed on the way")
		return Job{}, false
	}
	return record.Job, true
}

// startRun records the start of an execution and returns its index among the executions of the job,
// which must have been announced.
func (l *Ledger) startRun(id, worker string, at time.Time) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	record := l.jobs[id]
	record.runs = append(record.runs, Execution{Worker: worker, Start: at})
	return len(record.runs) - 1
}

// endRun records the end of an execution.
func (l *Ledger) endRun(id string, run int, at time.Time, completed bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	execution := &l.jobs[id].runs[run]
	execution.End = at
	execution.Completed = completed
}

// Runs returns how often a job was started and how often it was completed.
func (l *Ledger) Runs(id string) (started, completed int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	record := l.jobs[id]
	if record == nil {
		return 0, 0
	}
	for _, run := range record.runs {
		if run.Completed {
			completed++
		}
	}
	return len(record.runs), completed
}

// Findings summarize a ledger.
type Findings struct {
	Announced  int            `json:"announced"` // number of jobs
	Executed   int            `json:"executed"`  // number of jobs that were started at least once
	Duplicated []string       `json:"ran_twice"` // IDs of jobs that were executed more than once although they must not be retried
	Retried    int            `json:"repeated"`  // number of retryable jobs that were executed more than once
	Unexpected []string       `json:"unknown"`   // requests that were not announced in the form in which they arrived
	ByWorker   map[string]int `json:"by_worker"` // by worker, number of executions
}

// Findings returns a summary of the ledger.
func (l *Ledger) Findings() Findings {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	findings := Findings{
		Announced:  len(l.jobs),
		Duplicated: []string{},
		Unexpected: slices.Clone(l.unexpected),
		ByWorker:   map[string]int{},
	}
	for _, record := range l.jobs {
		findings.add(record)
	}
	slices.Sort(findings.Duplicated)
	return findings
}

// add adds one job to the findings.
func (f *Findings) add(record *jobRecord) {
	for _, run := range record.runs {
		f.ByWorker[run.Worker]++
	}
	executions := len(record.runs)
	if executions > 0 {
		f.Executed++
	}
	switch {
	case executions <= 1:
	case record.Retryable:
		f.Retried++
	default:
		f.Duplicated = append(f.Duplicated, record.ID)
	}
}

// ExecutedIDs returns the sorted IDs of all jobs that were started.
func (l *Ledger) ExecutedIDs() (ids []string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for id, record := range l.jobs {
		if len(record.runs) > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
