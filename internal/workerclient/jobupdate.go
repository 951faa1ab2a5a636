package workerclient

import (
	"bytes"
	"encoding/json"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/httpwire"
	"hollyyoke.example/hollyyoke/internal/settings"
)

// jobState is the state of a job, as a worker states it.
type jobState string

// The states of a job. All but the first two end the attempt.
const (
	jobStarted  jobState = "started"
	jobRunning  jobState = "running"
	jobDone     jobState = "done"
	jobFailed   jobState = "failed"
	jobReturned jobState = "returned" // the worker had no capacity, and the job has not run
	jobLost     jobState = "lost"     // the job may have run
)

// jobUpdate is one line in the body of a worker's response.
type jobUpdate struct {
	ID       string          `json:"id"` // of the request
	State    jobState        `json:"state"`
	Progress float64         `json:"share"` // from 0 to 1
	Result   json.RawMessage `json:"result"`
	Load     json.RawMessage `json:"load"`
}

// handleUpdate handles a line with a job update. It reports the job's start or progress to the dispatcher, and stores
// the result of a job that has ended. An empty line is ignored. An update for another request, or with an unknown
// state, is an error.
func (c *connection) handleUpdate(line []byte) error {
	line = bytes.TrimSpace(line)
	if len(line) == 0 {
		return nil
	}
	var update jobUpdate
	err := json.Unmarshal(line, &update)
	if err != nil {
		return err
	}
	if update.ID != c.attempt.Request.ID {
		return httpwire.ErrMalformed
	}
	var load decision.LoadReport
	if len(update.Load) > 0 {
		load = settings.ReadLoadReport(&c.client.dispatcher.Settings, update.Load)
	}
	switch update.State {
	case jobStarted:
		c.client.dispatcher.AttemptStarted(c.handle)
	case jobRunning:
		c.client.dispatcher.AttemptProgressed(c.handle, update.Progress)
	case jobDone:
		c.response.result = &attemptResult{outcome: decision.Completed, load: load, body: resultBody(update.Result)}
	case jobFailed:
		c.response.result = &attemptResult{outcome: decision.Failed, load: load}
	case jobReturned:
		c.response.result = &attemptResult{outcome: decision.Saturated, load: load}
	case jobLost:
		c.response.result = &attemptResult{outcome: decision.ConnectionLost, load: load}
	default:
		return httpwire.ErrMalformed
	}
	return nil
}

// resultBody returns the body of the response to the client: the decoded text if the result is a JSON string, and the
// JSON text otherwise.
func resultBody(result json.RawMessage) []byte {
	var text string
	if json.Unmarshal(result, &text) == nil {
		return []byte(text)
	}
	return []byte(result)
}
