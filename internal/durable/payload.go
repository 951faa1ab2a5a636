package durable

import (
	"encoding/json"
	"fmt"
	"sync/atomic"

	"hollyyoke.example/hollyyoke/internal/jobs"
	"hollyyoke.example/hollyyoke/internal/store"
)

// A job's payload may be in the store only: at a start those payloads stay there that do not fit into the memory limit.
// They are read when their jobs are passed to the dispatcher, and never on the loop's goroutine, since a slow disk must
// not block it.

// storedPayload is the part of a stored job that holds its payload.
type storedPayload struct {
	Payload []byte `json:"Payload"`
}

// payloadBudget decides at a start which payloads are kept in memory. It may be used from any goroutine.
type payloadBudget struct {
	limit int // bytes that all jobs may take up; 0 means no limit
	used  atomic.Int64
}

// apply counts a job, and leaves its payload in the store if it does not fit.
func (b *payloadBudget) apply(job *jobs.Job) {
	memory := int64(job.Memory())
	used := b.used.Add(memory)
	if b.limit <= 0 || used <= int64(b.limit) || len(job.Payload) == 0 {
		return
	}
	b.used.Add(-int64(len(job.Payload)))
	job.Payload = nil
	job.PayloadOnDisk = true
}

// SetMemoryLimit sets how many bytes the jobs may take up before new ones are rejected; 0 means no limit.
func (s *Service) SetMemoryLimit(limit int) { s.machine.SetMemoryLimit(limit) }

// readPayload reads the payload of a job from the store. It may be called from any goroutine.
func (s *Service) readPayload(id string) ([]byte, error) {
	value, err := s.store.Read(id)
	if err != nil {
		return nil, err
	}
	var stored storedPayload
	if err := json.Unmarshal(value, &stored); err != nil {
		return nil, fmt.Errorf("job %q: %w", id, err)
	}
	return stored.Payload, nil
}

// jobRecord is a job as it is passed to the store.
type jobRecord struct{ jobs.Job }

var (
	_ store.Sized      = jobRecord{}
	_ store.Incomplete = jobRecord{}
)

// Size is about how many bytes the job takes up.
func (r jobRecord) Size() int { return r.Memory() }

// IsComplete reports whether the job has its payload.
func (r jobRecord) IsComplete() bool { return !r.PayloadOnDisk }

// Complete adds the stored payload.
func (r jobRecord) Complete(stored []byte) (any, error) {
	var payload storedPayload
	err := json.Unmarshal(stored, &payload)
	r.Payload = payload.Payload
	return r, err
}

// LoadPayload reads the payload of a job into memory, and calls done once it is there or cannot be read.
func (s *Service) LoadPayload(id string, done func(error)) {
	go func() {
		payload, err := s.readPayload(id)
		s.loop.Post(func() {
			if err == nil {
				s.machine.SetPayload(id, payload)
			}
			done(err)
		})
	}()
}

// AddPayloads calls done with the jobs of a list and their payloads: at once if all are in memory. A payload that cannot
// be read is left out.
func (s *Service) AddPayloads(list []jobs.Job, done func([]jobs.Job)) {
	if !anyPayloadOnDisk(list) {
		done(list)
		return
	}
	go func() {
		for i := range list {
			s.addPayload(&list[i])
		}
		s.loop.Post(func() { done(list) })
	}()
}

// Select calls done with the ids of those jobs of a list that match, at once if all their payloads are in memory. match is
// called with one job at a time, which has its payload; it may be called on another goroutine.
func (s *Service) Select(list []jobs.Job, match func(jobs.Job) bool, done func(ids []string)) {
	if !anyPayloadOnDisk(list) {
		done(s.selectIDs(list, match))
		return
	}
	go func() {
		ids := s.selectIDs(list, match)
		s.loop.Post(func() { done(ids) })
	}()
}

func (s *Service) selectIDs(list []jobs.Job, match func(jobs.Job) bool) (ids []string) {
	for _, job := range list {
		s.addPayload(&job)
		if match(job) {
			ids = append(ids, job.ID)
		}
	}
	return ids
}

// addPayload adds the payload to a copy of a job, if it is in the store only and can be read.
func (s *Service) addPayload(job *jobs.Job) {
	if !job.PayloadOnDisk {
		return
	}
	payload, err := s.readPayload(job.ID)
	if err == nil {
		job.Payload = payload
	}
}

// anyPayloadOnDisk reports whether the payload of any job of a list is in the store only.
func anyPayloadOnDisk(list []jobs.Job) bool {
	for i := range list {
		if list[i].PayloadOnDisk {
			return true
		}
	}
	return false
}
