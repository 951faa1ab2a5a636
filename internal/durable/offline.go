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

// OfflineStore gives access to a store that no dispatcher has open. Changes go through the same state machine as those
// of a Service, and each is stored together with its audit.
type OfflineStore struct {
	store      *store.Store
	machine    *jobs.Machine
	now        func() time.Duration
	auditCount int // audits made since the store was opened

	Audits []Audit // those in the store when it was opened, oldest first
}

// OpenOffline opens a store; now returns the Unix time. It fails if a dispatcher has the store open.
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

// readRecord reads a record that is not a job.
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

// Get returns a job, or false if there is no such job.
func (o *OfflineStore) Get(id string) (jobs.Job, bool) { return o.machine.Get(id) }

// Resolve resolves a job in doubt as Service.Resolve does, and returns once the change is on disk.
func (o *OfflineStore) Resolve(id string, ran bool, reason jobs.Reason) error {
	effects, err := o.machine.Resolve(o.now(), id, ran, reason)
	if err != nil {
		return err
	}
	return o.commit(effects, Audit{ID: id, Action: resolveAction(ran), Reason: reason, Operator: true})
}

// Move moves a job that waits to run or is dead at an operator's request, and returns once the change is on disk.
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

// Snapshot writes a copy of the store, whose own file is at path, to a file of the given name in the same directory.
func (o *OfflineStore) Snapshot(path, name string) error {
	target, err := SiblingPath(path, name)
	if err != nil {
		return err
	}
	return o.store.Snapshot(target)
}

// Close closes the file.
func (o *OfflineStore) Close() error { return o.store.Close() }
