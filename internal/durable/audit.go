package durable

import (
	"fmt"
	"strings"
	"time"

	"hollyyoke.example/hollyyoke/internal/jobs"
	"hollyyoke.example/hollyyoke/internal/store"
)

// auditRetention is how long an audit is kept. The first start after that deletes it.
const auditRetention = 180 * 24 * time.Hour

// Audit records a change of a job by an operator or client, or that a job died or came into doubt. It is stored together
// with that change.
type Audit struct {
	At       time.Time   `json:"at"`
	ID       string      `json:"id"`  // of the job
	Action   string      `json:"act"` // a move, a resolution, or the job's new state
	Worker   string      `json:"worker,omitempty"`
	Fence    uint64      `json:"fence,omitempty"`
	Reason   jobs.Reason `json:"why,omitempty"`
	Operator bool        `json:"operator,omitempty"` // the change was requested by an operator
}

// audit adds an audit that is stored with the next change.
func (s *Service) audit(a Audit) {
	s.auditCount++
	s.pendingAudits = append(s.pendingAudits, a.record(s.loop.Now(), s.auditCount))
}

// record returns the stored form of an audit. Its id contains time and number, so that audits are stored in that order.
func (a Audit) record(now time.Duration, number int) store.Record {
	a.At = time.Unix(0, int64(now)).UTC()
	return store.Record{ID: fmt.Sprintf("%s%020d-%06d", auditPrefix, int64(now), number), Value: a}
}

// isExpiredAudit reports whether id belongs to an audit that is older than auditRetention.
func isExpiredAudit(id string, now time.Duration) bool {
	text, isAudit := strings.CutPrefix(id, auditPrefix)
	var at int64
	_, err := fmt.Sscanf(text, "%d-", &at)
	return isAudit && err == nil && time.Duration(at) < now-auditRetention
}

// resolveAction returns the Action of the audit of a resolution. The texts are stored and must stay.
func resolveAction(ran bool) string {
	if ran {
		return "settled: it ran"
	}
	return "settled: it did not run"
}
