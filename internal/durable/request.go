package durable

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"hollyyoke.example/hollyyoke/internal/jobs"
)

// requestPrefix is the prefix of the ids of jobs that came with an idempotency key. It distinguishes them from the ids
// that Faktory producers choose.
const requestPrefix = "idem:"

// Request is an HTTP request with an idempotency key, as it is stored in the payload of its job. The JSON names belong
// to the store's file format and must stay.
type Request struct {
	Target         string        `json:"Target"`
	Key            string        `json:"Key"` // as in dispatch.Request
	IdempotencyKey string        `json:"-"`   // part of the job's id instead
	Body           []byte        `json:"Body"`
	Slots          float64       `json:"Slots"`
	Work           time.Duration `json:"Work"`
}

// RequestID is the id of the job of a request with an idempotency key.
func RequestID(idempotencyKey string) string { return requestPrefix + idempotencyKey }

// Job returns the job of a request with an idempotency key. Its hash covers class, target and body, so that different
// requests with the same key are detected.
func (r Request) Job(idempotencyKey, class string, nonIdempotent bool) jobs.Job {
	payload, _ := json.Marshal(r) // marshalling strings, bytes and numbers never fails
	return jobs.Job{
		ID:            RequestID(idempotencyKey),
		Class:         class,
		NonIdempotent: nonIdempotent,
		Payload:       payload,
		PayloadHash:   xxhash.Sum64String(class + "\x00" + r.Target + "\x00" + string(r.Body)),
	}
}

// ReadRequest decodes the request of a job. It returns false if the job did not come with an idempotency key.
func ReadRequest(job jobs.Job) (request Request, isRequest bool) {
	request.IdempotencyKey, isRequest = strings.CutPrefix(job.ID, requestPrefix)
	if !isRequest {
		return request, false
	}
	err := json.Unmarshal(job.Payload, &request)
	return request, err == nil
}
