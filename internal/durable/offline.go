package durable

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"hollyyoke.example/hollyyoke/internal/jobs"
	"hollyyoke.example/hollyyoke/internal/store"
)

// OfflineStore is a store that no dispatcher has open. Its changes go through the same state machine as a Service's,
// and each is stored together with its audit.
type OfflineStore struct {
	store      *store.Store
	machine    *jobs.Machine
	now        func() time.Duration
	auditCount int // since the store was opened

	Audits []Audit // of the time before the store was opened, oldest first
}

// OpenOffline opens a store; now is the Unix time. A store that a dispatcher has open is an error.
func OpenOffline(path string, now func() time.Duration) (*OfflineStore, error) {
	file, err := store.Open(path, store.Options{})
	if err != nil {
		return nil, err
	}
	offlineStore := &OfflineStore{store: file, machine: jobs.New(jobs.Config{}), now: now}
	stored, err := readJobs(file, offlineStore.readRecord)
	if err != nil {
		file.Close()
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	slices.SortStableFunc(offlineStore.Audits, func(a, b Audit) int { return a.At.Compare(b.At) })
	offlineStore.machine.Recover(now(), stored)
	return offlineStore, nil
}

// readRecord reads a record that is no job.
func (o *OfflineStore) readRecord(id string, value []byte) error {
	if !strings.HasPrefix(id, auditPrefix) {
		return nil
	}
	var audit Audit
	err := json.Unmarshal(value, &audit)
	o.Audits = append(o.Audits, audit)
	return err
}

// Page lists jobs as Service.Page does.
func (o *OfflineStore) Page(after uint64, maxResults, maxScanned int, match func(jobs.Job) bool) (list []jobs.Job, next uint64) {
	return o.machine.Page(after, maxResults, maxScanned, match)
}

// Get returns a job as it is stored; false: it is not known.
func (o *OfflineStore) Get(id string) (jobs.Job, bool) { return o.machine.Get(id) }

// Resolve ends the doubt about a job, as Service.Resolve does, and returns once that is on disk.
func (o *OfflineStore) Resolve(id string, ran bool, reason jobs.Reason) error {
	effects, err := o.machine.Resolve(o.now(), id, ran, reason)
	if err != nil {
		return err
	}
	return o.commit(effects, Audit{ID: id, Action: resolveAction(ran), Reason: reason, Operator: true})
}

// Move moves a job that waits or is dead at an operator's request, and returns once that is on disk.
func (o *OfflineStore) Move(id string, move jobs.Move, reason jobs.Reason) error {
	effects, err := o.machine.Move(o.now(), id, move, reason, true)
	if err != nil {
		return err
	}
	return o.commit(effects, Audit{ID: id, Action: move.String(), Reason: reason, Operator: true})
}

// commit stores the jobs that have changed, together with the audit.
func (o *OfflineStore) commit(effects []jobs.Effect, audit Audit) error {
	o.auditCount++
	records := []store.Record{audit.record(o.now(), o.auditCount)}
	for _, effect := range effects {
		if effect.Kind == jobs.StoreJob {
			records = append(records, store.Record{ID: effect.Job.ID, Value: effect.Job})
		}
	}
	stored := make(chan error, 1)
	o.store.Put(records, func(err error) { stored <- err })
	return <-stored
}

// Snapshot writes a copy of the store, which lies at path, to a file of that name beside it.
func (o *OfflineStore) Snapshot(path, name string) error {
	target, err := SiblingPath(path, name)
	if err != nil {
		return err
	}
	return o.store.Snapshot(target)
}

// Close closes the file.
func (o *OfflineStore) Close() error { return o.store.Close() }
