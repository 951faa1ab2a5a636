package recording

import (
	"encoding/hex"
	"errors"
	"slices"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/recording/recordingpb"
)

// ErrNoEntries means that no entry was accepted, so that no recording was written.
var ErrNoEntries = errors.New("no entry that a rule fits")

// Reject gives the position of a malformed entry and the reason. It contains none of the entry's text.
type Reject struct {
	Source string `json:"source"` // base name of the file
	Line   int    `json:"line"`   // number of the line or, in a HAR file, of the entry, from 1
	Offset int64  `json:"offset"` // of its first byte in the decompressed file
	Reason string `json:"why"`
}

// Counts holds numbers of entries. Read is the sum of Accepted, Malformed, Unmapped and Ignored.
type Counts struct {
	Read      uint64 `json:"read"`
	Accepted  uint64 `json:"accepted"`
	Malformed uint64 `json:"malformed"`
	Unmapped  uint64 `json:"unmapped"` // matched by no rule
	Ignored   uint64 `json:"ignored"`  // never sent to a server, or duplicates; see IgnoreReason
	Repaired  uint64 `json:"repaired"` // accepted entries with a repair
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
	SHA256 string   `json:"sha256"` // of the file, or of the digests of several files
	Format string   `json:"format"`
	Stamp  string   `json:"stamp"` // stampArrival or stampEnd
	Counts
	OffsetUs          int64  `json:"offset_us"`                  // clock offset, added to the timestamps
	Estimated         bool   `json:"offset_estimated"`           // the offset was estimated
	Pairs             int    `json:"offset_pairs,omitempty"`     // see ClockOffset
	SpreadUs          int64  `json:"offset_spread_us,omitempty"` // see ClockOffset
	ClockSteps        int    `json:"clock_steps"`                // steps back of the clock
	SteppedUs         int64  `json:"clock_stepped_us"`           // sum of the steps back
	OutlierTimestamps int    `json:"odd_stamps"`                 // entries with an outlier timestamp
	SpreadEntries     int    `json:"spread_within_second"`       // entries with timestamps of whole seconds that were spread over their second
	FullGroups        int    `json:"crowded_seconds"`            // full groups of entries of one second; see secondSpreader
	Reordered         bool   `json:"files_put_in_order"`         // the files were not given in the order of their timestamps
	Duplicates        uint64 `json:"seen_by_two_sources"`        // entries of requests that another source logged too
	Truncation        string `json:"cut,omitempty"`              // why files of the source ended early; empty if none did
}

// addTruncation appends the reason why a file of the source ended early.
func (r *SourceReport) addTruncation(text string) {
	if r.Truncation != "" {
		r.Truncation += "; "
	}
	r.Truncation += text
}

func (r *SourceReport) proto() *recordingpb.Source {
	digest, _ := hex.DecodeString(r.SHA256) // cannot fail, as reportRead encoded it
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
	Recorded      uint64 `json:"durations_recorded"`            // entries with a recorded duration
	DrawnRecorded uint64 `json:"durations_drawn_from_recorded"` // entries with a duration drawn from the recorded ones
	DrawnRules    uint64 `json:"durations_drawn_from_rules"`    // entries with a duration drawn from the rule's distribution
	SyntheticKeys uint64 `json:"keys_made_up"`                  // entries with a synthetic key
}

// Report describes an import.
type Report struct {
	Counts
	Rejects         []Reject                `json:"rejects"`            // at most Options.MaxListedRejects
	UnlistedRejects uint64                  `json:"rejects_not_listed"` // malformed entries beyond these
	Repairs         map[string]uint64       `json:"repairs"`            // number of entries by the names in RepairNames
	IgnoredBy       map[IgnoreReason]uint64 `json:"ignored_by"`
	Classes         map[string]*ClassReport `json:"classes"`
	Sources         []*SourceReport         `json:"sources"`
	SyntheticKeys   string                  `json:"made_up_keys"` // distribution that they are drawn from
	Pseudonyms      string                  `json:"pseudonyms"`   // what keys the pseudonyms: the input or a given secret
	Start           time.Time               `json:"start"`
	SpanSeconds     float64                 `json:"span_s"`
	InputBytes      int64                   `json:"input_bytes"`
}

// Truncated reports whether a source ended early.
func (r *Report) Truncated() bool {
	return slices.ContainsFunc(r.Sources, func(s *SourceReport) bool { return s.Truncation != "" })
}
