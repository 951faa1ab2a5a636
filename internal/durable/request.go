package durable

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"hollyyoke.example/hollyyoke/internal/jobs"
)

// requestPrefix begins the ids of jobs that came with an idempotency key, and keeps them apart from the ids that
// Faktory producers choose.
const requestPrefix = "idem:"

// Request is what a client of the HTTP front end asked for under an idempotency key: the payload of its job. The JSON
// names belong to the store's file format and must stay.
type Request struct {
	Target         string        `json:"Target"`
	Key            string        `json:"Key"` // what the request concerns, as in dispatch.Request
	IdempotencyKey string        `json:"-"`   // the job's id holds it
	Body           []byte        `json:"Body"`
	Slots          float64       `json:"Slots"`
	Work           time.Duration `json:"Work"`
}

// RequestID is the id of the job under an idempotency key.
func RequestID(idempotencyKey string) string { return requestPrefix + idempotencyKey }

// Job is the job that a request under an idempotency key becomes. Its hash distinguishes requests under one key that
// ask for different things.
func (r Request) Job(idempotencyKey, class string, nonIdempotent bool) jobs.Job {
	payload, _ := json.Marshal(r) // text, bytes and numbers always marshal
	return jobs.Job{
		ID:            RequestID(idempotencyKey),
		Class:         class,
		NonIdempotent: nonIdempotent,
		Payload:       payload,
		PayloadHash:   xxhash.Sum64String(class + "\x00" + r.Target + "\x00" + string(r.Body)),
	}
}

// ReadRequest reads the request of a job; false: the job did not come with an idempotency key.
func ReadRequest(job jobs.Job) (request Request, isRequest bool) {
	request.IdempotencyKey, isRequest = strings.CutPrefix(job.ID, requestPrefix)
	if !isRequest {
		return request, false
	}
	err := json.Unmarshal(job.Payload, &request)
	return request, err == nil
}
