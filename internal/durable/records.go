package durable

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"

	"hollyyoke.example/hollyyoke/internal/jobs"
	"hollyyoke.example/hollyyoke/internal/store"
)

// The ids of records in the store that are not jobs. No job id begins with a zero byte.
const (
	metaPrefix   = "\x00"
	pausedRecord = metaPrefix + "paused" // the names of the paused classes
	syncedRecord = metaPrefix + "synced" // never written; AfterSync deletes it to wait for the changes before it
	auditPrefix  = metaPrefix + "audit-"
)

// readJobs reads all jobs of a store. readOther is called with each record that is not a job, one at a time, in no
// particular order.
func readJobs(file *store.Store, readOther func(id string, value []byte) error) ([]jobs.Job, error) {
	return readJobsWithin(file, &payloadBudget{}, readOther)
}

// readJobsWithin is like readJobs, but leaves the payloads in the store that do not fit into the budget.
func readJobsWithin(file *store.Store, budget *payloadBudget, readOther func(id string, value []byte) error) ([]jobs.Job, error) {
	var mu sync.Mutex
	return store.Load(file, func(id string, value []byte) (job jobs.Job, isJob bool, err error) {
		if strings.HasPrefix(id, metaPrefix) {
			mu.Lock()
			defer mu.Unlock()
			return job, false, readOther(id, value)
		}
		if err := json.Unmarshal(value, &job); err != nil {
			return job, true, fmt.Errorf("job %q: %w", id, err)
		}
		budget.apply(&job)
		return job, true, nil
	})
}

// readRecord reads a record that is not a job. Expired audits are deleted together with the next change.
func (s *Service) readRecord(id string, value []byte) error {
	if id == pausedRecord {
		return json.Unmarshal(value, &s.pausedClasses)
	}
	if isExpiredAudit(id, s.loop.Now()) {
		s.pendingAudits = append(s.pendingAudits, store.Record{ID: id})
	}
	return nil
}
