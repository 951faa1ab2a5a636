package standin

import (
	"slices"
	"sync"
	"time"
)

// Job is a request as its sender announces it before sending it.
type Job struct {
	ID          string
	Class       string
	Retryable   bool
	Path        string        // as sent; it must arrive unchanged. Empty: not checked
	BodyBytes   int           // must arrive unchanged
	ServiceTime time.Duration // at speed 1
	Slots       float64
}

// Execution is one run of a job, as its worker observed it.
type Execution struct {
	Worker    string
	Start     time.Time
	End       time.Time
	Completed bool // otherwise it was canceled or is still running
}

// Ledger records every announced job and all its executions. It is safe for concurrent use, and
// the zero value is an empty ledger.
type Ledger struct {
	mutex      sync.Mutex
	jobs       map[string]*jobRecord
	unexpected []string // requests that were not announced, or modified on the way
}

type jobRecord struct {
	Job
	runs []Execution
}

// maxUnexpected bounds the unexpected requests that are recorded.
const maxUnexpected = 100

// Announce records a job that will be sent. It reports false if the id is taken.
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

// recordUnexpected records a request that must not have arrived. The caller holds the lock.
func (l *Ledger) recordUnexpected(description string) {
	if len(l.unexpected) < maxUnexpected {
		l.unexpected = append(l.unexpected, description)
	}
}

// accept looks up the job of a request that a worker has received completely. It reports false
// if the request was not announced in this form.
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

// startRun records the start of an execution and returns its index among those of the job, which
// must have been announced.
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

// Runs counts how often a job was started, and how often it completed.
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

// Findings summarise a ledger.
type Findings struct {
	Announced  int            `json:"announced"`
	Executed   int            `json:"executed"`  // jobs that were started at least once
	Duplicated []string       `json:"ran_twice"` // ids of jobs that must not be retried and were
	Retried    int            `json:"repeated"`  // jobs that may be retried and were
	Unexpected []string       `json:"unknown"`   // requests that were not announced in the form they had
	ByWorker   map[string]int `json:"by_worker"` // executions
}

// Check summarises the ledger.
func (l *Ledger) Check() Findings {
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

// add counts one job.
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

// ExecutedIDs lists the ids of all jobs that were started, sorted.
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
