package recording

import (
	"encoding/hex"
	"errors"
	"slices"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/recording/recordingpb"
)

// ErrNoEntries says that no entry was accepted; no recording was written.
var ErrNoEntries = errors.New("no entry that a rule fits")

// Reject locates a malformed entry. It holds no text of the entry.
type Reject struct {
	Source string `json:"source"` // the file's name
	Line   int    `json:"line"`   // from 1; in a HAR file the number of the entry
	Offset int64  `json:"offset"` // of the first byte, in the decompressed file
	Reason string `json:"why"`
}

// Counts are numbers of entries: Read = Accepted + Malformed + Unmapped + Ignored.
type Counts struct {
	Read      uint64 `json:"read"`
	Accepted  uint64 `json:"accepted"`
	Malformed uint64 `json:"malformed"`
	Unmapped  uint64 `json:"unmapped"` // no rule matches them
	Ignored   uint64 `json:"ignored"`
	Repaired  uint64 `json:"repaired"` // of the accepted ones
}

// Balanced reports whether every entry that was read is accounted for.
func (c *Counts) Balanced() bool { return c.Read == c.Accepted+c.Malformed+c.Unmapped+c.Ignored }

func (c *Counts) add(other *Counts) {
	c.Read += other.Read
	c.Accepted += other.Accepted
	c.Malformed += other.Malformed
	c.Unmapped += other.Unmapped
	c.Ignored += other.Ignored
	c.Repaired += other.Repaired
}

func (c *Counts) proto() *recordingpb.Counts {
	return &recordingpb.Counts{
		Read:      c.Read,
		Accepted:  c.Accepted,
		Malformed: c.Malformed,
		Unmapped:  c.Unmapped,
		Ignored:   c.Ignored,
		Repaired:  c.Repaired,
	}
}

// SourceReport describes the import of one source.
type SourceReport struct {
	Name   string   `json:"name"`
	Files  []string `json:"files"`
	SHA256 string   `json:"sha256"`
	Format string   `json:"format"`
	Stamp  string   `json:"stamp"` // stampArrival or stampEnd
	Counts
	OffsetUs          int64  `json:"offset_us"` // of the source's clock
	Estimated         bool   `json:"offset_estimated"`
	Pairs             int    `json:"offset_pairs,omitempty"`
	SpreadUs          int64  `json:"offset_spread_us,omitempty"`
	ClockSteps        int    `json:"clock_steps"`
	SteppedUs         int64  `json:"clock_stepped_us"`
	OutlierTimestamps int    `json:"odd_stamps"`
	Spread            int    `json:"spread_within_second"` // entries
	CrowdedSeconds    int    `json:"crowded_seconds"`
	Reordered         bool   `json:"files_put_in_order"`
	Duplicates        uint64 `json:"seen_by_two_sources"`
	Truncation        string `json:"cut,omitempty"` // why the source ended early; empty: it did not
}

// addTruncation adds the reason why a file of the source ended early.
func (r *SourceReport) addTruncation(text string) {
	if r.Truncation != "" {
		r.Truncation += "; "
	}
	r.Truncation += text
}

func (r *SourceReport) proto() *recordingpb.Source {
	digest, _ := hex.DecodeString(r.SHA256) // the importer encoded it
	return &recordingpb.Source{
		Name:      r.Name,
		Sha256:    digest,
		Format:    r.Format,
		Stamp:     r.Stamp,
		Counts:    r.Counts.proto(),
		OffsetUs:  r.OffsetUs,
		Estimated: r.Estimated,
		Pairs:     uint32(r.Pairs),
		SpreadUs:  r.SpreadUs,
		Cut:       r.Truncation,
		Files:     r.Files,
	}
}

// Values of SourceReport.Stamp: what the timestamps of a source mark.
const (
	stampArrival = "arrival"
	stampEnd     = "end"
)

// ClassReport counts the entries of one class.
type ClassReport struct {
	Entries       uint64 `json:"entries"`
	Recorded      uint64 `json:"durations_recorded"`
	DrawnRecorded uint64 `json:"durations_drawn_from_recorded"`
	DrawnRules    uint64 `json:"durations_drawn_from_rules"`
	SyntheticKeys uint64 `json:"keys_made_up"`
}

// Report describes an import.
type Report struct {
	Counts
	Rejects         []Reject                `json:"rejects"`
	UnlistedRejects uint64                  `json:"rejects_not_listed"`
	Repairs         map[string]uint64       `json:"repairs"` // by the names of RepairNames
	IgnoredBy       map[IgnoreReason]uint64 `json:"ignored_by"`
	Classes         map[string]*ClassReport `json:"classes"`
	Sources         []*SourceReport         `json:"sources"`
	SyntheticKeys   string                  `json:"made_up_keys"` // their distribution
	Pseudonyms      string                  `json:"pseudonyms"`   // what they are keyed by
	Start           time.Time               `json:"start"`
	SpanSeconds     float64                 `json:"span_s"`
	InputBytes      int64                   `json:"input_bytes"`
}

// Truncated reports whether a source ended early.
func (r *Report) Truncated() bool {
	return slices.ContainsFunc(r.Sources, func(s *SourceReport) bool { return s.Truncation != "" })
}
