package main

import (
	"fmt"
	"io"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/recording"
	"hollyyoke.example/hollyyoke/internal/rehearsal/recording/recordingpb"
)

// inspectCmd checks a recording and writes its contents.
type inspectCmd struct {
	JSON bool   `name:"json" help:"As JSON."`
	File string `arg:"" help:"The recording."`
}

// Run reads the recording to its end and writes what it contains.
func (c *inspectCmd) Run(e *environment) error {
	reader, done, err := openRecording(c.File)
	if err != nil {
		return err
	}
	defer done()
	got, err := readContents(reader)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	if c.JSON {
		got.Header = reader.Header
		return writeJSON(e.out, got)
	}
	writeContents(e.out, reader, got)
	return nil
}

// maxCountedKeys bounds the memory for counting different keys.
const maxCountedKeys = 1_000_000

// readContents reads a recording to its end.
func readContents(reader *recording.Reader) (recordingContents, error) {
	got := recordingContents{
		Version: reader.Header.Version,
		Start:   time.UnixMicro(reader.Header.StartUnixUs).UTC(),
		Classes: map[string]*classContents{},
	}
	keys := map[uint64]struct{}{}
	second := time.Duration(-1)
	inSecond := 0
	err := reader.ForEach(func(x *recording.Entry) error {
		got.Entries++
		got.SpanS = x.Arrival.Seconds()
		got.addToClass(reader, x)
		if len(keys) < maxCountedKeys {
			keys[x.Key] = struct{}{}
		}
		if at := x.Arrival.Truncate(time.Second); at != second {
			second = at
			inSecond = 0
		}
		inSecond++
		got.PeakRate = max(got.PeakRate, inSecond)
		return nil
	})
	got.Keys = len(keys)
	return got, err
}

// addToClass counts an entry in its class.
func (c *recordingContents) addToClass(reader *recording.Reader, x *recording.Entry) {
	class := reader.Header.Classes[x.Class]
	counts := c.Classes[class.Name]
	if counts == nil {
		counts = &classContents{Retryable: class.Retryable}
		c.Classes[class.Name] = counts
	}
	counts.Entries++
	counts.WorkS += x.Slots * x.Duration.Seconds()
	if x.Repairs&recording.DrawnDuration != 0 {
		counts.DrawnDurations++
	}
	if x.Repairs&recording.SyntheticKey != 0 {
		counts.GeneratedKeys++
	}
}

// writeContents writes the contents of a recording as text.
func writeContents(out io.Writer, reader *recording.Reader, got recordingContents) {
	fmt.Fprintf(out, "%d entries from %s on, over %.1f s, at most %d in a second, %d keys\n", got.Entries,
		got.Start.Format(time.RFC3339), got.SpanS, got.PeakRate, got.Keys)
	for _, class := range reader.Header.Classes {
		counts := got.Classes[class.Name]
		if counts == nil {
			continue
		}
		idempotency := "not idempotent: replayed only to proven stand-ins"
		if counts.Retryable {
			idempotency = "retryable"
		}
		fmt.Fprintf(out, "class %s: %d entries, %.1f s of work, %s; %d durations drawn, %d keys generated\n", class.Name, counts.Entries,
			counts.WorkS, idempotency, counts.DrawnDurations, counts.GeneratedKeys)
	}
	header := reader.Header
	fmt.Fprintf(out, "imported: read %d, accepted %d, malformed %d, unmapped %d, ignored %d, repaired %d; seed %d\n", header.Counts.GetRead(),
		header.Counts.GetAccepted(), header.Counts.GetMalformed(), header.Counts.GetUnmapped(), header.Counts.GetIgnored(), header.Counts.GetRepaired(), header.Seed)
	for _, source := range header.Sources {
		writeSource(out, source)
	}
	for _, line := range header.History {
		fmt.Fprintf(out, "then: %s\n", line)
	}
}

// writeSource writes a source of a recording as text.
func writeSource(out io.Writer, source *recordingpb.Source) {
	fmt.Fprintf(out, "source %s (%s, stamps mark the %s): sha256 %x\n", source.Name, source.Format, source.Stamp, source.Sha256)
	switch {
	case source.Estimated:
		fmt.Fprintf(out, "  clock offset %+.3f s, estimated from %d requests, half of them within %.3f s\n", float64(source.OffsetUs)/1e6, source.Pairs,
			float64(source.SpreadUs)/1e6)
	case source.OffsetUs != 0:
		fmt.Fprintf(out, "  clock offset %+.3f s, given\n", float64(source.OffsetUs)/1e6)
	}
	if source.Cut != "" {
		fmt.Fprintf(out, "  cut: %s\n", source.Cut)
	}
}

// recordingContents is the output of inspect.
type recordingContents struct {
	Version  uint32                    `json:"version"`
	Entries  uint64                    `json:"entries"`
	Start    time.Time                 `json:"start"`
	SpanS    float64                   `json:"span_s"`
	PeakRate int                       `json:"peak_per_s"`
	Classes  map[string]*classContents `json:"classes"`
	Keys     int                       `json:"keys"` // different keys, at most maxCountedKeys
	Header   any                       `json:"header"`
}

// classContents is the part of one class.
type classContents struct {
	Entries        int     `json:"entries"`
	Retryable      bool    `json:"retryable"`
	WorkS          float64 `json:"work_s"` // sum of slots times durations
	DrawnDurations int     `json:"durations_drawn"`
	GeneratedKeys  int     `json:"keys_made_up"`
}
