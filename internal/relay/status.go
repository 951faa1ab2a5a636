package relay

import (
	"time"

	"hollyyoke.example/hollyyoke/internal/membership"
)

// Status is the response to GET /control/membership of the admin API.
type Status struct {
	Name          string             `json:"name"`
	Zone          string             `json:"zone"`
	Version       membership.Version `json:"version"`
	Entries       int                `json:"entries"`
	Complete      bool               `json:"complete"`       // nothing is missing after a rejected change
	AgeSeconds    float64            `json:"newest_age_s"`   // seconds since the newest version arrived
	Upstream      string             `json:"upstream"`       // empty if none works
	UpstreamSince time.Time          `json:"upstream_since"` // when Upstream last changed

	Subscribers        int                `json:"subscribers"`         // number that acknowledged within the expiry
	Watches            int                `json:"watches"`             // number open now
	LowestAcknowledged membership.Version `json:"lowest_acknowledged"` // version that all live subscribers have acknowledged
	HaveNewest         int                `json:"have_newest"`         // number of subscribers that acknowledged the newest version
	Rejections         []Rejection        `json:"refused"`             // the last rejections, oldest first
	RejectionCount     int                `json:"refused_total"`

	SentBytes           int64      `json:"sent_bytes"`
	SentSnapshots       int64      `json:"sent_snapshots"`
	SentDeltas          int64      `json:"sent_deltas"`
	EncodedSnapshots    int64      `json:"encoded_snapshots"`
	CompressedSnapshots int64      `json:"compressed_snapshots"`
	AckLatency          AckLatency `json:"in_force_s"`
}

// AckLatency is the time from a change's arrival at the relay to its
// acknowledgement by all subscribers, in seconds.
type AckLatency struct {
	Changes int64   `json:"changes"`
	P50     float64 `json:"p50"`
	P99     float64 `json:"p99"`
	Max     float64 `json:"max"`
}

// status returns the status that the admin API reports.
func (s *state) status() Status {
	now := s.now()
	summary := s.acks.Summary(now)
	haveNewest, _ := s.acks.CountAtLeast(now, s.store.Version())
	status := Status{
		Name:          s.config.Name,
		Zone:          s.config.Zone,
		Version:       s.store.Version(),
		Entries:       s.store.Len(),
		Complete:      s.store.ResumeVersion() == s.store.Version(),
		Upstream:      s.upstream.address,
		UpstreamSince: s.upstream.since,

		Subscribers:        summary.Subscribers,
		Watches:            s.subscribers.Len(),
		LowestAcknowledged: summary.Lowest,
		HaveNewest:         haveNewest,
		Rejections:         append([]Rejection{}, s.rejections.latest...),
		RejectionCount:     s.rejections.total,

		SentBytes:           s.counters.bytesSent.Load(),
		SentSnapshots:       s.counters.snapshotsSent.Load(),
		SentDeltas:          s.counters.deltasSent.Load(),
		EncodedSnapshots:    s.counters.snapshotsEncoded.Load(),
		CompressedSnapshots: s.counters.snapshotsCompressed.Load(),
		AckLatency: AckLatency{
			Changes: s.latency.histogram.TotalCount(),
			P50:     s.latency.seconds(50),
			P99:     s.latency.seconds(99),
			Max:     s.latency.seconds(100),
		},
	}
	if s.hasSnapshot {
		status.AgeSeconds = (now - s.changedAt).Seconds()
	}
	return status
}
