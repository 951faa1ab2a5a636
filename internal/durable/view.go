package durable

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"hollyyoke.example/hollyyoke/internal/jobs"
)

// View is a job as the admin API and the jobs commands show it.
type View struct {
	Sequence      uint64          `json:"seq"`
	ID            string          `json:"id"`
	Class         string          `json:"class"`
	State         string          `json:"state"`
	NonIdempotent bool            `json:"must_not_run_twice"`
	Worker        string          `json:"worker,omitempty"`
	Fence         uint64          `json:"fence,omitempty"`
	Attempts      int             `json:"attempts"`
	DueAt         string          `json:"due,omitempty"` // when its lease expires, it may run, or it is deleted
	Reason        jobs.Reason     `json:"why,omitempty"`
	Payload       json.RawMessage `json:"payload,omitempty"`
	PayloadText   string          `json:"payload_text,omitempty"` // the payload if it is not JSON
}

// NewView returns the view of a job, with its payload if withPayload is set.
func NewView(job jobs.Job, withPayload bool) View {
	view := View{
		Sequence: job.Sequence, ID: job.ID, Class: job.Class, State: job.State.String(), NonIdempotent: job.NonIdempotent,
		Worker: job.Worker, Fence: job.Fence, Attempts: job.Attempts, Reason: job.Reason,
	}
	if job.DueAt > 0 && job.State != jobs.Ready && job.State != jobs.InDoubt {
		view.DueAt = time.Unix(0, int64(job.DueAt)).UTC().Format(time.RFC3339Nano)
	}
	switch {
	case !withPayload:
	case json.Valid(job.Payload):
		view.Payload = job.Payload
	default:
		view.PayloadText = string(job.Payload)
	}
	return view
}

// Filter returns a filter by the names of a state and a class; an empty name matches all. An unknown state is an error.
func Filter(state, class string) (func(jobs.Job) bool, error) {
	if state != "" && !jobs.IsState(state) {
		return nil, fmt.Errorf("state: %q is none of %s", state, strings.Join(jobs.States(), ", "))
	}
	return func(job jobs.Job) bool {
		return (state == "" || job.State.String() == state) && (class == "" || job.Class == class)
	}, nil
}
