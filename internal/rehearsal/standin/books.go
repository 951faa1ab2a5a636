// Package standin holds what stands around a dispatcher in a rehearsal:
// discovery, membership workers and their books, on loopback sockets. It is
// written from the protocol's page, on net/http, and shares no parser with the
// front that it tests. It must never reach beyond loopback, nor run a job that
// nobody announced.
package standin

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Job is what the sender announces of a request before it sends it.
type Job struct {
	ID        string
	Class     string
	Retryable bool
	Path      string        // as sent; it must pass through unchanged
	BodyBytes      int           // bytes
	ServiceTime   time.Duration // how long it takes at speed 1
	Slots     float64
}

// Execution is one run of a job, as its worker saw it.
type Execution struct {
	Worker string
	Start  time.Time
	End    time.Time
	Completed   bool // it ran to its end; else it was killed or is under way
}

// Ledger hold every job announced and every run of it. All methods may be
// called at once from anywhere. The zero value is ready.
type Ledger struct {
	mu   sync.Mutex
	jobs map[string]*jobRecord
	unexpected  []string // what came that nobody announced, or changed on the way
	more int
}

type jobRecord struct {
	Job
	runs    []Execution
	arrived int
	live    int
	maxConcurrent    int // runs at once
}

// Announce tells of a job that will be sent. It reports false if the id is taken.
func (b *Ledger) Announce(j Job) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.jobs == nil {
		b.jobs = map[string]*jobRecord{}
	}
	if b.jobs[j.ID] != nil {
		return false
	}
	b.jobs[j.ID] = &jobRecord{Job: j}
	return true
}

const maxUnexpected = 100

func (b *Ledger) recordUnexpected(text string) {
	if len(b.unexpected) < maxUnexpected {
		b.unexpected = append(b.unexpected, text)
	} else {
		b.more++
	}
}

// accept looks a job up for a worker that has got it whole.
func (b *Ledger) accept(id, path string, body int) (Job, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.jobs[id]
	switch {
	case p == nil:
		b.recordUnexpected("id " + id + " was never announced")
		return Job{}, false
	case p.Path != "" && (p.Path != path || p.BodyBytes != body):
		b.recordUnexpected("id " + id + " was changed on the way")
		return Job{}, false
	}
	p.arrived++
	return p.Job, true
}

func (b *Ledger) startRun(id, worker string, at time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.jobs[id]
	p.runs = append(p.runs, Execution{Worker: worker, Start: at})
	p.live++
	p.maxConcurrent = max(p.maxConcurrent, p.live)
	return len(p.runs) - 1
}

func (b *Ledger) endRun(id string, run int, at time.Time, done bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.jobs[id]
	p.live--
	p.runs[run].End, p.runs[run].Completed = at, done
}

// Runs tells how often a job was started and how often it ran to its end.
func (b *Ledger) Runs(id string) (started, done int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.jobs[id]
	if p == nil {
		return 0, 0
	}
	for _, r := range p.runs {
		if r.Completed {
			done++
		}
	}
	return len(p.runs), done
}

// Findings are what the books show at the end.
type Findings struct {
	Announced int            `json:"announced"`
	Executed  int            `json:"executed"`  // jobs that ran, once or more
	Duplicated  []string       `json:"ran_twice"` // ids of jobs that must not, and did
	Retried  int            `json:"repeated"`  // jobs that may, and did
	Unexpected   []string       `json:"unknown"`   // what came and was not announced so
	ByWorker  map[string]int `json:"by_worker"`
}

// Check reads the books.
func (b *Ledger) Check() Findings {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := Findings{Announced: len(b.jobs), Duplicated: []string{}, Unexpected: slices.Clone(b.unexpected), ByWorker: map[string]int{}}
	for id, p := range b.jobs {
		for _, r := range p.runs {
			f.ByWorker[r.Worker]++
		}
		if len(p.runs) > 0 {
			f.Executed++
		}
		if len(p.runs) > 1 {
			if p.Retryable {
				f.Retried++
			} else {
				f.Duplicated = append(f.Duplicated, id)
			}
		}
	}
	slices.Sort(f.Duplicated)
	return f
}

// ExecutedIDs lists the ids of all jobs that ran, in order.
func (b *Ledger) ExecutedIDs() (ids []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, p := range b.jobs {
		if len(p.runs) > 0 {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, cmp.Compare[string])
	return ids
}
