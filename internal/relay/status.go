package relay

import (
	"time"

	"hollyyoke.example/hollyyoke/internal/membership"
)

// keptRefusals is how many refused changes the status lists.
const keptRefusals = 20

// Status is what GET /control/membership answers.
type Status struct {
	Name          string             `json:"name"`
	Zone          string             `json:"zone"`
	Version       membership.Version `json:"version"`
	Entries       int                `json:"entries"`
	Complete      bool               `json:"complete"`     // nothing is missing by a refused change
	AgeSeconds    float64            `json:"newest_age_s"` // since the newest version arrived
	Upstream      string             `json:"upstream"`     // empty: none answers
	UpstreamSince time.Time          `json:"upstream_since"`

	Subscribers  int                `json:"subscribers"`         // that acknowledged within the expiry
	Watches      int                `json:"watches"`             // open now
	Lowest       membership.Version `json:"lowest_acknowledged"` // by all live subscribers
	HaveNewest   int                `json:"have_newest"`         // subscribers that acknowledged the newest version
	Refused      []Refusal          `json:"refused"`             // the last ones
	RefusedCount int                `json:"refused_total"`

	SentBytes     int64   `json:"sent_bytes"`
	SentSnapshots int64   `json:"sent_snapshots"`
	SentDeltas    int64   `json:"sent_deltas"`
	Encoded       int64   `json:"encoded_snapshots"`
	Compressed    int64   `json:"compressed_snapshots"`
	InForce       InForce `json:"in_force_s"`
}

// Refusal is a change that was refused whole.
type Refusal struct {
	Time     time.Time          `json:"time"`
	Upstream string             `json:"upstream"`
	Version  membership.Version `json:"version"` // 0: not readable
	Reason   string             `json:"reason"`  // names the field
}

// InForce is the time from a change's arrival here to its acknowledgement by
// all subscribers, in seconds.
type InForce struct {
	Changes int64   `json:"changes"`
	P50     float64 `json:"p50"`
	P99     float64 `json:"p99"`
	Max     float64 `json:"max"`
}

// status gathers it.
func (s *state) status() Status {
	now := s.now()
	summary := s.acks.Summary(now)
	have, _ := s.acks.CountAtLeast(now, s.store.Version())
	status := Status{
		Name: s.config.Name, Zone: s.config.Zone, Version: s.store.Version(), Entries: s.store.Len(),
		Complete: s.store.ResumeVersion() == s.store.Version(),
		Upstream: s.upstream, UpstreamSince: s.upstreamSince,
		Subscribers: summary.Subscribers, Watches: s.subscribers.Len(), Lowest: summary.Lowest, HaveNewest: have,
		Refused: append([]Refusal{}, s.refused...), RefusedCount: s.refusedCount,
		SentBytes: s.counters.sentSum.Load(), SentSnapshots: s.counters.snapshotsSent.Load(),
		SentDeltas: s.counters.deltasSent.Load(), Encoded: s.counters.encoded.Load(), Compressed: s.counters.compressed.Load(),
		InForce: InForce{Changes: s.latency.histogram.TotalCount(), P50: s.latency.seconds(50),
			P99: s.latency.seconds(99), Max: s.latency.seconds(100)},
	}
	if s.ready {
		status.AgeSeconds = (now - s.changedAt).Seconds()
	}
	return status
}
