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

// This file owns the audit, which is stored with what it tells of, and the work
// on a store that no dispatcher has open. It must never change a job by another
// way than the state machine's, nor without an audit.

// Audit is one line of what was done to a job, or became of it.
type Audit struct {
	At       time.Time   `json:"at"`
	ID       string      `json:"id"`
	Action   string      `json:"act"`
	Worker   string      `json:"worker,omitempty"`
	Fence    uint64      `json:"fence,omitempty"`
	Reason   jobs.Reason `json:"why,omitempty"`
	Operator bool        `json:"operator,omitempty"` // by an operator's word
}

const (
	auditPrefix = notePrefix + "audit-"
	auditAge    = 180 * 24 * time.Hour // then a start forgets it
)

// audit stores a line with the next change.
func (s *Service) audit(a Audit) {
	s.heard++
	s.audits = append(s.audits, a.record(s.loop.Now(), s.heard))
}

func (a Audit) record(now time.Duration, n int) store.Record {
	a.At = time.Unix(0, int64(now)).UTC()
	return store.Record{ID: fmt.Sprintf("%s%020d-%06d", auditPrefix, int64(now), n), Value: a}
}

// stale tells whether an audit's id says that it is old.
func stale(id string, now time.Duration) bool {
	text, is := strings.CutPrefix(id, auditPrefix)
	var at int64
	_, err := fmt.Sscanf(text, "%d-", &at)
	return is && err == nil && time.Duration(at) < now-auditAge
}

func settled(ran bool) string {
	if ran {
		return "settled: it ran"
	}
	return "settled: it did not run"
}

// OfflineStore is a store that no dispatcher has open.
type OfflineStore struct {
	st  *store.Store
	m   *jobs.Machine
	now func() time.Duration
	n   int

	Audits []Audit // oldest first
}

// OpenOffline opens a store, which a running dispatcher keeps closed to others.
func OpenOffline(path string, now func() time.Duration) (*OfflineStore, error) {
	st, err := store.Open(path, store.Options{})
	if err != nil {
		return nil, err
	}
	b := &OfflineStore{st: st, m: jobs.New(jobs.Config{}), now: now}
	kept, err := read(st, func(id string, value []byte) error {
		if !strings.HasPrefix(id, auditPrefix) {
			return nil
		}
		var a Audit
		err := json.Unmarshal(value, &a)
		b.Audits = append(b.Audits, a)
		return err
	})
	if err != nil {
		st.Close()
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	slices.SortStableFunc(b.Audits, func(a, b Audit) int { return a.At.Compare(b.At) })
	b.m.Recover(now(), kept)
	return b, nil
}

// Page lists some jobs behind a place in their order.
func (b *OfflineStore) Page(after uint64, most, look int, want func(jobs.Job) bool) ([]jobs.Job, uint64) {
	return b.m.Page(after, most, look, want)
}

// Get is a job as it is stored; false: it is not known.
func (b *OfflineStore) Get(id string) (jobs.Job, bool) { return b.m.Get(id) }

// Resolve ends a job in doubt by an operator's word.
func (b *OfflineStore) Resolve(id string, ran bool, reason jobs.Reason) error {
	effects, err := b.m.Resolve(b.now(), id, ran, reason)
	return b.keep(effects, err, Audit{ID: id, Action: settled(ran), Reason: reason, Operator: true})
}

// Move moves a job that waits or is dead by an operator's word.
func (b *OfflineStore) Move(id string, to jobs.Move, reason jobs.Reason) error {
	effects, err := b.m.Move(b.now(), id, to, reason, true)
	return b.keep(effects, err, Audit{ID: id, Action: to.String(), Reason: reason, Operator: true})
}

func (b *OfflineStore) keep(effects []jobs.Effect, err error, a Audit) error {
	if err != nil {
		return err
	}
	b.n++
	records := []store.Record{a.record(b.now(), b.n)}
	for _, e := range effects {
		if e.Kind == jobs.StoreJob {
			records = append(records, store.Record{ID: e.Job.ID, Value: e.Job})
		}
	}
	told := make(chan error, 1)
	b.st.Put(records, func(err error) { told <- err })
	return <-told
}

// Snapshot writes the store to a file beside it.
func (b *OfflineStore) Snapshot(path, name string) error {
	to, err := SiblingPath(path, name)
	if err != nil {
		return err
	}
	return b.st.Snapshot(to)
}

// Close lets go of the file.
func (b *OfflineStore) Close() error { return b.st.Close() }

// View is a job as operators see it.
type View struct {
	Sequence      uint64          `json:"seq"`
	ID            string          `json:"id"`
	Class         string          `json:"class"`
	State         string          `json:"state"`
	NonIdempotent bool            `json:"must_not_run_twice"`
	Worker        string          `json:"worker,omitempty"`
	Fence         uint64          `json:"fence,omitempty"`
	Attempts      int             `json:"attempts"`
	DueAt         string          `json:"due,omitempty"` // its lease's end, when it may run, or when it is forgotten
	Reason        jobs.Reason     `json:"why,omitempty"`
	Payload       json.RawMessage `json:"payload,omitempty"`
	PayloadText   string          `json:"payload_text,omitempty"` // of a payload that is no JSON
}

// NewView words a job for operators; full: with what it asks for.
func NewView(j jobs.Job, full bool) View {
	v := View{Sequence: j.Sequence, ID: j.ID, Class: j.Class, State: j.State.String(), NonIdempotent: j.NonIdempotent, Worker: j.Worker, Fence: j.Fence, Attempts: j.Attempts, Reason: j.Reason}
	if j.DueAt > 0 && j.State != jobs.Ready && j.State != jobs.InDoubt {
		v.DueAt = time.Unix(0, int64(j.DueAt)).UTC().Format(time.RFC3339Nano)
	}
	if full && json.Valid(j.Payload) {
		v.Payload = j.Payload
	} else if full {
		v.PayloadText = string(j.Payload)
	}
	return v
}

// Filter is a filter by state and class, each empty for all.
func Filter(state, class string) (func(jobs.Job) bool, error) {
	if state != "" && !jobs.IsState(state) {
		return nil, fmt.Errorf("state: %q is none of %s", state, strings.Join(jobs.States(), ", "))
	}
	return func(j jobs.Job) bool {
		return (state == "" || j.State.String() == state) && (class == "" || j.Class == class)
	}, nil
}
