package durable

import (
	"fmt"
	"strings"
	"time"

	"hollyyoke.example/hollyyoke/internal/jobs"
	"hollyyoke.example/hollyyoke/internal/store"
)

// auditRetention is how long an audit is kept; the first start after that deletes it.
const auditRetention = 180 * 24 * time.Hour

// Audit is a record of what was done to a job, or became of it. It is stored together with the change that it records.
type Audit struct {
	At       time.Time   `json:"at"`
	ID       string      `json:"id"`  // of the job
	Action   string      `json:"act"` // a move, a resolution, or the state that the job came into
	Worker   string      `json:"worker,omitempty"`
	Fence    uint64      `json:"fence,omitempty"`
	Reason   jobs.Reason `json:"why,omitempty"`
	Operator bool        `json:"operator,omitempty"` // at an operator's request
}

// audit has an audit stored with the next change.
func (s *Service) audit(a Audit) {
	s.auditCount++
	s.pendingAudits = append(s.pendingAudits, a.record(s.loop.Now(), s.auditCount))
}

// record is the stored form of an audit. The id holds its time and number, so that audits are sorted by them.
func (a Audit) record(now time.Duration, number int) store.Record {
	a.At = time.Unix(0, int64(now)).UTC()
	return store.Record{ID: fmt.Sprintf("%s%020d-%06d", auditPrefix, int64(now), number), Value: a}
}

// isExpiredAudit reports whether an id is that of an audit that is older than auditRetention.
func isExpiredAudit(id string, now time.Duration) bool {
	text, isAudit := strings.CutPrefix(id, auditPrefix)
	var at int64
	_, err := fmt.Sscanf(text, "%d-", &at)
	return isAudit && err == nil && time.Duration(at) < now-auditRetention
}

// resolveAction is the Action of an audit of a resolution. The texts are stored and must stay.
func resolveAction(ran bool) string {
	if ran {
		return "settled: it ran"
	}
	return "settled: it did not run"
}
