package durable

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"hollyyoke.example/hollyyoke/internal/jobs"
)

// This file owns jobs that clients of the platform's front hand in under an
// idempotency key, and those who wait for a job's end. It must never let two
// requests pass for one that ask for different things.

// requestPrefix keeps such jobs apart from the jids of producers.
const requestPrefix = "idem:"

// Request is what such a client asked for.
type Request struct {
	Target         string        `json:"Target"`
	Key            string        `json:"Key"` // what it concerns
	IdempotencyKey string        `json:"-"`   // the client's idempotency key, which the job's id holds
	Body           []byte        `json:"Body"`
	Slots          float64       `json:"Slots"`
	Work           time.Duration `json:"Work"`
}

// RequestID is the id of the job under a key.
func RequestID(key string) string { return requestPrefix + key }

// Job words a request for the service.
func (r Request) Job(key, class string, nonIdempotent bool) jobs.Job {
	payload, _ := json.Marshal(r) // text, bytes and numbers always marshal
	return jobs.Job{ID: RequestID(key), Class: class, NonIdempotent: nonIdempotent, Payload: payload, PayloadHash: xxhash.Sum64String(class + "\x00" + r.Target + "\x00" + string(r.Body))}
}

// ReadRequest reads what a job asks for; false: it came by another wire.
func ReadRequest(j jobs.Job) (r Request, is bool) {
	if r.IdempotencyKey, is = strings.CutPrefix(j.ID, requestPrefix); is {
		is = json.Unmarshal(j.Payload, &r) == nil
	}
	return r, is
}

// Watch calls onFinal once the job is in a final state that is on disk, and also where the job is not known or the
// service closes before that.
func (s *Service) Watch(id string, onFinal func(jobs.Job)) {
	if j, known := s.m.Get(id); !known || j.State.IsFinal() && s.m.IsStored(id) {
		onFinal(j)
		return
	}
	s.watches[id] = append(s.watches[id], onFinal)
}

// over tells those who wait for a job.
func (s *Service) over(id string) {
	list := s.watches[id]
	if j, known := s.m.Get(id); len(list) > 0 && (!known || j.State.IsFinal() && s.m.IsStored(id)) {
		delete(s.watches, id)
		for _, told := range list {
			told(j)
		}
	}
}
