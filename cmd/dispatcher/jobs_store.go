package main

import (
	"fmt"
	"time"

	"hollyyoke.example/hollyyoke/internal/durable"
	"hollyyoke.example/hollyyoke/internal/jobs"
)

// Limits of one page of jobs of a store file.
const (
	storePageSize    = 1000      // jobs listed
	storePageMaxScan = 1_000_000 // jobs matched against the filter
)

// storeFile is the store file of a stopped dispatcher. It implements jobsBackend.
type storeFile struct {
	*durable.OfflineStore
	path string
}

var _ jobsBackend = storeFile{}

func openOffline(path string) (*durable.OfflineStore, error) {
	return durable.OpenOffline(path, func() time.Duration { return time.Duration(time.Now().UnixNano()) })
}

func (f storeFile) snapshot(name string) error { return f.Snapshot(f.path, name) }

func (f storeFile) page(filter jobsFilter, after uint64) (views []durable.View, next uint64, err error) {
	match, err := durable.Filter(filter.state, filter.class)
	if err != nil {
		return nil, 0, err
	}
	list, next := f.Page(after, storePageSize, storePageMaxScan, match)
	for _, job := range list {
		views = append(views, durable.NewView(job, filter.withPayload))
	}
	return views, next, nil
}

func (f storeFile) show(id string) (durable.View, error) {
	job, known := f.Get(id)
	if !known {
		return durable.View{}, fmt.Errorf("no job %s", id)
	}
	return durable.NewView(job, true), nil
}

func (f storeFile) change(change jobChange) error {
	switch change.kind {
	case resolveJob:
		return f.Resolve(change.id, change.ran, change.reason)
	case retryJob:
		return f.Move(change.id, jobs.Requeue, change.reason)
	default:
		return f.Move(change.id, jobs.Discard, change.reason)
	}
}
